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
	// decreaseDelay is how long a larger count stays in effect after it was last reported.
	decreaseDelay time.Duration
}

// NewInstanceCount returns a count that is assumed until one is reported.
func NewInstanceCount(assumed int) *InstanceCount {
	return NewSlowInstanceCount(assumed, decreaseDelay)
}

// NewSlowInstanceCount returns a count that is assumed until one is reported, and decreases only after the delay.
func NewSlowInstanceCount(assumed int, delay time.Duration) *InstanceCount {
	return &InstanceCount{
		count:         assumed,
		isAssumed:     true,
		decreaseDelay: delay,
	}
}

// IsKnown reports whether a count has been reported.
func (c *InstanceCount) IsKnown() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.isAssumed
}

// Update applies a reported count, or 0 for an unknown one, and returns the count in effect. A larger count
// takes effect at once. The largest of the smaller ones takes effect when the current count has not been reported
// for decreaseDelay.
func (c *InstanceCount) Update(now time.Time, count int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case count == 0:
	case count >= c.count || c.isAssumed:
		c.isAssumed = false
		c.count = count
		c.confirmedAt = now
		c.maxLower = 0
	default:
		c.maxLower = max(c.maxLower, count)
		if now.Sub(c.confirmedAt) >= c.decreaseDelay {
			c.count = c.maxLower
			c.confirmedAt = now
			c.maxLower = 0
		}
	}
	return c.count
}
