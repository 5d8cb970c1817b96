package launcher

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/collector"
)

const (
	// entryGCPercent is how much the heap of an entry instance may grow before garbage is collected even while requests are in flight, in percent.
	entryGCPercent = 400
	// entryMemoryLimit is the size of an entry instance, in bytes, from which on garbage is collected as often as it takes to stay within it. It leaves a third of the smallest machines for what the runtime does not count.
	entryMemoryLimit = 96 << 20
	// idleCheckInterval is the interval at which an idle process is noticed.
	idleCheckInterval = 50 * time.Millisecond
	// allocatedMetric is the number of bytes that the process has allocated in all.
	allocatedMetric = "/gc/heap/allocs:bytes"
)

// garbageCollector collects garbage while no request is in flight.
type garbageCollector struct {
	inFlight func() int
	policy   *collector.Collector
	sample   []metrics.Sample
	stop     chan struct{}
	done     chan struct{}
}

// newGarbageCollector starts the garbage collector of a process that answers requests, of which inFlight returns the current number.
func newGarbageCollector(inFlight func() int) *garbageCollector {
	debug.SetGCPercent(entryGCPercent)
	debug.SetMemoryLimit(entryMemoryLimit)
	g := &garbageCollector{
		inFlight: inFlight,
		policy:   collector.New(time.Now()),
		sample: []metrics.Sample{{
			Name: allocatedMetric,
		}},
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go g.run()
	return g
}

func (g *garbageCollector) run() {
	defer close(g.done)
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			metrics.Read(g.sample)
			if g.policy.ShouldCollect(now, g.inFlight(), g.sample[0].Value.Uint64()) {
				runtime.GC()
			}
		case <-g.stop:
			return
		}
	}
}

func (g *garbageCollector) close() {
	close(g.stop)
	<-g.done
}
