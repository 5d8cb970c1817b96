package forwarder

import (
	"context"
	"errors"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
)

const (
	// abandonedTimeout is how long an attempt may continue after the request was answered. An attempt that ends by itself leaves its connection reusable.
	abandonedTimeout = time.Second
	// callerGoneTimeout is the same time after the caller has disconnected. It is shorter because no caller benefits from the work.
	callerGoneTimeout = 250 * time.Millisecond
)

// Answer holds the decision on a caller's request and the route that was used.
type Answer struct {
	Decision scatterer.Decision
	Route    *matcher.Route

	// request is nil if a peer has answered.
	request *activeRequest
}

// RecordWritten records that the answer has been written to the caller, so that its replies are no longer used. It updates the overrun estimate of answers cut at the soft deadline.
func (a *Answer) RecordWritten() {
	for _, reply := range a.Decision.Replies {
		reply.Release()
	}
	if a.request == nil {
		return
	}
	f := a.request.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	a.request.job.RecordWritten(time.Now())
}

// Serve answers a caller's request along its route, which is of the given configuration version, after charging it to its organisation's allotment. The token of a request that has not run is given back.
func (f *Forwarder) Serve(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64) Answer {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if !f.ending.canFinish(time.Now(), &request, f.expectedWork(request.Route.Name)) {
		// The caller reaches another instance, since this one closes its connection.
		return f.refuse(ctx, call, request, version, scatterer.ReasonStopping, scatterer.RetryAfterStopping)
	}
	if !listener.LeaseOf(ctx).TryGrow(attemptsCost(len(request.Route.Shards))) {
		return f.refuse(ctx, call, request, version, scatterer.ReasonMemory, scatterer.RetryAfterMemory)
	}
	var refusal *AllotmentError
	if errors.As(f.allotments.charge(ctx, &request), &refusal) {
		return f.refuse(ctx, call, request, version, refusal.Reason, refusal.RetryAfter)
	}
	answer := f.serveCharged(ctx, call, request, version)
	if answer.Decision.Kind == scatterer.Refused {
		f.allotments.refund(request.Organisation)
	}
	return answer
}

// attemptCost is the memory that an attempt takes beyond the first of a request, in bytes.
const attemptCost = 6 << 10

// attemptsCost returns the memory that the attempts of a request take beyond its allowance, in bytes.
func attemptsCost(attempts int) int64 { return int64(max(0, attempts-1)) * attemptCost }

// expectedWork returns the expected work of a request of the route, 0 if it is not known.
func (f *Forwarder) expectedWork(route string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.balancer.ExpectedWork(route).Mean
}

// serveCharged answers a request that may be sent. If this instance is isolated or could not send the request, peers answer in its place if one takes the request.
func (f *Forwarder) serveCharged(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64) Answer {
	v := &diversion{
		forwarder: f,
		call:      call,
		request:   request,
		version:   version,
	}
	if f.isolation.isIsolated() {
		if diverted := v.run(ctx); diverted != nil {
			return *diverted
		}
		// The caller may reach another instance at its next try.
		return f.refuse(ctx, call, request, version, scatterer.ReasonIsolated, scatterer.RetryAfterFailure)
	}
	answer := f.serveHere(ctx, call, request, version)
	if answer.canDivert() {
		v.runs = answer.request.runs()
		if diverted := v.run(ctx); diverted != nil {
			return *diverted
		}
	}
	answer.record()
	return answer
}

// refuse refuses a request of which nothing was sent.
func (f *Forwarder) refuse(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64, reason scatterer.Reason, retryAfter time.Duration) Answer {
	r := f.newActiveRequest(ctx, call, request, version)
	f.mutex.Lock()
	r.job = scatterer.New(request, f.policies)
	r.job.Refuse(reason)
	answer := Answer{
		Decision: *r.job.Decision(),
		Route:    request.Route,
		request:  r,
	}
	answer.Decision.RetryAfter = retryAfter
	r.log(time.Now(), &answer.Decision)
	f.mutex.Unlock()
	answer.record()
	return answer
}

