package balancer

import (
	"slices"
	"time"
)

// maxLatencySamples is how many latencies are kept, those of one to three queries over a hundred shards or more.
const maxLatencySamples = 256

// latencyWindow holds the most recent latencies. Their quantiles don't depend on the order in which replies arrive, with the stragglers of each query last.
type latencyWindow struct {
	samples []time.Duration
	next    int
	// sorted holds the samples in order; it is empty after an observation.
	sorted []time.Duration
}

func (w *latencyWindow) observe(latency time.Duration) {
	w.sorted = w.sorted[:0]
	if len(w.samples) < maxLatencySamples {
		w.samples = append(w.samples, latency)
		return
	}
	w.samples[w.next] = latency
	w.next = (w.next + 1) % maxLatencySamples
}

// quantile returns the quantile, between 0 and 1, or 0 without samples.
func (w *latencyWindow) quantile(quantile float64) time.Duration {
	if len(w.samples) == 0 {
		return 0
	}
	if len(w.sorted) == 0 {
		w.sorted = append(w.sorted, w.samples...)
		slices.Sort(w.sorted)
	}
	return w.sorted[int(quantile*float64(len(w.sorted)-1))]
}
