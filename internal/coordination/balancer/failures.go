package balancer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/estimator"
)

// minFailureEvidence is the number of recent attempts at a replica from which on it counts as one that rejects its requests. A replica of which less is known may accept them all.
const minFailureEvidence = 4

// FleetFailures returns the share of the recent attempts at all replicas that have failed.
func (b *Balancer) FleetFailures(now time.Time) estimator.Failures { return b.fleetFailures(now) }

// LeastFailures returns the probabilities that an attempt at the best replica of the service fails, and that one at the second best does. They are 0 for replicas of which too little is known, and 1 where there is no replica.
func (b *Balancer) LeastFailures(now time.Time, service string) (float64, float64) {
	first, second := 1.0, 1.0
	s := b.services[service]
	if s == nil {
		return first, second
	}
	for _, r := range s.replicas {
		if r.hasLeft(now) {
			continue
		}
		failure := 0.0
		if f := b.estimator.Failures(now, &r.estimate, estimator.Failures{}); f.Evidence >= minFailureEvidence {
			failure = f.Rejected + f.Lost
		}
		switch {
		case failure < first:
			first, second = failure, first
		case failure < second:
			second = failure
		}
	}
	return first, second
}
