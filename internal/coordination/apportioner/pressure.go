package apportioner

import (
	"math"
	"time"
)

const (
	// maxLevel is the highest level: 1 for throttling to the usual use and 2 for shedding priorities.
	maxLevel = 3
	// toleratedCongestion is the share of congested attempts at which the level stays. Pauses and stragglers cause a few per cent.
	toleratedCongestion = 0.05
	// risePerSecond is how much the level grows per second while all attempts are congested, and fallPerSecond how much it falls while none is, or while none is made.
	risePerSecond = 6.0
	fallPerSecond = 0.06
	// shedRisePerSecond and shedFallPerSecond are the same above a level of 1. Whole priorities are shed only if throttling does not suffice for some seconds. In TestSharesUnderLoad a rise of 1.5 and more sheds up to a tenth more than needed.
	shedRisePerSecond = 0.6
	shedFallPerSecond = 0.1
	// congestionMemory is the number of attempts over which congestion is averaged, about one query.
	congestionMemory = 60
	// maxStep is the longest time between two attempts that counts for a rise. An instance that receives a query every second or two sees the congestion of the time between.
	maxStep = time.Second
)

// pressure integrates the share of congested attempts over time.
type pressure struct {
	congestion float64
	value      float64
	updatedAt  time.Time
}

func (p *pressure) observe(now time.Time, isCongested bool) {
	sample := 0.0
	if isCongested {
		sample = 1
	}
	p.congestion += (sample - p.congestion) / congestionMemory
	if p.congestion <= toleratedCongestion {
		p.value = p.level(now)
		p.updatedAt = now
		return
	}
	excess := (p.congestion - toleratedCongestion) * min(now.Sub(p.updatedAt), maxStep).Seconds()
	level := p.level(now)
	if level < 1 {
		needed := min(excess, (1-level)/risePerSecond)
		level += risePerSecond * needed
		excess -= needed
	}
	level = min(maxLevel, level+shedRisePerSecond*excess)
	p.value = level
	p.updatedAt = now
}

// level returns the value including the fall since the last attempt.
func (p *pressure) level(now time.Time) float64 {
	elapsed := now.Sub(p.updatedAt).Seconds()
	if p.value > 1 {
		value := p.value - shedFallPerSecond*elapsed
		if value >= 1 {
			return value
		}
		elapsed = (1 - value) / shedFallPerSecond
		return max(0, 1-fallPerSecond*elapsed)
	}
	return max(0, p.value-fallPerSecond*elapsed)
}

// shareAt returns the averaged admitted share, which returns to 1 while no query comes.
func (o *account) shareAt(now time.Time) float64 {
	return 1 - (1-o.share)*math.Exp(-now.Sub(o.sharedAt).Seconds()/shareMemory.Seconds())
}

func (o *account) noteShare(now time.Time, share float64) {
	weight := 1 - math.Exp(-now.Sub(o.sharedAt).Seconds()/shareMemory.Seconds())
	o.share += (share - o.share) * weight
	o.share = max(minShare, o.share)
	o.sharedAt = now
}
