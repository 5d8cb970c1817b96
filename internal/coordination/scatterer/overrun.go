package scatterer

import (
	"slices"
	"time"
)

const (
	// overrunSamples is how many answers the overrun is taken from: some seconds of a small instance's.
	overrunSamples = 12
	// overrunRank is the place of the overrun among them: most answers, but not one that met a start or a pause.
	overrunRank = 0.7
	// mostOverrun of the target latency is allowed for.
	mostOverrun = 0.25
)

// Overrun follows how long after their moment answers in part are really written; it answers instances so small or so busy that merging and writing take a good part of the target. It is not safe for concurrent use.
type Overrun struct {
	samples []time.Duration
	next    int
}

// Observe takes one answer.
func (o *Overrun) Observe(late time.Duration) {
	late = max(0, late)
	if len(o.samples) < overrunSamples {
		o.samples = append(o.samples, late)
		return
	}
	o.samples[o.next] = late
	o.next = (o.next + 1) % overrunSamples
}

// For returns what is to be allowed for with the target latency.
func (o *Overrun) For(target time.Duration) time.Duration {
	if len(o.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.samples))
	usual := sorted[int(overrunRank*float64(len(sorted)-1))]
	return min(usual, time.Duration(mostOverrun*float64(target)))
}
