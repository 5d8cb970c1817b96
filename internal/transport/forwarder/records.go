package forwarder

import (
	"fmt"
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/pkg/wire"
)

// outcomeRecordBounds allow an instance to send 100 records a second, about 12 KB, to a control instance, if possible one in its own availability zone. While no control instance is reachable, it keeps 20 s of records, about 1 MB.
var outcomeRecordBounds = depositor.Bounds{
	QueueCapacity: 2048,
	BatchSize:     200,
	MaxBatches:    1,
	Period:        2 * time.Second,
}

// maxReportedAttempts is the maximum number of attempts that one record describes.
const maxReportedAttempts = 4

// newOutcomeRecord returns the record of a request for the outcome report. What callers and replicas have sent is made UTF-8, as records are messages.
func newOutcomeRecord(r *activeRequest, d *scatterer.Decision, latency time.Duration) *wire.OutcomeRecord {
	record := &wire.OutcomeRecord{
		RequestId: strings.ToValidUTF8(loggedID(r.call.ID), "?"),
		Service:   r.request.Route.Name,
		Outcome:   parser.OutcomeName(reportedOutcome(d)),
		Reason:    string(d.Reason),
		Version:   r.version,
		LatencyUs: uint64(max(0, latency.Microseconds())),
	}
	if d.Kind == scatterer.Gathered || d.Kind == scatterer.Relayed {
		record.CoverageMillionths = uint32(wire.FullCoverage * len(d.Replies) / (len(d.Replies) + d.MissingShards))
	}
	if d.Reason != scatterer.ReasonNone {
		record.Decisions = describeFailedAttempts(r.attemptEntries)
	}
	return record
}

// reportedOutcome returns the outcome for the record, which claims no more than the answer to the caller does. After a failure reported by an upstream it is unknown what the request has done.
func reportedOutcome(d *scatterer.Decision) wire.Outcome {
	switch {
	case d.Kind == scatterer.Gathered, d.Kind == scatterer.Relayed && d.Reason == scatterer.ReasonNone:
		return wire.Outcome_OUTCOME_ANSWERED
	case d.Kind == scatterer.Refused:
		return wire.Outcome_OUTCOME_NOT_RUN
	default:
		return wire.Outcome_OUTCOME_UNKNOWN
	}
}

// describeFailedAttempts returns the number of attempts and a description of the first ones that received no reply.
func describeFailedAttempts(attempts []attemptEntry) []string {
	lines := []string{fmt.Sprintf("%d attempts", len(attempts))}
	for i := range attempts {
		a := &attempts[i]
		if a.outcome == scatterer.OutcomeReplied.String() {
			continue
		}
		if len(lines) > maxReportedAttempts {
			break
		}
		cause := strings.ToValidUTF8(a.cause, "?")
		lines = append(lines, fmt.Sprintf("%s to %s of %s: %s %s after %.1f ms", a.attempt.Kind, a.attempt.Replica.ID, a.attempt.Service, a.outcome, cause, milliseconds(a.duration)))
	}
	return lines
}
