package gateway

import (
	"fmt"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxDecisions is the number of decisions in one record at most.
	maxDecisions = 16

	reasonCallerGone = "caller-gone"
	reasonBadRequest = "bad-request"
)

// trace is the decisions on one query so far.
type trace struct {
	sent  int
	lines []string
}

func (t *trace) note(line string) {
	if len(t.lines) < maxDecisions {
		t.lines = append(t.lines, line)
	}
}

// decisions returns the count of plain sends, and each retry, hedge and restart.
func (t *trace) decisions() []string {
	return append([]string{fmt.Sprintf("sent %d sub-requests first", t.sent)}, t.lines...)
}

// traced is an answer with the decisions that led to it.
type traced struct {
	answer    gatherer.Answer
	decisions []string
}

// waiter is a query that waits for its answer.
type waiter struct {
	answer chan traced
	trace  trace
}

func (g *Gateway) traceSend(send *gatherer.Send) {
	w, ok := g.waiting[send.QueryID]
	if !ok {
		return
	}
	if send.Kind == gatherer.AttemptFirst {
		w.trace.sent++
		return
	}
	w.trace.note(fmt.Sprintf("%s of shard %s at version %d to %s", send.Kind, send.Request.GetShard(), send.Request.GetVersion(), send.Upstream))
}

func (g *Gateway) traceRestart(restart *gatherer.Restart) {
	if w, ok := g.waiting[restart.QueryID]; ok {
		w.trace.note(fmt.Sprintf("restarted from version %d at version %d", restart.FromVersion, restart.ToVersion))
	}
}

// outcomeBounds are for a hundred thousand records a second, and some seconds without control.
var outcomeBounds = depositor.Bounds{
	Ring:   32_768,
	Batch:  1_000,
	Period: 250 * time.Millisecond,
}

// outcomeLog turns answers into records.
type outcomeLog struct {
	*depositor.Depositor
}

func (l *outcomeLog) noteQuery(t traced) {
	query := t.answer.Query
	l.Note(&wire.OutcomeRecord{
		RequestId:          query.RequestID,
		Tenant:             query.Tenant,
		Service:            query.Service,
		Outcome:            parser.OutcomeName(t.answer.Outcome),
		Reason:             string(t.answer.Reason),
		Version:            t.answer.Version,
		CoverageMillionths: t.answer.Coverage,
		LatencyUs:          microseconds(t.answer.FinishedAt.Sub(query.ArrivedAt)),
		Decisions:          t.decisions,
	})
}

func (l *outcomeLog) noteGone(query gatherer.Query) {
	l.Note(&wire.OutcomeRecord{
		RequestId: query.RequestID,
		Tenant:    query.Tenant,
		Service:   query.Service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_UNKNOWN),
		Reason:    reasonCallerGone,
		LatencyUs: microseconds(time.Since(query.ArrivedAt)),
	})
}

func (l *outcomeLog) noteRun(request runner.Request, answer runner.Answer, took time.Duration, decisions []string) {
	l.Note(&wire.OutcomeRecord{
		RequestId: request.RequestID,
		Tenant:    request.Tenant,
		Service:   request.Service,
		Outcome:   parser.OutcomeName(answer.Outcome),
		Reason:    string(answer.Reason),
		LatencyUs: microseconds(took),
		Decisions: decisions,
	})
}

func (l *outcomeLog) noteMistake(requestID, service string) {
	l.Note(&wire.OutcomeRecord{
		RequestId: requestID,
		Service:   service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Reason:    reasonBadRequest,
	})
}

func microseconds(took time.Duration) uint64 { return uint64(max(0, took.Microseconds())) }
