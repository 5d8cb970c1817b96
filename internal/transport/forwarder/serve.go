package forwarder

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// loserLinger is how long an attempt that nobody waits for may go on, so that its connection can be kept.
	loserLinger = time.Second
	// goneLinger is the same where the caller has gone, and the work is for nobody.
	goneLinger = 250 * time.Millisecond
)

// Served is the answer to a caller's request, with the route that it was served by.
type Served struct {
	Decision scatterer.Decision
	Route    *matcher.Route

	run *run
}

// Written is called once the answer has been written to the caller.
func (s *Served) Written() {
	f := s.run.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s.run.job.RecordWritten(time.Now())
}

// Serve answers one request of a caller by a route of the configuration's version, or of a newer one that came in between where the former can't be served any more.
func (f *Forwarder) Serve(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64) Served {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	for {
		r := f.newRun(call, request, version)
		d := r.serve(ctx)
		next := f.renewed(call, version)
		if next == nil || !scatterer.ShouldReroute(&request, &d, next.route, time.Now()) {
			return Served{
				Decision: d,
				Route:    request.Route,
				run:      r,
			}
		}
		f.log.Info("request begun anew", "request", call.ID, "route", next.route.Name, "version", next.version, "before", version, "reason", d.Reason)
		request.Route = next.route
		version = next.version
	}
}

func (f *Forwarder) newRun(call *exchanger.Call, request scatterer.Request, version uint64) *run {
	return &run{
		forwarder: f,
		call:      call,
		exchanges: map[*scatterer.Attempt]*exchanger.Exchange{},
		decided:   make(chan struct{}),
		request:   request,
		version:   version,
	}
}

// serve goes on until there is a decision, or the caller has gone.
func (r *run) serve(ctx context.Context) scatterer.Decision {
	r.begin()
	linger := loserLinger
	select {
	case <-r.decided:
	case <-ctx.Done():
		linger = goneLinger
	}
	return r.end(linger)
}

// begin asks the first replicas.
func (r *run) begin() {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	r.job = scatterer.New(r.request, f.policies)
	r.timer = time.AfterFunc(time.Hour, r.tick)
	r.goOn(now, r.job.Start(now))
}

// tick takes what time decides.
func (r *run) tick() {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	r.goOn(now, r.job.Tick(now))
}

// goOn sends what was decided, and waits for the next moment; the mutex is held.
func (r *run) goOn(now time.Time, sends []*scatterer.Attempt) {
	if r.job.Decision() != nil {
		r.drop(now, sends)
		sends = nil
	}
	for _, a := range sends {
		r.attempts = append(r.attempts, attemptNote{
			attempt:  a,
			expected: a.Replica.Latency(),
			inFlight: a.Replica.InFlight(),
			outcome:  outcomePending,
		})
	}
	for _, a := range r.divide(now, sends) {
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
	r.timer.Reset(max(r.job.NextTick().Sub(now), time.Millisecond))
}

// drop takes attempts back that a decision has overtaken before they were sent; the mutex is held.
func (r *run) drop(now time.Time, sends []*scatterer.Attempt) {
	for _, a := range sends {
		r.job.HandleOutcome(now, a, scatterer.Outcome{
			Kind:  scatterer.OutcomeUnsent,
			Cause: scatterer.CauseCancelled,
		})
	}
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
	now := time.Now()
	until := now.Add(linger)
	for _, a := range r.job.Pending() {
		// What may run just once is not broken off: its work would be lost, and could not be asked for again.
		if x := r.exchanges[a]; x != nil && !r.call.AtMostOnce {
			x.Abandon(until)
		}
	}
	for _, g := range r.relayed {
		g.shorten(linger)
	}
	d := *r.job.Decision()
	r.note(now, d)
	return d
}

// outcomePending stands for the end of an attempt that had none when the request was answered.
const outcomePending = "pending"

// note counts the request, and hands on what is written of it; the mutex is held.
func (r *run) note(now time.Time, d scatterer.Decision) {
	f := r.forwarder
	took := now.Sub(r.request.ArrivedAt)
	f.meter.request(r.request.Route.Name, &d, took)
	if d.Reason != scatterer.ReasonCallerGone {
		f.advertiser.Observe(now, d.Kind == scatterer.Relayed || d.Kind == scatterer.Gathered)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.outcome == outcomePending {
			a.took = now.Sub(a.attempt.StartedAt)
		}
	}
	f.records.Note(recordOf(r, &d, took))
	if !isWanted(r.call, &d) {
		return
	}
	f.notes.add(requestNote{
		call:     r.call,
		request:  r.request,
		decision: d,
		version:  r.version,
		index:    f.directory.indexNow.Load(),
		shed:     r.job.MinAdmittedShare(now),
		budget:   r.job.MinRetryBudget(now),
		took:     took,
		attempts: r.attempts,
	})
}

// noteEnd keeps how an attempt ended, while the request has no answer yet; the mutex is held.
func (r *run) noteEnd(now time.Time, a *scatterer.Attempt, outcome scatterer.Outcome) {
	r.forwarder.meter.attempt(a, outcome.Kind)
	if r.over {
		return
	}
	for i := range r.attempts {
		if n := &r.attempts[i]; n.attempt == a {
			n.outcome = outcome.Kind.String()
			n.cause = outcome.Cause
			n.took = now.Sub(a.StartedAt)
		}
	}
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
		Zone:    a.attempt.Replica.Zone,
	}
	outcome := f.exchanger.Do(a.exchange, r.call, target, a.attempt.Deadline)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	r.goOn(now, r.ended(now, a.attempt, outcome))
}

// ended takes the end of an attempt, and returns those that follow from it; the mutex is held.
func (r *run) ended(now time.Time, a *scatterer.Attempt, outcome scatterer.Outcome) []*scatterer.Attempt {
	r.noteEnd(now, a, outcome)
	return r.job.HandleOutcome(now, a, outcome)
}
