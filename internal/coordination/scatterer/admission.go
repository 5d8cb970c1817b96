package scatterer

import (
	"math"
	"time"
)

const (
	// minFleetEvidence and minFleetFailures are how many recent attempts must be known, and which share of them must have failed, for a request to be refused because of them.
	minFleetEvidence = 60
	minFleetFailures = 0.3
	// admissionMargin is the number of standard deviations by which the expected number of answers must fall short. A wrong refusal is worse than a late answer.
	admissionMargin = 3
)

// admissionDelays are the times after which a refused request may come back. The first one after which it would be sent is told.
var admissionDelays = [...]time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second}

// rejectionDelay returns how long a request over shards has to wait because so many replicas reject their requests that it would get no answer; 0 if it may. As what is known ages, requests are sent again and find out.
func (j *Job) rejectionDelay(now time.Time) time.Duration {
	if !j.request.Route.IsSharded() {
		return 0
	}
	fleet := j.policies.Balancer.FleetFailures(now)
	if fleet.Evidence < minFleetEvidence || fleet.Rejected+fleet.Lost < minFleetFailures || j.mayGetAnswer(now) {
		return 0
	}
	for _, delay := range admissionDelays {
		if j.mayGetAnswer(now.Add(delay)) {
			return delay
		}
	}
	return admissionDelays[len(admissionDelays)-1]
}

// mayGetAnswer reports whether, by what is known of the replicas and of the retry budget at the given time, enough shards may answer.
func (j *Job) mayGetAnswer(now time.Time) bool {
	expected, variance := 0.0, 0.0
	for _, s := range j.shards {
		if s.skipped {
			continue
		}
		first, second := j.policies.Balancer.LeastFailures(now, s.service)
		failure := first
		if j.policies.RetryBudget(s.service).MayRepeatAt(now) {
			failure *= second
		}
		expected += 1 - failure
		variance += failure * (1 - failure)
	}
	return expected+admissionMargin*math.Sqrt(variance) >= float64(j.requiredCount())
}
