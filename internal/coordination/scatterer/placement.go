package scatterer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

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
	if !j.mayHedge(s) || j.isCongested(now, s) || !j.hasStragglers() {
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

// hasStragglers reports whether so many shards have answered that the others are late by comparison. Where most are out, as on an instance that has just started and opens every connection anew, the time goes elsewhere, and hedges would only add to it.
func (j *Job) hasStragglers() bool {
	return !j.request.Route.IsGathered() || float64(j.in()) >= stragglersAfter*float64(len(j.shards))
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
	if repeat && !window.TryRepeat(now) {
		// Behind the target an answer is late anyway, so nobody is kept waiting for the budget.
		if now.Before(j.soft) {
			s.retryAt = now.Add(tryAgain)
		}
		return nil
	}
	if kind == AttemptFirst {
		window.CountRequest(now)
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
