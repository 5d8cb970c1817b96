package limiter

import (
	"sync"
	"time"
)

// decreaseDelay is how long a larger count stays in effect after it was last reported. It is longer than a
// restart of a control instance, and than a network partition after which the instances on the other side
// keep using their share.
const decreaseDelay = 15 * time.Second

// InstanceCount is the number of instances that share limits, as reported by control instances. It decreases
// only after a delay, because a control instance that restarted or is partitioned reports too few instances.
type InstanceCount struct {
	mutex sync.Mutex
	count int
	// confirmedAt is when the count, or a larger one, was last reported. maxLower is the largest count reported
	// since then.
	confirmedAt time.Time
	maxLower    int
	isAssumed   bool
}

// NewInstanceCount returns a count that is assumed until one is reported.
func NewInstanceCount(assumed int) *InstanceCount {
	return &InstanceCount{
		count:     assumed,
		isAssumed: true,
	}
}

// IsKnown reports whether a count was reported.
func (s *InstanceCount) IsKnown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.isAssumed
}

// Update applies a reported count, or 0 for an unknown one, and returns the count in effect. A larger count
// takes effect at once, a smaller one only when no larger one was reported for decreaseDelay.
func (s *InstanceCount) Update(now time.Time, count int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case count == 0:
	case count >= s.count || s.isAssumed:
		s.isAssumed = false
		s.count = count
		s.confirmedAt = now
		s.maxLower = 0
	default:
		s.maxLower = max(s.maxLower, count)
		if now.Sub(s.confirmedAt) >= decreaseDelay {
			s.count = s.maxLower
			s.confirmedAt = now
			s.maxLower = 0
		}
	}
	return s.count
}
