package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

// ExplainedShard is the choice at one service.
type ExplainedShard struct {
	Service    string
	Candidates []balancer.Candidate
	// Chosen is the number of the candidate that would be chosen, -1 if there is none.
	Chosen          int
	RetryBudgetLeft float64
}

// Explanation is what would become of a request now.
type Explanation struct {
	// Refusal is why the request would be refused, and RetryAfter the time it would be told; empty if it would be sent.
	Refusal      Reason
	RetryAfter   time.Duration
	ExpectedWork time.Duration
	Shards       []ExplainedShard
}

// Explain returns what would become of the request now, without sending, charging or learning anything. A quarantine is left out, since it depends on the whole request. Shards that are left out at random for congestion count by their probability.
func Explain(now time.Time, request Request, policies *Policies) Explanation {
	j := New(request, policies)
	e := Explanation{
		ExpectedWork: j.work.expected,
	}
	e.Refusal, e.RetryAfter = j.explainRefusal(now)
	for _, service := range request.Route.ServiceNames() {
		shard := ExplainedShard{
			Service:         service,
			RetryBudgetLeft: policies.RetryBudget(service).RemainingShare(now),
		}
		shard.Candidates, shard.Chosen = policies.Balancer.Candidates(now, service, j.work.expected)
		e.Shards = append(e.Shards, shard)
	}
	return e
}

// explainRefusal returns the refusal that Start would make, and its Retry-After.
func (j *Job) explainRefusal(now time.Time) (Reason, time.Duration) {
	reachable, admitted := 0, 0.0
	for _, s := range j.shards {
		if j.policies.Balancer.ReplicaCount(now, s.service) == 0 {
			continue
		}
		reachable++
		if j.request.Route.IsSharded() {
			admitted += j.policies.Shedder.SentShare(now, j.traffic(s.service))
		}
	}
	if reachable < j.requiredCount() {
		return ReasonNoReplica, RetryAfterFailure
	}
	if j.request.Route.IsSharded() && admitted < float64(j.requiredCount()) {
		return ReasonCongested, retryAfterOverload
	}
	if wait := j.acceptDelay(now); wait > 0 {
		return ReasonLimited, max(wait, retryAfterOverload)
	}
	if wait := j.rejectionDelay(now); wait > 0 {
		return ReasonRejecting, wait
	}
	return ReasonNone, 0
}
