package router

import "time"

// quantileStep scales the change of the estimate by one observation.
const quantileStep = 0.05

// Quantile estimates one quantile of a stream of durations in constant space.
type Quantile struct {
	quantile float64
	estimate time.Duration
}

// NewQuantile returns an estimator of the quantile, between 0 and 1.
func NewQuantile(quantile float64) *Quantile {
	return &Quantile{
		quantile: quantile,
	}
}

// Observe updates the estimate with one duration.
func (q *Quantile) Observe(duration time.Duration) {
	switch {
	case q.estimate == 0:
		q.estimate = duration
	case duration > q.estimate:
		q.estimate += time.Duration(quantileStep * q.quantile * float64(q.estimate))
	default:
		q.estimate -= time.Duration(quantileStep * (1 - q.quantile) * float64(q.estimate))
	}
}

// Value returns the estimate, 0 before the first observation.
func (q *Quantile) Value() time.Duration { return q.estimate }