// canDivert reports whether the request got no answer only because this instance does not reach replicas, and may be sent again.
func (a *Answer) canDivert() bool {
	switch a.Decision.Reason {
	case scatterer.ReasonIsolated:
		return true
	case scatterer.ReasonNoReplica:
		return a.request.hasAttempts()
	default:
		return false
	}
}

// serveHere answers a request by attempts of this instance. If that fails, it sends the request again along the route of a newer configuration if scatterer.ShouldReroute allows it.
func (f *Forwarder) serveHere(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64) Answer {
	for {
		active := f.newActiveRequest(ctx, call, request, version)
		d := active.serve(ctx)
		next := f.findReroute(call, version)
		if next == nil || !scatterer.ShouldReroute(&request, &d, next.route, time.Now()) {
			return Answer{
				Decision: d,
				Route:    request.Route,
				request:  active,
			}
		}
		f.log.Info("request rerouted", "request", loggedID(call.ID), "route", next.route.Name, "version", next.version, "before", version, "reason", d.Reason)
		request.Route = next.route
		version = next.version
	}
}

func (f *Forwarder) newActiveRequest(ctx context.Context, call *exchanger.Call, request scatterer.Request, version uint64) *activeRequest {
	return &activeRequest{
		forwarder: f,
		call:      call,
		exchanges: map[*scatterer.Attempt]*exchanger.Exchange{},
		decided:   make(chan struct{}),
		request:   request,
		version:   version,
		lease:     listener.LeaseOf(ctx),
	}
}

// serve processes the request until it is decided, the caller disconnects, this instance ends or, for a request that may run again, it becomes isolated.
func (r *activeRequest) serve(ctx context.Context) scatterer.Decision {
	if ctx.Err() != nil {
		return r.abandonUnsent()
	}
	var isolated <-chan struct{}
	if r.request.Route.Idempotent && !r.forwarder.isolation.isIsolated() {
		isolated = r.forwarder.isolation.signal()
	}
	r.start()
	select {
	case <-r.decided:
		return r.finish(scatterer.ReasonNone, abandonedTimeout)
	case <-isolated:
		r.withdrawAll()
		return r.finish(scatterer.ReasonIsolated, abandonedTimeout)
	case <-r.forwarder.ending.ctx.Done():
		r.decideNow()
		return r.finish(scatterer.ReasonNone, abandonedTimeout)
	case <-ctx.Done():
		return r.finish(scatterer.ReasonCallerGone, callerGoneTimeout)
	}
}

// runs returns how many replicas of each service may have run the request.
func (r *activeRequest) runs() map[string]int {
	r.forwarder.mutex.Lock()
	defer r.forwarder.mutex.Unlock()
	return r.job.Runs()
}

// hasAttempts reports whether attempts were made.
func (r *activeRequest) hasAttempts() bool { return len(r.attemptEntries) > 0 }

// start sends the first attempts.
func (r *activeRequest) start() {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if r.request.Route.IsSharded() {
		f.peers.queryRate.Add(now)
	}
	r.job = scatterer.New(r.request, f.policies)
	r.timer = time.AfterFunc(time.Hour, r.tick)
	r.advance(now, r.job.Start(now))
}

// tick handles the hedges, retries and deadlines that are due.
func (r *activeRequest) tick() {
	r.forwarder.mutex.Lock()
	defer r.forwarder.mutex.Unlock()
	r.handleDue(time.Now())
}

// decideNow decides the request as if its deadline had passed.
func (r *activeRequest) decideNow() {
	r.forwarder.mutex.Lock()
	defer r.forwarder.mutex.Unlock()
	now := time.Now()
	r.job.LimitDeadline(now)
	r.handleDue(now)
}

// handleDue handles what is due; the mutex must be held.
func (r *activeRequest) handleDue(now time.Time) {
	if withdrawal := r.job.GiveUp(now); withdrawal != scatterer.WithdrawNone {
		r.withdraw(now, withdrawal, unreachableOutcome)
	}
	r.advance(now, r.job.Tick(now))
}

// withdrawAll ends the attempts that have had no connection so far, before the request is abandoned.
func (r *activeRequest) withdrawAll() {
	r.forwarder.mutex.Lock()
	defer r.forwarder.mutex.Unlock()
	r.job.StopSending()
	r.withdraw(time.Now(), scatterer.WithdrawAll, unreachableOutcome)
}

