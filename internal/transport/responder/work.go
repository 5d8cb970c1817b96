package responder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/pkg/wire"
)

// load counts the requests in flight and those that hold a slot, and keeps the last reported load.
type load struct {
	inFlight   atomic.Int64
	running    atomic.Int64
	lastReport atomic.Pointer[loadReport]
}

// loadReport is the load that a stand-in reports in its replies.
type loadReport struct {
	createdAt time.Time
	inFlight  uint32
	queued    uint32
}

// Search returns the rows of one shard in one version.
func (r *Responder) Search(ctx context.Context, request *connect.Request[wire.SearchRequest]) (*connect.Response[wire.SearchResponse], error) {
	search := request.Msg
	r.recorder.add(func(c *Record) *int64 { return &c.SearchesReceived }, 1)
	if err := r.admitSearch(search); err != nil {
		r.recorder.add(func(c *Record) *int64 { return &c.SearchesRefused }, 1)
		return nil, err
	}
	err := r.processRequest(ctx, func(now time.Time) { r.recorder.recordSearch(now, search) })
	if err != nil {
		return nil, err
	}
	reply := r.newReply(search)
	r.simulateOneWayDelay()
	return connect.NewResponse(reply), nil
}

// Run records a non-idempotent request as started, even before it has a slot, and simulates it.
func (r *Responder) Run(ctx context.Context, request *connect.Request[wire.RunRequest]) (*connect.Response[wire.RunResponse], error) {
	run := request.Msg
	if err := r.checkAdmission(); err != nil {
		return nil, err
	}
	// A started run completes even if the caller disconnects, because it cannot be undone.
	r.recorder.recordRun(time.Now(), run)
	if err := r.processRequest(context.WithoutCancel(ctx), func(time.Time) {}); err != nil {
		return nil, err
	}
	r.simulateOneWayDelay()
	return connect.NewResponse(&wire.RunResponse{
		Attempt: run.GetAttempt(),
		Result:  fmt.Sprintf("%s ran %s", r.settings.Upstream, run.GetKey()),
		Leaving: r.reportsLeaving(),
	}), nil
}

// admitSearch refuses a search under the general admission rules, or for a shard or version that the stand-in does not hold.
func (r *Responder) admitSearch(search *wire.SearchRequest) error {
	if err := r.checkAdmission(); err != nil {
		return err
	}
	if search.GetService() != r.settings.Service || !holdsShard(r.simulator.switches().Versions, search.GetVersion(), search.GetShard()) {
		return newRefusal(&wire.NotStarted{
			Reason:  "not held here",
			NotHeld: true,
		})
	}
	return nil
}

func holdsShard(versions []checker.HeldVersion, version uint64, shard string) bool {
	return slices.ContainsFunc(versions, func(v checker.HeldVersion) bool {
		return v.Version == version && slices.Contains(v.Shards, shard)
	})
}

// checkAdmission refuses a request while the stand-in is leaving or sheds load.
func (r *Responder) checkAdmission() error {
	s := r.simulator.switches()
	if r.leaving.Load() || s.LeavingRefused {
		return newRefusal(&wire.NotStarted{
			Reason:       "leaving",
			RetryAfterMs: s.RetryAfterMs,
			Leaving:      true,
		})
	}
	queueFull := s.ShedAboveQueued > 0 && r.load.queued() >= s.ShedAboveQueued
	if queueFull || r.simulator.occurs(s.ShedShare) {
		return newRefusal(&wire.NotStarted{
			Reason:       "shedding",
			RetryAfterMs: s.RetryAfterMs,
		})
	}
	return nil
}

// processRequest waits for a slot, calls onStart, and holds the slot while the work is simulated.
func (r *Responder) processRequest(ctx context.Context, onStart func(now time.Time)) error {
	r.load.inFlight.Add(1)
	defer r.load.inFlight.Add(-1)
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		r.recorder.add(func(c *Record) *int64 { return &c.SearchesCancelled }, 1)
		return ctx.Err()
	}
	r.load.running.Add(1)
	defer func() {
		r.load.running.Add(-1)
		<-r.slots
	}()
	onStart(time.Now())
	return r.simulateWork(ctx)
}

