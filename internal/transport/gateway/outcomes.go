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
	// maxDecisions is the maximum number of retries, hedges and restarts listed in one record.
	maxDecisions = 16

	reasonCallerGone = "caller-gone"
	reasonBadRequest = "bad-request"
)

// trace collects the routing decisions for one query.
type trace struct {
	firstSends int
	lines      []string
}

func (t *trace) add(line string) {
	if len(t.lines) < maxDecisions {
		t.lines = append(t.lines, line)
	}
}

// decisions returns one line with the number of first attempts, then one line for each retry, hedge and restart.
func (t *trace) decisions() []string {
	return append([]string{fmt.Sprintf("sent %d sub-requests first", t.firstSends)}, t.lines...)
}

// tracedAnswer is an answer with the routing decisions that led to it.
type tracedAnswer struct {
	answer    gatherer.Answer
	decisions []string
}

// pendingQuery is a query that has not been answered yet.
type pendingQuery struct {
	answer chan tracedAnswer
	trace  trace
}

func (g *Gateway) traceSend(send *gatherer.Send) {
	pending, ok := g.pendingQueries[send.QueryID]
	if !ok {
		return
	}
	if send.Kind == gatherer.AttemptFirst {
		pending.trace.firstSends++
		return
	}
	pending.trace.add(fmt.Sprintf("%s of shard %s at version %d to %s", send.Kind, send.Request.GetShard(), send.Request.GetVersion(), send.Upstream))
}

func (g *Gateway) traceRestart(restart *gatherer.Restart) {
	if pending, ok := g.pendingQueries[restart.QueryID]; ok {
		pending.trace.add(fmt.Sprintf("restarted from version %d at version %d", restart.FromVersion, restart.ToVersion))
	}
}

// outcomeRecordBounds are meant for 100,000 records per second and for some seconds without a control instance. Both at
// once exceed the queue, which holds 0.3 s of records at that rate and 3 s at 10,000 records per second.
var outcomeRecordBounds = depositor.Bounds{
	QueueCapacity: 32_768,
	BatchSize:     1_000,
	Period:        250 * time.Millisecond,
}

// outcomeLog converts answers into outcome records and queues them for the control instances.
type outcomeLog struct {
	*depositor.Depositor
}

func (l *outcomeLog) recordQuery(t tracedAnswer) {
	query := t.answer.Query
	l.Add(&wire.OutcomeRecord{
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

func (l *outcomeLog) recordDisconnect(query gatherer.Query) {
	l.Add(&wire.OutcomeRecord{
		RequestId: query.RequestID,
		Tenant:    query.Tenant,
		Service:   query.Service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_UNKNOWN),
		Reason:    reasonCallerGone,
		LatencyUs: microseconds(time.Since(query.ArrivedAt)),
	})
}

func (l *outcomeLog) recordRun(request runner.Request, answer runner.Answer, latency time.Duration, decisions []string) {
	l.Add(&wire.OutcomeRecord{
		RequestId: request.RequestID,
		Tenant:    request.Tenant,
		Service:   request.Service,
		Outcome:   parser.OutcomeName(answer.Outcome),
		Reason:    string(answer.Reason),
		LatencyUs: microseconds(latency),
		Decisions: decisions,
	})
}

func (l *outcomeLog) recordInvalidRequest(requestID, service string) {
	l.Add(&wire.OutcomeRecord{
		RequestId: requestID,
		Service:   service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Reason:    reasonBadRequest,
	})
}

func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }
