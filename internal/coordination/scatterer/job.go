package scatterer

import (
	"slices"
	"time"

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
	// stragglersAfter is the share of the shards that have answered before the others are hedged; it leaves room for a lost availability zone of four, and some pauses.
	stragglersAfter = 0.6
	// lateShare of the target latency is what a part may come late by, for answers that still lack some.
	lateShare = 0.2
	// unknownHedge of the target latency is waited while no latency was observed.
	unknownHedge = 0.35
	// retryAfterFault is when a caller may come back whose request found no sound replica: a short rest of a replica.
	retryAfterFault = 250 * time.Millisecond
	// retryAfterBusy is when a caller may come back whom the replicas refused for load.
	retryAfterBusy = 100 * time.Millisecond
)

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
	// answered is how many shards have a reply.
	answered int
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
	allowance := policies.Allowance + policies.Overrun.For(r.Target)
	j.soft = earlier(request.Arrived.Add(max(r.Target-allowance, r.Target/2)), j.hard)
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

// Written notes when the answer had been written to the caller; what an answer in part takes beyond its moment is allowed for from then on.
func (j *Job) Written(now time.Time) {
	if j.decision != nil && j.decision.Kind == Gathered && j.decision.Reason == ReasonCut {
		j.policies.Overrun.Observe(now.Sub(j.soft))
	}
}

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
	if s.reply != nil {
		j.answered++
	}
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
		least = min(least, j.policies.Window(s.service).RemainingShare(now))
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
