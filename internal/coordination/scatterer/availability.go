package scatterer

import (
	"time"
)

// retryAfterDrain is the Retry-After of a request whose replicas are in drained availability zones. The end of a drain is not known, and takes effect everywhere within seconds.
const retryAfterDrain = time.Second

// unavailability returns why too few shards have a replica that attempts may be sent to, or ReasonNone if enough have.
func (j *Job) unavailability(now time.Time) Reason {
	reachable, drained, foreign := 0, 0, 0
	b := j.policies.Balancer
	for _, s := range j.shards {
		switch {
		case b.CountAmong(now, s.service, j.allowsReplica) > 0:
			reachable++
		case b.HasDrainedReplica(now, s.service, j.allowsReplica):
			drained++
		case b.ReplicaCount(now, s.service) > 0:
			foreign++
		}
	}
	switch required := j.requiredCount(); {
	case reachable >= required:
		return ReasonNone
	case reachable+drained >= required:
		return ReasonZoneDrained
	case reachable+drained+foreign >= required:
		return ReasonHomeRegions
	default:
		return ReasonNoReplica
	}
}

// refuseUnavailable refuses a request of which nothing was sent.
func (j *Job) refuseUnavailable(reason Reason) {
	j.setDecision(Decision{
		Kind:       Refused,
		Reason:     reason,
		RetryAfter: retryAfterUnavailable(reason),
	})
}

// explainUnsent sets why nothing of the request was sent after attempts had been made, and when the next try makes sense. By then replicas may have been drained, or may have told through a relay that they accept no request now.
func (j *Job) explainUnsent(now time.Time, d *Decision) {
	d.Reason = ReasonNoReplica
	if reason := j.unavailability(now); reason != ReasonNone {
		d.Reason = reason
		d.RetryAfter = retryAfterUnavailable(reason)
		return
	}
	if wait := j.acceptDelay(now); wait > 0 {
		d.Reason = ReasonLimited
		d.RetryAfter = max(wait, retryAfterOverload)
	}
}

func retryAfterUnavailable(reason Reason) time.Duration {
	if reason == ReasonZoneDrained {
		return retryAfterDrain
	}
	return RetryAfterFailure
}
