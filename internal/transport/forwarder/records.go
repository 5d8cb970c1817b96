package forwarder

import (
	"fmt"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/pkg/wire"
)

// recordBounds let an instance hand over 100 records a second, about 12 KB, to a control instance of its own availability zone where there is one, and keep 20 s of them without control, about 1 MB.
var recordBounds = depositor.Bounds{
	Ring:    2048,
	Batch:   200,
	Batches: 1,
	Period:  2 * time.Second,
}

// mostDecisions is how many attempts one record names at most.
const mostDecisions = 4

// recordOf returns what the report is to hold of a request.
func recordOf(r *run, d *scatterer.Decision, took time.Duration) *wire.OutcomeRecord {
	record := &wire.OutcomeRecord{
		RequestId: r.call.ID,
		Service:   r.request.Route.Name,
		Outcome:   parser.OutcomeName(outcomeOf(d)),
		Reason:    string(d.Reason),
		Version:   r.version,
		LatencyUs: uint64(max(0, took.Microseconds())),
	}
	if d.Kind == scatterer.Gathered || d.Kind == scatterer.Relayed {
		record.CoverageMillionths = uint32(wire.FullCoverage * len(d.Replies) / (len(d.Replies) + d.MissingShards))
	}
	if d.Reason != scatterer.ReasonNone {
		record.Decisions = failedAttempts(r.attempts)
	}
	return record
}

// outcomeOf says no more than what the caller was told: an upstream's own failure leaves open what it has done.
func outcomeOf(d *scatterer.Decision) wire.Outcome {
	switch {
	case d.Kind == scatterer.Gathered, d.Kind == scatterer.Relayed && d.Reason == scatterer.ReasonNone:
		return wire.Outcome_OUTCOME_ANSWERED
	case d.Kind == scatterer.Refused:
		return wire.Outcome_OUTCOME_NOT_RUN
	default:
		return wire.Outcome_OUTCOME_UNKNOWN
	}
}

// failedAttempts names the first attempts that brought no answer in time.
func failedAttempts(attempts []attemptNote) []string {
	lines := []string{fmt.Sprintf("%d attempts", len(attempts))}
	for i := range attempts {
		a := &attempts[i]
		if a.outcome == scatterer.OutcomeReplied.String() {
			continue
		}
		if len(lines) > mostDecisions {
			break
		}
		lines = append(lines, fmt.Sprintf("%s to %s of %s: %s %s after %.1f ms", a.attempt.Kind, a.attempt.Replica.ID, a.attempt.Service, a.outcome, a.cause, milliseconds(a.took)))
	}
	return lines
}