// simulateWork waits for the work time, then fails the request if the switches say so. A cancelled request returns the error of its context; if ReplyPastCancelMs is set, it completes that long after the cancellation instead.
func (r *Responder) simulateWork(ctx context.Context) error {
	s := r.simulator.switches()
	select {
	case <-time.After(r.simulator.drawWorkTime(time.Now())):
	case <-ctx.Done():
		r.recorder.add(func(c *Record) *int64 { return &c.SearchesCancelled }, 1)
		if s.ReplyPastCancelMs == 0 {
			return ctx.Err()
		}
		time.Sleep(time.Duration(s.ReplyPastCancelMs) * time.Millisecond)
	}
	if r.simulator.occurs(s.AbortAfterStart) {
		panic(http.ErrAbortHandler)
	}
	if r.simulator.occurs(s.FailAfterStart) {
		return connect.NewError(connect.CodeInternal, errors.New("failed after the start"))
	}
	return nil
}

// newReply returns the reply to a search, with the faults that the switches inject. OtherAttempt returns the reply to the previous search instead.
func (r *Responder) newReply(search *wire.SearchRequest) *wire.SearchResponse {
	s := r.simulator.switches()
	version := search.GetVersion()
	if r.simulator.occurs(s.WrongVersion) {
		version++
	}
	rows := GenerateRows(search.GetService(), search.GetShard(), version, search.GetQuery(), int(search.GetLimit()), int(r.settings.RowsPerShard))
	report := r.load.report(time.Now(), &s)
	reply := &wire.SearchResponse{
		Attempt:  search.GetAttempt(),
		Shard:    search.GetShard(),
		Version:  version,
		Rows:     rows,
		RowCount: uint32(len(rows)),
		Complete: true,
		InFlight: report.inFlight,
		Queued:   report.queued,
		Leaving:  r.reportsLeaving(),
	}
	if r.simulator.occurs(s.DropRows) {
		reply.Rows = rows[:len(rows)/2]
	}
	if r.simulator.occurs(s.RepeatRows) {
		reply.Rows = append(slices.Clone(rows), rows...)
		reply.RowCount = uint32(len(reply.Rows))
	}
	previous := r.previousReply.Swap(reply)
	if previous != nil && r.simulator.occurs(s.OtherAttempt) {
		return previous
	}
	return reply
}

// simulateOneWayDelay sleeps for the one-way network delay of a request or reply.
func (r *Responder) simulateOneWayDelay() {
	time.Sleep(fromMilliseconds(r.simulator.switches().OneWayMs))
}

// reportsLeaving reports whether replies carry the leaving mark.
func (r *Responder) reportsLeaving() bool {
	return r.leaving.Load() || r.simulator.switches().LeavingMarked
}

// queued returns the number of requests that wait for a slot.
func (l *load) queued() int64 { return max(0, l.inFlight.Load()-l.running.Load()) }

// report returns the load to put into a reply: the fixed values of the switches, the last report if it is younger than ReportLagMs, or the current load.
func (l *load) report(now time.Time, s *checker.Switches) loadReport {
	if s.ReportFixed {
		return loadReport{
			inFlight: s.ReportInFlight,
			queued:   s.ReportQueued,
		}
	}
	last := l.lastReport.Load()
	if last != nil && now.Sub(last.createdAt) < time.Duration(s.ReportLagMs)*time.Millisecond {
		return *last
	}
	current := &loadReport{
		createdAt: now,
		inFlight:  uint32(l.inFlight.Load()),
		queued:    uint32(l.queued()),
	}
	l.lastReport.Store(current)
	return *current
}

// newRefusal returns an error whose detail states that the request was not started.
func newRefusal(notStarted *wire.NotStarted) error {
	refusal := connect.NewError(connect.CodeUnavailable, errors.New(notStarted.GetReason()))
	detail, err := connect.NewErrorDetail(notStarted)
	if err == nil {
		refusal.AddDetail(detail)
	}
	return refusal
}
