package scatterer

import (
	"math"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

const (
	// answerMargin is kept between the last moment of waiting and the caller's deadline or the route's timeout.
	answerMargin = 15 * time.Millisecond
	// defaultWait stands for the deadline of a caller that has named none.
	defaultWait = time.Minute
	// rejectedExtra is how many replicas more than may run a request may reject it.
	rejectedExtra = 2
	// tryAgain is the pause before a repeat that the budget forbade is looked at again.
	tryAgain = 10 * time.Millisecond
	// earliestHedge is the least time before an attempt is repeated.
	earliestHedge = 3 * time.Millisecond
	// hedgeAbove is the share of a service's load below which stragglers are not hedged; a pause of one replica alone stays above.
	hedgeAbove = 0.97
	// lateShare of the target latency is what a part may come late by, for answers that still lack some.
	lateShare = 0.2
	// unknownHedge of the target latency is waited while no latency was observed.
	unknownHedge = 0.35
	// retryAfterFault is when a caller may come back whose request found no sound replica: a short rest of a replica.
	retryAfterFault = 250 * time.Millisecond
	// retryAfterBusy is when a caller may come back whom the replicas refused for load.
	retryAfterBusy = 100 * time.Millisecond
)

// shard is what one service owes to the request.
type shard struct {
	service string
	// pending are the attempts without an end.
	pending []*Attempt
	tried   []string
	// runs is how many attempts may have run, those in flight included.
	runs int
	// arrived says that a replica has seen the request, so that a further attempt is a repeat.
	arrived bool
	reply   *Reply
	// failure is the last answer that is no success.
	failure *Reply
	// rejected and broken say how attempts have ended.
	rejected bool
	broken   bool
	// skipped says that the service is too congested to be asked in time.
	skipped bool
	// retryAt is when a retry that the budget forbade is looked at again; zero while none is wanted.
	retryAt time.Time
}

// Job is one caller's request in flight; it is not safe for concurrent use.
type Job struct {
	request  Request
	policies *Policies
	shards   []*shard
	class    string
	// soft is when a partial answer is worth more than waiting, and hard when waiting ends.
	soft     time.Time
	hard     time.Time
	decision *Decision
}

// New returns a job that has asked nobody yet.
func New(request Request, policies *Policies) *Job {
	r := request.Route
	if request.Deadline.IsZero() {
		request.Deadline = request.Arrived.Add(defaultWait)
	}
	j := &Job{
		request:  request,
		policies: policies,
		class:    r.Name,
		hard:     earlier(request.Deadline, request.Arrived.Add(r.Timeout)).Add(-answerMargin),
	}
	j.soft = earlier(request.Arrived.Add(max(r.Target-policies.Allowance, r.Target/2)), j.hard)
	if !r.IsGathered() {
		j.shards = []*shard{{
			service: r.ServiceFor(request.ID),
		}}
		return j
	}
	for _, service := range r.Shards {
		j.shards = append(j.shards, &shard{
			service: service,
		})
	}
	return j
}

// Decision returns what the caller is told, or nil while that is open.
func (j *Job) Decision() *Decision { return j.decision }

// Pending returns the attempts without an end.
func (j *Job) Pending() []*Attempt {
	var list []*Attempt
	for _, s := range j.shards {
		list = append(list, s.pending...)
	}
	return list
}

// Start asks every shard once, or refuses before anything is sent where too few have a replica.
func (j *Job) Start(now time.Time) []*Attempt {
	reachable := 0
	for _, s := range j.shards {
		if j.policies.Balancer.Count(s.service) > 0 {
			reachable++
		}
	}
	if reachable < j.least() {
		j.decide(Decision{
			Kind:       Refused,
			Reason:     ReasonNoReplica,
			RetryAfter: retryAfterFault,
		})
		return nil
	}
	if !j.shed(now) {
		j.decide(Decision{
			Kind:       Refused,
			Reason:     ReasonCongested,
			RetryAfter: retryAfterBusy,
		})
		return nil
	}
	var sends []*Attempt
	for i, s := range j.shards {
		if s.skipped {
			continue
		}
		if a := j.place(now, i, s, AttemptFirst); a != nil {
			sends = append(sends, a)
		}
	}
	j.settle(now)
	return j.keep(sends)
}

// shed leaves congested shards out, and reports false where that leaves too few for an answer.
func (j *Job) shed(now time.Time) bool {
	if !j.request.Route.IsGathered() {
		return true
	}
	kept := 0
	for _, s := range j.shards {
		s.skipped = !j.policies.Shedder.Admits(now, j.load(s.service))
		if !s.skipped && j.policies.Balancer.Count(s.service) > 0 {
			kept++
		}
	}
	return kept >= j.least()
}

func (j *Job) load(service string) shedder.Load {
	return shedder.Load{
		Service:  service,
		Class:    j.class,
		Priority: j.request.Route.Priority,
	}
}

// Ended takes the end of an attempt.
func (j *Job) Ended(now time.Time, a *Attempt, outcome Outcome) []*Attempt {
	s := j.shards[a.Shard]
	s.pending = slices.DeleteFunc(s.pending, func(other *Attempt) bool { return other == a })
	j.learn(now, a, outcome)
	if j.decision != nil || s.reply != nil {
		return nil
	}
	s.take(a, outcome)
	var sends []*Attempt
	if s.reply == nil && len(s.pending) == 0 {
		sends = j.retry(now, a.Shard, s)
	}
	j.settle(now)
	return j.keep(sends)
}

// Tick hedges stragglers, makes retries that were put off, and decides what time decides.
func (j *Job) Tick(now time.Time) []*Attempt {
	if j.decision != nil {
		return nil
	}
	var sends []*Attempt
	for i, s := range j.shards {
		switch {
		case s.reply != nil:
		case !s.retryAt.IsZero() && !now.Before(s.retryAt):
			sends = append(sends, j.retry(now, i, s)...)
		case len(s.pending) == 1 && !now.Before(s.pending[0].hedgeAt):
			sends = append(sends, j.hedge(now, i, s)...)
		}
	}
	j.settle(now)
	return j.keep(sends)
}

// Wake returns when Tick is due next.
func (j *Job) Wake() time.Time {
	wake := j.hard
	if j.request.Route.IsGathered() && j.in() >= j.least() {
		wake = earlier(wake, j.soft)
	}
	for _, s := range j.shards {
		switch {
		case s.reply != nil:
		case !s.retryAt.IsZero():
			wake = earlier(wake, s.retryAt)
		case len(s.pending) == 1 && j.mayHedge(s):
			wake = earlier(wake, s.pending[0].hedgeAt)
		}
	}
	return wake
}

// keep drops attempts that a decision has overtaken before they were sent.
func (j *Job) keep(sends []*Attempt) []*Attempt {
	if j.decision == nil {
		return sends
	}
	for _, a := range sends {
		s := j.shards[a.Shard]
		s.pending = slices.DeleteFunc(s.pending, func(other *Attempt) bool { return other == a })
		j.policies.Balancer.Ended(a.Replica, a.Began)
	}
	return nil
}

// learn keeps what the end of an attempt says about its replica.
func (j *Job) learn(now time.Time, a *Attempt, outcome Outcome) {
	b := j.policies.Balancer
	b.Ended(a.Replica, a.Began)
	took := now.Sub(a.Began)
	expired := !now.Before(a.Deadline)
	switch {
	case outcome.Kind == OutcomeReplied && outcome.Reply.IsSuccess():
		b.Answered(a.Replica, j.class, took)
	case outcome.Cause == CausePeer:
	case outcome.Cause == CauseGivenUp, expired && outcome.Kind != OutcomeBroken:
		if outcome.Kind != OutcomeUnsent {
			b.Outrun(a.Replica, took)
		}
	default:
		b.Failed(now, a.Replica)
	}
	if !j.request.Route.IsGathered() || a.Kind != AttemptFirst {
		return
	}
	// An answer in the last quarter of the time that it had says that the next may come too late.
	useful := a.Began.Add(j.soft.Sub(a.Began) * 3 / 4)
	j.policies.Shedder.Observe(now, j.load(a.Service), outcome.Kind == OutcomeRejected || now.After(useful))
}

// CauseGivenUp is the cause of an attempt that was broken off here, which says nothing against its replica but that it took long.
const CauseGivenUp = "given-up"

// CausePeer is the cause of an attempt that the entry instance which was to carry it did not answer for, which says nothing against its replica.
const CausePeer = "peer"

func (s *shard) take(a *Attempt, outcome Outcome) {
	if outcome.Kind == OutcomeUnsent && outcome.Cause == CausePeer {
		// The replica was not reached by this way, and may be by another.
		s.tried = slices.DeleteFunc(s.tried, func(id string) bool { return id == a.Replica.ID })
	}
	switch outcome.Kind {
	case OutcomeReplied:
		if outcome.Reply.IsSuccess() {
			s.reply = outcome.Reply
		} else {
			s.failure = outcome.Reply
		}
	case OutcomeRejected:
		s.runs--
		s.rejected = true
	case OutcomeMisdirected, OutcomeUnsent:
		s.runs--
	default:
		s.broken = true
	}
	if outcome.Kind != OutcomeUnsent {
		s.arrived = true
	}
}

// retry asks another replica after all attempts of a shard have ended without success.
func (j *Job) retry(now time.Time, i int, s *shard) []*Attempt {
	s.retryAt = time.Time{}
	if !j.mayRepeat(s) {
		return nil
	}
	a := j.place(now, i, s, AttemptRetry)
	if a == nil {
		return nil
	}
	return []*Attempt{a}
}

// mayRepeat reports whether a further attempt could run without breaking the promise of the request's kind.
func (j *Job) mayRepeat(s *shard) bool {
	if !j.request.Route.Idempotent && (s.broken || s.failure != nil) {
		return false
	}
	return s.runs < j.request.Route.Attempts && len(s.tried) < j.request.Route.Attempts+rejectedExtra
}

func (j *Job) mayHedge(s *shard) bool {
	return j.request.Route.Idempotent && j.mayRepeat(s)
}

func (j *Job) hedge(now time.Time, i int, s *shard) []*Attempt {
	slow := s.pending[0]
	slow.hedgeAt = now.Add(tryAgain)
	if !j.mayHedge(s) || j.isCongested(now, s) {
		return nil
	}
	a := j.place(now, i, s, AttemptHedge)
	s.retryAt = time.Time{}
	if a == nil {
		return nil
	}
	j.policies.Balancer.Outrun(slow.Replica, now.Sub(slow.Began))
	return []*Attempt{a}
}

// isCongested reports whether a repeat would take the place of a first attempt.
func (j *Job) isCongested(now time.Time, s *shard) bool {
	return j.request.Route.IsGathered() && j.policies.Shedder.Share(now, j.load(s.service)) < hedgeAbove
}

// place chooses a replica and takes what the attempt costs from the budget; nil where there is no replica, or no budget, which sets retryAt.
func (j *Job) place(now time.Time, i int, s *shard, kind AttemptKind) *Attempt {
	replica := j.policies.Balancer.Pick(now, s.service, func(r *balancer.State) bool {
		// A hedge that would queue behind this instance's own work helps nobody.
		return !slices.Contains(s.tried, r.ID) && (kind != AttemptHedge || r.HasFreeSlot())
	})
	if replica == nil {
		return nil
	}
	window := j.policies.Window(s.service)
	repeat := s.arrived || len(s.pending) > 0
	if repeat && !window.Spend(now) {
		// Behind the target an answer is late anyway, so nobody is kept waiting for the budget.
		if now.Before(j.soft) {
			s.retryAt = now.Add(tryAgain)
		}
		return nil
	}
	if kind == AttemptFirst {
		window.Note(now)
	}
	a := &Attempt{
		Shard:    i,
		Service:  s.service,
		Replica:  replica,
		Kind:     kind,
		Began:    now,
		Deadline: j.stopWork(now),
		hedgeAt:  now.Add(j.hedgeDelay()),
	}
	j.policies.Balancer.Sent(now, replica)
	s.pending = append(s.pending, a)
	s.tried = append(s.tried, replica.ID)
	s.runs++
	return a
}

// stopWork is when a replica is to give an attempt up: work on a part that can't be used any more would only delay other parts.
func (j *Job) stopWork(now time.Time) time.Time {
	if !j.request.Route.IsGathered() || !now.Before(j.soft) {
		return j.hard
	}
	return earlier(j.hard, j.soft.Add(time.Duration(lateShare*float64(j.request.Route.Target))))
}

func (j *Job) hedgeDelay() time.Duration {
	delay := j.policies.Balancer.HedgeDelay(j.class)
	if delay == 0 {
		delay = time.Duration(unknownHedge * float64(j.request.Route.Target))
	}
	return max(delay, earliestHedge)
}

// in returns how many shards have answered.
func (j *Job) in() int {
	count := 0
	for _, s := range j.shards {
		if s.reply != nil {
			count++
		}
	}
	return count
}

// awaited returns how many shards may still answer.
func (j *Job) awaited() int {
	count := 0
	for _, s := range j.shards {
		if s.reply == nil && (len(s.pending) > 0 || !s.retryAt.IsZero()) {
			count++
		}
	}
	return count
}

// least returns how many shards an answer must hold.
func (j *Job) least() int {
	if !j.request.Route.IsGathered() {
		return 1
	}
	// A share that is met exactly must not be missed by rounding.
	const epsilon = 1e-9
	return max(1, int(math.Ceil(j.request.Route.LeastShare*float64(len(j.shards))-epsilon)))
}

// settle decides where nothing more can be won by waiting.
func (j *Job) settle(now time.Time) {
	if j.decision != nil {
		return
	}
	in, awaited, least := j.in(), j.awaited(), j.least()
	switch {
	case in == len(j.shards), awaited == 0 && in >= least:
		j.answer(ReasonShardsLost)
	case in+awaited < least:
		j.giveUp(ReasonNone)
	case in >= least && !now.Before(j.soft):
		j.answer(ReasonCut)
	case !now.Before(j.hard):
		j.giveUp(ReasonDeadline)
	}
}

func (j *Job) answer(reason Reason) {
	d := Decision{
		Kind: Gathered,
	}
	if !j.request.Route.IsGathered() {
		d.Kind = Relayed
	}
	for _, s := range j.shards {
		if s.reply == nil {
			d.Missing++
			continue
		}
		d.Replies = append(d.Replies, s.reply)
	}
	if d.Missing > 0 {
		d.Reason = reason
	}
	j.decide(d)
}

// giveUp says no more than what is proved: that nothing has run, or nothing at all.
func (j *Job) giveUp(reason Reason) {
	if !j.request.Route.IsGathered() && j.shards[0].failure != nil {
		j.decide(Decision{
			Kind:    Relayed,
			Reason:  ReasonBroken,
			Replies: []*Reply{j.shards[0].failure},
		})
		return
	}
	ran, rejected := false, false
	for _, s := range j.shards {
		ran = ran || s.runs > 0
		rejected = rejected || s.rejected
	}
	d := Decision{
		Kind:       Failed,
		Reason:     ReasonBroken,
		Missing:    len(j.shards) - j.in(),
		RetryAfter: retryAfterFault,
	}
	switch {
	case !ran && rejected:
		d.Kind = Refused
		d.Reason = ReasonRejected
		d.RetryAfter = retryAfterBusy
	case !ran:
		d.Kind = Refused
		d.Reason = ReasonNoReplica
	case reason == ReasonDeadline:
		d.Kind = Expired
		d.Reason = ReasonDeadline
	}
	j.decide(d)
}

func (j *Job) decide(d Decision) { j.decision = &d }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// LeastShare returns the least share of sub-requests that is sent of any of the request's services.
func (j *Job) LeastShare(now time.Time) float64 {
	least := 1.0
	for _, s := range j.shards {
		least = min(least, j.policies.Shedder.Share(now, j.load(s.service)))
	}
	return least
}

// LeastBudget returns the least share of repeats left of any of the request's services.
func (j *Job) LeastBudget(now time.Time) float64 {
	least := 1.0
	for _, s := range j.shards {
		least = min(least, j.policies.Window(s.service).Left(now))
	}
	return least
}

// Abandon ends a job whose caller has gone.
func (j *Job) Abandon() {
	if j.decision == nil {
		j.decide(Decision{
			Kind:   Failed,
			Reason: ReasonAbandoned,
		})
	}
}

// Route returns the route that the request takes.
func (j *Job) Route() *matcher.Route { return j.request.Route }
