package scatterer

import (
	"math"
	"time"
)

// answeredCount returns how many shards have answered.
func (j *Job) answeredCount() int { return j.answeredShards }

// outstandingCount returns how many shards may still answer. It counts anew only after a change other than an answer.
func (j *Job) outstandingCount() int {
	if !j.deadShardsKnown {
		j.deadShards = j.countDeadShards()
		j.deadShardsKnown = true
	}
	return len(j.shards) - j.answeredShards - j.deadShards
}

// countDeadShards returns how many shards have not answered and will not.
func (j *Job) countDeadShards() int {
	count := 0
	for _, s := range j.shards {
		if s.reply == nil && len(s.pending) == 0 && s.retryAt.IsZero() {
			count++
		}
	}
	return count
}

// requiredCount returns how many shards an answer must include.
func (j *Job) requiredCount() int {
	if !j.request.Route.IsSharded() {
		return 1
	}
	// Rounding must not raise the count when the share is met exactly.
	const epsilon = 1e-9
	return max(1, int(math.Ceil(j.request.Route.MinShardShare*float64(len(j.shards))-epsilon)))
}

// tryDecide makes the decision once waiting longer cannot improve the answer or a deadline has passed.
func (j *Job) tryDecide(now time.Time) {
	if j.decision != nil {
		return
	}
	answered, outstanding, required := j.answeredCount(), j.outstandingCount(), j.requiredCount()
	switch {
	case answered == len(j.shards), outstanding == 0 && answered >= required:
		j.decideSuccess(ReasonShardsLost)
	case answered+outstanding < required:
		j.decideFailure(now, ReasonNone)
	case answered >= required && !now.Before(j.softDeadline):
		j.decideSuccess(ReasonCutAtTarget)
	case !now.Before(j.hardDeadline):
		j.decideFailure(now, ReasonDeadline)
	}
	if j.decision != nil {
		j.learnWork(now)
	}
}

func (j *Job) decideSuccess(reason Reason) {
	d := Decision{
		Kind: Gathered,
	}
	if !j.request.Route.IsSharded() {
		d.Kind = Relayed
	}
	for _, s := range j.shards {
		if s.reply == nil {
			d.MissingShards++
			continue
		}
		d.Replies = append(d.Replies, s.reply)
	}
	if d.MissingShards > 0 {
		d.Reason = reason
	}
	j.setDecision(d)
}

// CanRelay reports whether the caller may get the reply as it is. Its status must be one of HTTP, and one that came after a run must not tell the caller of a request that may run once to send it again.
func (r *Request) CanRelay(reply *Reply) bool {
	return IsFinalStatus(reply.Status) && (r.Route.Idempotent || !reply.PromisesNoRun())
}

// decideFailure relays the failed reply of a route without shards, or decides that there is no answer. The decision is Refused only if no attempt can have run.
func (j *Job) decideFailure(now time.Time, reason Reason) {
	if failure := j.shards[0].failureReply; !j.request.Route.IsSharded() && failure != nil && j.request.CanRelay(failure) {
		j.setDecision(Decision{
			Kind:    Relayed,
			Reason:  ReasonReplicaFailed,
			Replies: []*Reply{failure},
		})
		return
	}
	mayHaveRun, rejected := false, false
	for _, s := range j.shards {
		mayHaveRun = mayHaveRun || s.possibleRuns > 0
		rejected = rejected || s.sawRejection
	}
	d := Decision{
		Kind:          Failed,
		Reason:        ReasonReplicaFailed,
		MissingShards: len(j.shards) - j.answeredCount(),
		RetryAfter:    RetryAfterFailure,
	}
	switch {
	case !mayHaveRun && rejected:
		d.Kind = Refused
		d.Reason = ReasonRejected
		d.RetryAfter = max(j.acceptDelay(now), retryAfterOverload)
	case !mayHaveRun:
		d.Kind = Refused
		j.explainUnsent(now, &d)
	case reason == ReasonDeadline:
		d.Kind = Expired
		d.Reason = ReasonDeadline
	}
	j.setDecision(d)
}

// setDecision makes the decision. A request that another instance has sent is not refused, which would state that it has not run.
func (j *Job) setDecision(d Decision) {
	if d.Kind == Refused && len(j.request.Runs) > 0 {
		d.Kind = Failed
	}
	j.decision = &d
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