var (
	// unreachableOutcome is the outcome of an attempt that has had no connection for too long.
	unreachableOutcome = scatterer.Outcome{
		Kind:         scatterer.OutcomeUnsent,
		NoConnection: true,
		Cause:        scatterer.CauseNoConnection,
	}
	// cancelledOutcome is the outcome of an attempt that was not sent because nobody waits for its answer.
	cancelledOutcome = scatterer.Outcome{
		Kind:  scatterer.OutcomeUnsent,
		Cause: scatterer.CauseCancelled,
	}
)

// withdraw ends attempts that have had no connection so far, with the outcome; the mutex must be held.
func (r *activeRequest) withdraw(now time.Time, withdrawal scatterer.Withdrawal, outcome scatterer.Outcome) {
	var results []scatterer.Result
	for _, a := range r.job.Pending() {
		if exchange := r.exchanges[a]; exchange != nil && exchange.Withdraw(withdrawal == scatterer.WithdrawAll) {
			results = append(results, scatterer.Result{
				Attempt: a,
				Outcome: outcome,
			})
		}
	}
	r.advance(now, r.handleResults(now, results))
}

// advance sends the attempts and sets the timer for the next tick, or ends the request if it is decided; the mutex must be held.
func (r *activeRequest) advance(now time.Time, attempts []*scatterer.Attempt) {
	if r.job.Decision() != nil {
		r.cancelUnsent(now, attempts)
		attempts = nil
	}
	for _, a := range attempts {
		r.attemptEntries = append(r.attemptEntries, attemptEntry{
			attempt:         a,
			expectedLatency: a.Replica.Latency(),
			inFlight:        a.Replica.InFlight(),
			outcome:         outcomePending,
		})
	}
	for _, a := range r.relayAttempts(now, attempts) {
		exchange := exchanger.NewExchange(a.Deadline.Add(deadlineSlack))
		r.exchanges[a] = exchange
		r.forwarder.diverter.RecordSent(now, a.Replica.ID, max(a.Replica.Latency(), r.request.Route.TargetLatency/2))
		direct := &directAttempt{
			owner:    r,
			attempt:  a,
			target:   targetOf(a.Replica),
			exchange: exchange,
		}
		r.lease.Hold()
		go direct.run()
	}
	if r.finished {
		return
	}
	if r.job.Decision() != nil {
		r.finished = true
		r.timer.Stop()
		close(r.decided)
		return
	}
	r.timer.Reset(max(r.job.NextTick().Sub(now), time.Millisecond))
}

// cancelUnsent cancels attempts that were not sent before the request was decided; the mutex must be held.
func (r *activeRequest) cancelUnsent(now time.Time, attempts []*scatterer.Attempt) {
	for _, a := range attempts {
		r.job.HandleOutcome(now, a, cancelledOutcome)
	}
}

// deadlineSlack is how long to wait for a reply after the deadline at which the replica must stop working.
const deadlineSlack = 20 * time.Millisecond

// abandonUnsent returns the decision on a request whose caller has disconnected before anything was sent.
func (r *activeRequest) abandonUnsent() scatterer.Decision {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r.job = scatterer.New(r.request, f.policies)
	r.job.Abandon(scatterer.ReasonCallerGone)
	r.finished = true
	d := *r.job.Decision()
	r.log(time.Now(), &d)
	return d
}

// finish returns the decision, after abandoning the request for the reason if there is none, and limits the attempts and relays still in flight to the timeout. Of a request that may run only once, attempts of which nothing was sent end at once, and the others are not cut off: their work would be lost and could not be repeated.
func (r *activeRequest) finish(reason scatterer.Reason, timeout time.Duration) scatterer.Decision {
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r.job.Abandon(reason)
	r.finished = true
	r.timer.Stop()
	now := time.Now()
	deadline := now.Add(timeout)
	if r.call.AtMostOnce {
		r.withdraw(now, scatterer.WithdrawAll, cancelledOutcome)
	} else {
		r.abandonExchanges(deadline)
	}
	for _, o := range r.relays {
		o.cancelAfter(timeout)
	}
	d := *r.job.Decision()
	r.log(now, &d)
	return d
}

