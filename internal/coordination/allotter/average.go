package allotter

import (
	"math"
	"time"
)

// minAge is the shortest time over which samples count as a rate.
const minAge = 2 * time.Second

// average is a rate per second over an exponentially decaying memory. It is corrected for the time before the first sample.
type average struct {
	sum       float64
	updatedAt time.Time
	startedAt time.Time
}

func (a *average) add(now time.Time, memory time.Duration, amount float64) {
	if a.startedAt.IsZero() {
		a.startedAt, a.updatedAt = now, now
	}
	a.sum = a.sum*decay(now.Sub(a.updatedAt), memory) + amount
	a.updatedAt = now
}

// perSecond returns the rate.
func (a *average) perSecond(now time.Time, memory time.Duration) float64 {
	if a.startedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(a.startedAt), minAge)
	weight := memory.Seconds() * (1 - decay(age, memory))
	return a.sum * decay(now.Sub(a.updatedAt), memory) / weight
}

func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / memory.Seconds())
}
