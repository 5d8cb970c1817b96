package collector

import "time"

const (
	// minIdleTime is how long nothing must have been in flight, so that the late replies of the last request have been handled.
	minIdleTime = 30 * time.Millisecond
	// minGarbage is how many bytes must have been allocated since the last collection.
	minGarbage = 1 << 20
)

// Collector decides when to collect garbage. It is not safe for concurrent use.
type Collector struct {
	// lastActive is when something was last in flight.
	lastActive time.Time
	// collectedAt is how many bytes had been allocated at the last collection.
	collectedAt uint64
}

// New returns a collector of a process that is active now.
func New(now time.Time) *Collector {
	return &Collector{
		lastActive: now,
	}
}

// ShouldCollect reports whether to collect garbage now, given how much is in flight and how many bytes the process has allocated in all. It then assumes that a collection follows.
func (c *Collector) ShouldCollect(now time.Time, inFlight int, allocated uint64) bool {
	if inFlight > 0 {
		c.lastActive = now
		return false
	}
	if now.Sub(c.lastActive) < minIdleTime || allocated-c.collectedAt < minGarbage {
		return false
	}
	c.collectedAt = allocated
	return true
}
