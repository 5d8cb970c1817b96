package forwarder

import (
	"time"
)

// gaugePeriod is how often what the instance holds is measured.
const gaugePeriod = time.Second

// gauger measures what the instance holds at the moment.
type gauger struct {
	forwarder *Forwarder
	stop      chan struct{}
	done      chan struct{}
}

func newGauger(f *Forwarder) *gauger {
	return &gauger{
		forwarder: f,
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func (g *gauger) run() {
	defer close(g.done)
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case now := <-ticker.C:
			g.measure(now)
		}
	}
}

func (g *gauger) close() {
	close(g.stop)
	<-g.done
}

func (g *gauger) measure(now time.Time) {
	f := g.forwarder
	m := f.meter
	m.open.Update(float64(f.exchanger.OpenConnections()))
	m.inFlight.Update(float64(f.inFlight.Load()))
	if f.droppedLines != nil {
		m.logDropped.Update(float64(f.droppedLines()))
	}
	standing := f.directory.standing(now)
	m.version.Update(float64(standing.version))
	m.versionAge.Update(standing.versionAge.Seconds())
	m.table.Update(float64(standing.index))
	m.tableAge.Update(standing.heardAge.Seconds())
	m.replicas.Update(float64(standing.replicas))
	m.carried.Update(float64(f.relays.calls.Load()))
	m.control.Update(float64(f.directory.contact().Reached))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.sharers.Update(float64(f.sharers))
	m.shed.Update(f.policies.Shedder.MinAdmittedShare(now))
	load := f.balancer.Load()
	m.pending.Update(float64(load.AttemptsInFlight))
	m.full.Update(float64(load.SaturatedReplicas))
	m.budget.Update(f.leastBudget(now))
}

// leastBudget returns the least share of repeats left of any service; the mutex is held.
func (f *Forwarder) leastBudget(now time.Time) float64 {
	least := 1.0
	for _, window := range f.windows {
		least = min(least, window.RemainingShare(now))
	}
	return least
}
