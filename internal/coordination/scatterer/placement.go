package scatterer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

// sendShard returns the first attempt of the shard, or one at another replica after all of its attempts have ended without success, or nil if none is allowed now.
func (j *Job) sendShard(now time.Time, i int, s *shard) []*Attempt {
	s.retryAt = time.Time{}
	if !j.canRetry(s) || j.isQuarantined(now, s) {
		return nil
	}
	if j.isHeld() {
		s.retryAt = now.Add(recheckInterval)
		return nil
	}
	kind := AttemptRetry
	if !s.wasPlaced {
		kind = AttemptFirst
	}
	a := j.placeAttempt(now, i, s, kind)
	if a == nil {
		return nil
	}
	j.notePlaced(a)
	return []*Attempt{a}
}

// canRetry reports whether another attempt is allowed. A request that is not idempotent is never sent again once it may have run, and the number of replicas that it reaches is bounded.
func (j *Job) canRetry(s *shard) bool {
	if j.screening.hasFailed || j.hasGivenUp && !s.reachedReplica && len(s.pending) == 0 {
		return false
	}
	if !j.request.Route.Idempotent && (s.sawBroken || s.failureReply != nil) {
		return false
	}
	reached := len(s.triedReplicas) - s.unsentCount
	return s.possibleRuns < j.request.Route.MaxRuns && reached < j.request.Route.MaxRuns+maxExtraRejections
}

func (j *Job) canHedge(s *shard) bool {
	return j.request.Route.Idempotent && j.canRetry(s)
}

func (j *Job) hedgeShard(now time.Time, i int, s *shard) []*Attempt {
	straggler := s.pending[0]
	straggler.hedgeAt = now.Add(recheckInterval)
	if !j.canHedge(s) || j.isCongested(now, s) || !j.hasStragglers() || !j.deservesHedge(now, s, straggler) {
		return nil
	}
	a := j.placeAttempt(now, i, s, AttemptHedge)
	s.retryAt = time.Time{}
	if a == nil {
		return nil
	}
	j.policies.Balancer.RecordMinLatency(now, straggler.Replica, j.work.half, now.Sub(straggler.StartedAt))
	return []*Attempt{a}
}

// isCongested reports whether so much of the service's load is shed that a hedge would displace a first attempt.
func (j *Job) isCongested(now time.Time, s *shard) bool {
	return j.request.Route.IsSharded() && j.policies.Shedder.AdmittedShare(now, j.traffic(s.service)) < minAdmittedShareToHedge
}

// hasStragglers reports whether enough shards have answered for the others to count as slow. While most are outstanding, as on an instance that has just started and opens all of its connections, the delay has another cause, and hedges would only add load.
func (j *Job) hasStragglers() bool {
	return !j.request.Route.IsSharded() || float64(j.answeredCount()) >= minAnsweredShareToHedge*float64(len(j.shards))
}

// placeAttempt picks a replica and charges a repeat to the retry budget. It returns nil if there is no replica or the budget is exhausted; in the latter case it sets retryAt unless the soft deadline has passed.
func (j *Job) placeAttempt(now time.Time, i int, s *shard, kind AttemptKind) *Attempt {
	replica := j.policies.Balancer.PickFor(now, j.demand(s), func(r *balancer.ReplicaState) bool {
		// A hedge that would queue behind this instance's own attempts gains nothing.
		return j.allowsReplica(r) && !slices.Contains(s.triedReplicas, r.ID) && (kind != AttemptHedge || r.HasFreeSlot())
	})
	if replica == nil || kind == AttemptHedge && j.isBudgetShort(now, s) && !j.repliesInTime(now, replica) {
		return nil
	}
	budget := j.policies.RetryBudget(s.service)
	isRepeat := s.reachedReplica || len(s.pending) > 0
	if isRepeat && (!j.deservesRepeat(now, budget) || !budget.TryRepeat(now)) {
		// After the soft deadline the answer is late anyway, so the job does not wait for the budget.
		if now.Before(j.softDeadline) {
			s.retryAt = now.Add(recheckInterval)
		}
		return nil
	}
	if kind == AttemptFirst {
		budget.CountRequest(now)
	}
	a := j.newAttempt(i, kind)
	*a = Attempt{
		Shard:     i,
		Service:   s.service,
		Replica:   replica,
		Kind:      kind,
		StartedAt: now,
		Deadline:  j.attemptDeadline(now),
		hedgeAt:   now.Add(j.hedgeDelay(now)),
		round:     j.policies.Screener.NextRound(j.request.Fingerprint),
	}
	j.policies.Balancer.RecordStart(now, replica)
	s.pending = append(s.pending, a)
	s.triedReplicas = append(s.triedReplicas, replica.ID)
	s.wasPlaced = true
	s.possibleRuns++
	return a
}

func (j *Job) newAttempt(shard int, kind AttemptKind) *Attempt {
	if kind == AttemptFirst {
		return &j.firstAttempts[shard]
	}
	return &Attempt{}
}

// attemptDeadline returns when a replica must stop working on an attempt: work on a reply that arrives too late to be used would only delay other replies.
func (j *Job) attemptDeadline(now time.Time) time.Time {
	if !j.request.Route.IsSharded() || !now.Before(j.softDeadline) {
		return j.hardDeadline
	}
	return earlier(j.hardDeadline, j.softDeadline.Add(time.Duration(lateReplyShare*float64(j.request.Route.TargetLatency))))
}

// hedgeDelay returns how long an attempt that starts now may take before it is hedged. A hedge is sent while its reply may still arrive before the soft deadline.
func (j *Job) hedgeDelay(now time.Time) time.Duration {
	delay := j.policies.Balancer.HedgeDelay(j.class)
	if delay == 0 {
		delay = time.Duration(defaultHedgeShare * float64(j.request.Route.TargetLatency))
	}
	replyTime := time.Duration(hedgeReplyMedians * float64(j.policies.Balancer.MedianLatency(j.class)))
	if last := j.softDeadline.Sub(now) - replyTime; last >= minHedgeDelay {
		delay = min(delay, last)
	}
	return max(delay, minHedgeDelay)
}
