package router

import "time"

// quantileStep scales the change of the estimate by one observation.
const quantileStep = 0.05

// QuantileEstimator estimates one quantile of a stream of durations in constant space.
type QuantileEstimator struct {
	quantile float64
	estimate time.Duration
}

// NewQuantileEstimator returns an estimator of the quantile, between 0 and 1.
func NewQuantileEstimator(quantile float64) *QuantileEstimator {
	return &QuantileEstimator{
		quantile: quantile,
	}
}

// Observe updates the estimate with one duration.
func (q *QuantileEstimator) Observe(duration time.Duration) {
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
func (q *QuantileEstimator) Value() time.Duration { return q.estimate }
