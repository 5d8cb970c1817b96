package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

const (
	// straggleHalves is how many times as long as the reply with which half of the shards had answered an attempt must take to count as a straggler.
	straggleHalves = 1.5
	// fewLeftShare is the share of shards that have answered from which on the others count as stragglers in any case. The remaining tenth fits into the retry budget.
	fewLeftShare = 0.9
	// scarceBudgetShare is the unused share of the retry budget below which repeats are kept for the queries that need them.
	scarceBudgetShare = 0.34
	// shortBudgetShare is the unused share below which only stragglers are hedged, and only where the reply is expected in time. While there is more, a hedge that may help is worth its repeat.
	shortBudgetShare = 0.5
)

// deservesHedge reports whether the attempt at the shard is hedged as far as the retry budget goes.
func (j *Job) deservesHedge(now time.Time, s *shard, a *Attempt) bool {
	return !j.isBudgetShort(now, s) || j.isStraggler(now, a)
}

// isBudgetShort reports whether hedges are limited to those that are likely to help.
func (j *Job) isBudgetShort(now time.Time, s *shard) bool {
	return j.policies.RetryBudget(s.service).RemainingShare(now) < shortBudgetShare
}

// isStraggler reports whether the attempt takes long in relation to those of the same request at other shards. A request that is costly everywhere has no stragglers, whatever the usual latency is.
func (j *Job) isStraggler(now time.Time, a *Attempt) bool {
	if !j.request.Route.IsSharded() || float64(j.answeredCount()) >= fewLeftShare*float64(len(j.shards)) {
		return true
	}
	return float64(now.Sub(a.StartedAt)) >= straggleHalves*float64(j.work.half)
}

// repliesInTime reports whether an attempt of a request over shards at the replica is expected to be answered before the next deadline.
func (j *Job) repliesInTime(now time.Time, r *balancer.ReplicaState) bool {
	if !j.request.Route.IsSharded() {
		return true
	}
	deadline := j.softDeadline
	if !now.Before(deadline) {
		deadline = j.hardDeadline
	}
	cost := j.policies.Balancer.Explain(now, r, j.work.best())
	return !now.Add(cost.Work + cost.Wait + cost.Zone).After(deadline)
}

// deservesRepeat reports whether a repeat may be charged to the budget. One that is short is kept for the requests that need a repeat for an answer and can still get one.
func (j *Job) deservesRepeat(now time.Time, budget *limiter.Window) bool {
	if !j.request.Route.IsSharded() || budget.RemainingShare(now) >= scarceBudgetShare {
		return true
	}
	return j.answeredCount() < j.requiredCount() && j.canReachRequired(now)
}

// canReachRequired reports whether enough shards have answered, wait for a reply or may be tried again within their budgets.
func (j *Job) canReachRequired(now time.Time) bool {
	missing := j.requiredCount() - j.answeredCount()
	for _, s := range j.shards {
		if missing <= 0 {
			return true
		}
		if s.reply == nil && (len(s.pending) > 0 || j.mayRepeat(now, s)) {
			missing--
		}
	}
	return missing <= 0
}

// mayRepeat reports whether the shard may be tried again.
func (j *Job) mayRepeat(now time.Time, s *shard) bool {
	return !s.skipped && j.canRetry(s) && j.policies.RetryBudget(s.service).CanRepeat(now)
}
