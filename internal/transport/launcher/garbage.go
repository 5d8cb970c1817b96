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
	// entryMemoryLimit is the size of an entry instance, in bytes, from which on garbage is collected as often as it takes to stay within it. A process with less memory has a smaller one.
	entryMemoryLimit = 96 << 20
	// collectedMemoryPercent is the share of a process's memory from which on garbage is collected like that, in percent. It leaves the rest for what the runtime does not count.
	collectedMemoryPercent = 60
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

// newGarbageCollector starts the garbage collector of a process with that memory, in megabytes, that answers requests, of which inFlight returns the current number.
func newGarbageCollector(inFlight func() int, memoryMB int64) *garbageCollector {
	debug.SetGCPercent(entryGCPercent)
	debug.SetMemoryLimit(min(entryMemoryLimit, collectedMemory(memoryMB)))
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

// LimitMemory has garbage collected as often as it takes for a process to stay within its memory, in megabytes, where it can.
func LimitMemory(memoryMB int64) { debug.SetMemoryLimit(collectedMemory(memoryMB)) }

// collectedMemory returns the size of a process, in bytes, from which on garbage is collected as often as it takes to stay within it.
func collectedMemory(memoryMB int64) int64 { return memoryMB << 20 * collectedMemoryPercent / 100 }

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
