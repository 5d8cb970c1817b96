package router

import "time"

// quantileStep is the share by which one observation moves the estimate.
const quantileStep = 0.05

// Quantile follows one quantile of a stream of durations in constant space.
type Quantile struct {
	share float64
	value time.Duration
}

// NewQuantile returns an estimate of the quantile with the given share below it.
func NewQuantile(share float64) *Quantile {
	return &Quantile{
		share: share,
	}
}

// Observe takes one duration.
func (q *Quantile) Observe(took time.Duration) {
	switch {
	case q.value == 0:
		q.value = took
	case took > q.value:
		q.value += time.Duration(quantileStep * q.share * float64(q.value))
	default:
		q.value -= time.Duration(quantileStep * (1 - q.share) * float64(q.value))
	}
}

// Value returns the estimate, 0 before the first observation.
func (q *Quantile) Value() time.Duration { return q.value }
