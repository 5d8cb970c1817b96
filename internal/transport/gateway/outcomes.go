package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/recorder"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// outcomeRing is the number of records that wait for their hand-over at most.
	outcomeRing     = 32_768
	outcomeBatch    = 1_000
	outcomePeriod   = 250 * time.Millisecond
	handOverTimeout = time.Second
	// outcomeFlush is how long a shutdown goes on handing over.
	outcomeFlush = 2 * time.Second
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
	w, ok := g.waiting[send.Query]
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
	if w, ok := g.waiting[restart.Query]; ok {
		w.trace.note(fmt.Sprintf("restarted from version %d at version %d", restart.From, restart.To))
	}
}

// outcomeLog keeps what became of requests, and hands it over to a control instance; it never holds up an answer.
type outcomeLog struct {
	control *ControlClient
	lost    tally.Counter
	mutex   sync.Mutex
	ring    *recorder.Ring
	next    int
	stop    chan struct{}
	done    chan struct{}
}

func newOutcomeLog(instance string, control *ControlClient, lost tally.Counter) *outcomeLog {
	return &outcomeLog{
		control: control,
		lost:    lost,
		ring:    recorder.New(instance, uint64(time.Now().UnixNano()), outcomeRing),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// note keeps a record, or counts it as lost where too many wait.
func (l *outcomeLog) note(record *wire.OutcomeRecord) {
	record.TimeMs = time.Now().UnixMilli()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.ring.Add(record) {
		l.lost.Inc(1)
	}
}

func (l *outcomeLog) noteQuery(t traced) {
	query := t.answer.Query
	l.note(&wire.OutcomeRecord{
		RequestId:          query.RequestID,
		Tenant:             query.Tenant,
		Service:            query.Service,
		Outcome:            parser.OutcomeName(t.answer.Outcome),
		Reason:             string(t.answer.Reason),
		Version:            t.answer.Version,
		CoverageMillionths: t.answer.Coverage,
		LatencyUs:          microseconds(t.answer.Finished.Sub(query.Arrived)),
		Decisions:          t.decisions,
	})
}

func (l *outcomeLog) noteGone(query gatherer.Query) {
	l.note(&wire.OutcomeRecord{
		RequestId: query.RequestID,
		Tenant:    query.Tenant,
		Service:   query.Service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_UNKNOWN),
		Reason:    reasonCallerGone,
		LatencyUs: microseconds(time.Since(query.Arrived)),
	})
}

func (l *outcomeLog) noteRun(request runner.Request, answer runner.Answer, took time.Duration, decisions []string) {
	l.note(&wire.OutcomeRecord{
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
	l.note(&wire.OutcomeRecord{
		RequestId: requestID,
		Service:   service,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Reason:    reasonBadRequest,
	})
}

func microseconds(took time.Duration) uint64 { return uint64(max(0, took.Microseconds())) }

func (l *outcomeLog) run() {
	defer close(l.done)
	ticker := time.NewTicker(outcomePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.handOver(context.Background())
		case <-l.stop:
			ctx, cancel := context.WithTimeout(context.Background(), outcomeFlush)
			defer cancel()
			for ctx.Err() == nil && l.waiting() > 0 {
				l.handOver(ctx)
				pause(ctx, redirectPause)
			}
			return
		}
	}
}

// handOver gives away batches until none is left or a control instance fails, and then turns to the next one.
func (l *outcomeLog) handOver(ctx context.Context) {
	for batch := l.batch(); batch != nil; batch = l.batch() {
		address := l.control.addresses[l.next%len(l.control.addresses)]
		if !l.handTo(ctx, address, batch) {
			l.next++
			return
		}
	}
}

func (l *outcomeLog) handTo(ctx context.Context, address string, batch *wire.HandOverRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	response, err := l.control.at(address).HandOver(ctx, connect.NewRequest(batch))
	if err != nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ring.Stored(response.Msg.GetStoredSequence())
	return true
}

func (l *outcomeLog) batch() *wire.HandOverRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ring.Batch(outcomeBatch)
}

func (l *outcomeLog) waiting() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ring.Len()
}

// close hands over what is left, as long as a shutdown may wait.
func (l *outcomeLog) close() {
	close(l.stop)
	<-l.done
}
