package scatterer

import (
	"slices"
	"time"
)

const (
	// maxOverrunSamples is how many recent answers the overrun is computed from, a few seconds' worth on a small instance.
	maxOverrunSamples = 12
	// overrunQuantile selects the overrun among the samples. It covers most answers, but not one delayed by a start or a pause.
	overrunQuantile = 0.7
	// maxOverrunShare is the largest overrun allowed for, as a share of the target latency.
	maxOverrunShare = 0.25
)

// Overrun estimates how long after the soft deadline partial answers are actually written, on instances so small or so busy that merging and writing take a considerable part of the target latency. It is not safe for concurrent use.
type Overrun struct {
	samples   []time.Duration
	nextIndex int
}

// Observe adds the delay of one answer.
func (o *Overrun) Observe(delay time.Duration) {
	delay = max(0, delay)
	if len(o.samples) < maxOverrunSamples {
		o.samples = append(o.samples, delay)
		return
	}
	o.samples[o.nextIndex] = delay
	o.nextIndex = (o.nextIndex + 1) % maxOverrunSamples
}

// AllowanceFor returns the overrun to allow for at the target latency.
func (o *Overrun) AllowanceFor(target time.Duration) time.Duration {
	if len(o.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.samples))
	typical := sorted[int(overrunQuantile*float64(len(sorted)-1))]
	return min(typical, time.Duration(maxOverrunShare*float64(target)))
}
