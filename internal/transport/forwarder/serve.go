package forwarder

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// loserLinger is how long an attempt that nobody waits for may go on, so that its connection can be kept.
	loserLinger = time.Second
	// goneLinger is the same where the caller has gone, and the work is for nobody.
	goneLinger = 250 * time.Millisecond
)

// Serve answers one request of a caller; a route must have been matched.
func (f *Forwarder) Serve(ctx context.Context, call *exchanger.Call, request scatterer.Request) scatterer.Decision {
	r := &run{
		forwarder: f,
		call:      call,
		exchanges: map[*scatterer.Attempt]*exchanger.Exchange{},
		decided:   make(chan struct{}),
	}
	r.begin(request)
	linger := loserLinger
	select {
	case <-r.decided:
	case <-ctx.Done():
		linger = goneLinger
	}
	decision := r.end(linger)
	f.note(call, request, r, decision)
	return decision
}

// run is one request under way.
type run struct {
	forwarder *Forwarder
	call      *exchanger.Call
	job       *scatterer.Job
	exchanges map[*scatterer.Attempt]*exchanger.Exchange
	timer     *time.Timer
	decided   chan struct{}
	over      bool
	sent      int
	repeats   int
}

func (r *run) begin(request scatterer.Request) {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	r.job = scatterer.New(request, f.policies)
	r.timer = time.AfterFunc(time.Hour, r.tick)
	r.goOn(now, r.job.Start(now))
}

func (r *run) tick() {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	r.goOn(now, r.job.Tick(now))
}

// goOn sends what was decided, and waits for the next moment; the mutex is held.
func (r *run) goOn(now time.Time, sends []*scatterer.Attempt) {
	for _, a := range sends {
		r.sent++
		if a.Kind != scatterer.AttemptFirst {
			r.repeats++
		}
		x := exchanger.NewExchange(a.Deadline.Add(deadlineSlack))
		r.exchanges[a] = x
		at := &attemptRun{
			owner:    r,
			attempt:  a,
			exchange: x,
		}
		go at.run()
	}
	if r.over {
		return
	}
	if r.job.Decision() != nil {
		r.over = true
		r.timer.Stop()
		close(r.decided)
		return
	}
	r.timer.Reset(max(r.job.Wake().Sub(now), time.Millisecond))
}

// deadlineSlack is how long after a replica was to stop its answer may still come.
const deadlineSlack = 20 * time.Millisecond

// end takes the decision, or abandons the request, and lets go of what nobody waits for any more.
func (r *run) end(linger time.Duration) scatterer.Decision {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r.job.Abandon()
	r.over = true
	r.timer.Stop()
	until := time.Now().Add(linger)
	for _, a := range r.job.Pending() {
		// What may run just once is not broken off: its work would be lost, and could not be asked for again.
		if x := r.exchanges[a]; x != nil && !r.call.Once {
			x.Shorten(until)
		}
	}
	return *r.job.Decision()
}

// attemptRun is one attempt under way.
type attemptRun struct {
	owner    *run
	attempt  *scatterer.Attempt
	exchange *exchanger.Exchange
}

func (a *attemptRun) run() {
	r := a.owner
	f := r.forwarder
	target := exchanger.Target{
		Replica: a.attempt.Replica.ID,
		Service: a.attempt.Service,
		Address: a.attempt.Replica.Address,
	}
	outcome := f.exchanger.Do(a.exchange, r.call, target, a.attempt.Deadline)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if outcome.Kind != scatterer.OutcomeReplied && outcome.Cause != scatterer.CauseGivenUp {
		f.noteFailure(r.call, a.attempt, outcome)
	}
	r.goOn(now, r.job.Ended(now, a.attempt, outcome))
}
