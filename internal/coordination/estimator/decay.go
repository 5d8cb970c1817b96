package estimator

import (
	"math"
	"time"
)

const (
	// stepsPerHalfLife divides a half-life into the steps in which evidence decays. Coarse steps need no exponential function per attempt.
	stepsPerHalfLife = 16
	// maxSteps is the number of steps after which nothing is left; eight half-lives leave 0.4 %.
	maxSteps = 8 * stepsPerHalfLife
	// tick is the unit in which the age of evidence is counted, a step of the shortest half-life.
	tick = endingsHalfLife / stepsPerHalfLife
	// slownessTicks is the length of a step of slownessHalfLife.
	slownessTicks = int64(slownessHalfLife / endingsHalfLife)
)

// ticksAt returns the time in ticks.
func ticksAt(now time.Time) int64 { return now.UnixNano() / int64(tick) }

// decayTable holds the part of evidence that is left after each number of steps.
var decayTable = newDecayTable()

func newDecayTable() [maxSteps]float64 {
	var table [maxSteps]float64
	for i := range table {
		table[i] = math.Exp2(-float64(i) / stepsPerHalfLife)
	}
	return table
}

// remaining returns the part of evidence that is left after the number of steps.
func remaining(steps int64) float64 {
	if steps >= maxSteps {
		return 0
	}
	return decayTable[max(0, steps)]
}

// age tells up to which tick evidence has decayed.
type age struct {
	since int64
}

// advance returns the factor by which the evidence decays until now, in steps of the given number of ticks.
func (a *age) advance(now, ticksPerStep int64) float64 {
	steps := (now - a.since) / ticksPerStep
	if steps <= 0 {
		return 1
	}
	if steps >= maxSteps {
		a.since = now
		return 0
	}
	a.since += steps * ticksPerStep
	return decayTable[steps]
}

// average is a mean of observations of slowness whose weights decay with age.
type average struct {
	age
	weight float64
	sum    float64
}

func (a *average) add(now int64, weight, value float64) {
	factor := a.advance(now, slownessTicks)
	a.weight = a.weight*factor + weight
	a.sum = a.sum*factor + weight*value
}

// at returns the weight and the weighted sum of the observations now.
func (a *average) at(now int64) (float64, float64) {
	if a.weight == 0 {
		return 0, 0
	}
	factor := remaining((now - a.since) / slownessTicks)
	return a.weight * factor, a.sum * factor
}

// limit reduces the weight of the observations to at most maxWeight.
func (a *average) limit(maxWeight float64) {
	if a.weight > maxWeight {
		a.sum *= maxWeight / a.weight
		a.weight = maxWeight
	}
}