// abandonExchanges ends the attempts in flight by the deadline, and at once those that wait for a connection; the mutex must be held.
func (r *activeRequest) abandonExchanges(deadline time.Time) {
	for _, a := range r.job.Pending() {
		if exchange := r.exchanges[a]; exchange != nil {
			exchange.Abandon(deadline)
		}
	}
}

// outcomePending is the logged outcome of an attempt that was in flight when the request was answered.
const outcomePending = "pending"

// log adds the request to the log; the mutex must be held.
func (r *activeRequest) log(now time.Time, d *scatterer.Decision) {
	f := r.forwarder
	for i := range r.attemptEntries {
		if a := &r.attemptEntries[i]; a.outcome == outcomePending {
			a.duration = now.Sub(a.attempt.StartedAt)
		}
	}
	if !shouldLog(r.call, d) {
		return
	}
	entry := newRequestEntry(r.call, r.request, d)
	entry.configVersion = r.version
	entry.tableIndex = f.directory.atomicIndex.Load()
	entry.minAdmittedShare = r.job.MinAdmittedShare(now)
	entry.minRetryBudget = r.job.MinRetryBudget(now)
	entry.latency = now.Sub(r.request.ArrivedAt)
	entry.attempts = r.attemptEntries
	f.requestLog.add(entry)
}

// record updates the metrics and the outcome records by the answer that the caller gets from this instance.
func (a *Answer) record() {
	r, d := a.request, &a.Decision
	f := r.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	latency := now.Sub(r.request.ArrivedAt)
	f.meter.recordRequest(r.request.Route.Name, d, latency)
	if d.Reason != scatterer.ReasonCallerGone && d.Reason != scatterer.ReasonOverAllotment {
		f.advertiser.Observe(now, d.Kind == scatterer.Relayed || d.Kind == scatterer.Gathered)
	}
	f.records.Add(newOutcomeRecord(r, d, latency))
}

// recordOutcome counts the outcome of an attempt and adds it to the log entry while the request is not finished; the mutex must be held.
func (r *activeRequest) recordOutcome(now time.Time, a *scatterer.Attempt, outcome scatterer.Outcome) {
	r.forwarder.meter.recordAttempt(a, outcome.Kind)
	if r.finished {
		return
	}
	for i := range r.attemptEntries {
		if entry := &r.attemptEntries[i]; entry.attempt == a {
			entry.outcome = outcome.Kind.String()
			entry.cause = outcome.Cause
			entry.duration = now.Sub(a.StartedAt)
		}
	}
}

// directAttempt is an attempt in progress that is not relayed.
type directAttempt struct {
	owner    *activeRequest
	attempt  *scatterer.Attempt
	target   exchanger.Target
	exchange *exchanger.Exchange
}

func (a *directAttempt) run() {
	r := a.owner
	defer r.lease.Drop()
	f := r.forwarder
	outcome := f.exchanger.Do(a.exchange, r.call, a.target, a.attempt.Deadline)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recordPath(a.target.Replica, &outcome)
	if a.exchange.IsWithdrawn() {
		return
	}
	now := time.Now()
	r.advance(now, r.handleOutcome(now, a.attempt, outcome))
}

// handleOutcome handles the outcome of an attempt and returns the attempts to send next; the mutex must be held.
func (r *activeRequest) handleOutcome(now time.Time, a *scatterer.Attempt, outcome scatterer.Outcome) []*scatterer.Attempt {
	return r.handleResults(now, []scatterer.Result{{
		Attempt: a,
		Outcome: outcome,
	}})
}

// handleResults handles the outcomes of attempts that have ended together and returns the attempts to send next; the mutex must be held.
func (r *activeRequest) handleResults(now time.Time, results []scatterer.Result) []*scatterer.Attempt {
	noticesBefore := make([]balancer.Notice, len(results))
	for i := range results {
		r.recordOutcome(now, results[i].Attempt, results[i].Outcome)
		noticesBefore[i] = results[i].Attempt.Replica.Notice(now)
	}
	attempts := r.job.HandleResults(now, results)
	for i := range results {
		r.forwarder.logNotice(now, results[i].Attempt.Replica, noticesBefore[i])
	}
	return attempts
}
