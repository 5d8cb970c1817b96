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

// load is what the stand-in has to do now, and what it last said of that.
type load struct {
	inFlight atomic.Int64
	working  atomic.Int64
	told     atomic.Pointer[report]
}

// report is what a stand-in says of its load.
type report struct {
	at       time.Time
	inFlight uint32
	queued   uint32
}

// Search answers for one shard in one version.
func (r *Responder) Search(ctx context.Context, request *connect.Request[wire.SearchRequest]) (*connect.Response[wire.SearchResponse], error) {
	ask := request.Msg
	r.recorder.add(func(c *Record) *int64 { return &c.Received }, 1)
	if err := r.admit(ask); err != nil {
		r.recorder.add(func(c *Record) *int64 { return &c.Refused }, 1)
		return nil, err
	}
	err := r.work(ctx, func(now time.Time) { r.recorder.search(now, ask) })
	if err != nil {
		return nil, err
	}
	reply := r.reply(ask)
	r.travel()
	return connect.NewResponse(reply), nil
}

// Run runs a non-idempotent request, and notes that it started.
func (r *Responder) Run(ctx context.Context, request *connect.Request[wire.RunRequest]) (*connect.Response[wire.RunResponse], error) {
	ask := request.Msg
	if err := r.turnAway(); err != nil {
		return nil, err
	}
	// What has started runs to its end: a caller who goes away undoes nothing.
	r.recorder.run(time.Now(), ask)
	if err := r.work(context.WithoutCancel(ctx), func(time.Time) {}); err != nil {
		return nil, err
	}
	r.travel()
	return connect.NewResponse(&wire.RunResponse{
		Attempt: ask.GetAttempt(),
		Result:  fmt.Sprintf("%s ran %s", r.settings.Upstream, ask.GetKey()),
		Leaving: r.marksLeaving(),
	}), nil
}

func (r *Responder) admit(ask *wire.SearchRequest) error {
	if err := r.turnAway(); err != nil {
		return err
	}
	if ask.GetService() != r.settings.Service || !holds(r.board.get().Versions, ask.GetVersion(), ask.GetShard()) {
		return refusal(&wire.NotStarted{
			Reason:  "not held here",
			NotHeld: true,
		})
	}
	return nil
}

func holds(versions []checker.HeldVersion, version uint64, shard string) bool {
	return slices.ContainsFunc(versions, func(v checker.HeldVersion) bool {
		return v.Version == version && slices.Contains(v.Shards, shard)
	})
}

// turnAway refuses while leaving, and sheds.
func (r *Responder) turnAway() error {
	s := r.board.get()
	if r.leaving.Load() || s.LeavingRefused {
		return refusal(&wire.NotStarted{
			Reason:       "leaving",
			RetryAfterMs: s.RetryAfterMs,
			Leaving:      true,
		})
	}
	full := s.ShedAboveQueued > 0 && r.load.queued() >= s.ShedAboveQueued
	if full || r.board.hit(s.ShedShare) {
		return refusal(&wire.NotStarted{
			Reason:       "shedding",
			RetryAfterMs: s.RetryAfterMs,
		})
	}
	return nil
}

// work takes a slot and holds it as long as the work lasts.
func (r *Responder) work(ctx context.Context, begin func(now time.Time)) error {
	r.load.inFlight.Add(1)
	defer r.load.inFlight.Add(-1)
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		r.recorder.add(func(c *Record) *int64 { return &c.Cancelled }, 1)
		return ctx.Err()
	}
	r.load.working.Add(1)
	defer func() {
		r.load.working.Add(-1)
		<-r.slots
	}()
	begin(time.Now())
	return r.hold(ctx)
}

// hold lets the work's time pass, then lets it fail where the switches say so.
func (r *Responder) hold(ctx context.Context) error {
	s := r.board.get()
	select {
	case <-time.After(r.board.workTime(time.Now())):
	case <-ctx.Done():
		r.recorder.add(func(c *Record) *int64 { return &c.Cancelled }, 1)
		if s.ReplyPastCancelMs == 0 {
			return ctx.Err()
		}
		time.Sleep(time.Duration(s.ReplyPastCancelMs) * time.Millisecond)
	}
	if r.board.hit(s.AbortAfterStart) {
		panic(http.ErrAbortHandler)
	}
	if r.board.hit(s.FailAfterStart) {
		return connect.NewError(connect.CodeInternal, errors.New("failed after the start"))
	}
	return nil
}

// reply is the answer to a search, as true as the switches let it be.
func (r *Responder) reply(ask *wire.SearchRequest) *wire.SearchResponse {
	s := r.board.get()
	version := ask.GetVersion()
	if r.board.hit(s.WrongVersion) {
		version++
	}
	rows := Rows(ask.GetService(), ask.GetShard(), version, ask.GetQuery(), int(ask.GetLimit()), int(r.settings.RowsPerShard))
	told := r.load.tell(time.Now(), &s)
	reply := &wire.SearchResponse{
		Attempt:  ask.GetAttempt(),
		Shard:    ask.GetShard(),
		Version:  version,
		Rows:     rows,
		RowCount: uint32(len(rows)),
		Complete: true,
		InFlight: told.inFlight,
		Queued:   told.queued,
		Leaving:  r.marksLeaving(),
	}
	if r.board.hit(s.DropRows) {
		reply.Rows = rows[:len(rows)/2]
	}
	if r.board.hit(s.RepeatRows) {
		reply.Rows = append(slices.Clone(rows), rows...)
		reply.RowCount = uint32(len(reply.Rows))
	}
	previous := r.previous.Swap(reply)
	if previous != nil && r.board.hit(s.OtherAttempt) {
		return previous
	}
	return reply
}

// travel lets the time pass that a reply is on its way.
func (r *Responder) travel() { time.Sleep(milliseconds(r.board.get().OneWayMs)) }

func (r *Responder) marksLeaving() bool {
	return r.leaving.Load() || r.board.get().LeavingMarked
}

func (l *load) queued() int64 { return max(0, l.inFlight.Load()-l.working.Load()) }

// tell returns what is said of the load: the truth, an older truth, or what the switches fix.
func (l *load) tell(now time.Time, s *checker.Switches) report {
	if s.ReportFixed {
		return report{
			inFlight: s.ReportInFlight,
			queued:   s.ReportQueued,
		}
	}
	told := l.told.Load()
	if told != nil && now.Sub(told.at) < time.Duration(s.ReportLagMs)*time.Millisecond {
		return *told
	}
	fresh := &report{
		at:       now,
		inFlight: uint32(l.inFlight.Load()),
		queued:   uint32(l.queued()),
	}
	l.told.Store(fresh)
	return *fresh
}

// refusal is the stand-in's word that it started nothing.
func refusal(word *wire.NotStarted) error {
	refused := connect.NewError(connect.CodeUnavailable, errors.New(word.GetReason()))
	detail, err := connect.NewErrorDetail(word)
	if err == nil {
		refused.AddDetail(detail)
	}
	return refused
}
