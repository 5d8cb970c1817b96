package forwarder

import (
	"time"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// gaugeSampler updates the gauges at intervals.
type gaugeSampler struct {
	forwarder *Forwarder
	stop      chan struct{}
	done      chan struct{}
}

func newGaugeSampler(f *Forwarder) *gaugeSampler {
	return &gaugeSampler{
		forwarder: f,
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func (g *gaugeSampler) run() {
	defer close(g.done)
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case now := <-ticker.C:
			g.sample(now)
		}
	}
}

func (g *gaugeSampler) close() {
	close(g.stop)
	<-g.done
}

func (g *gaugeSampler) sample(now time.Time) {
	f := g.forwarder
	m := f.meter
	m.openConnections.Update(float64(f.exchanger.OpenConnections()))
	m.requestsInFlight.Update(float64(f.inFlight.Load()))
	m.clientRequestBytes.Update(float64(f.guards.Held()))
	if f.droppedLines != nil {
		m.logLinesDropped.Update(float64(f.droppedLines()))
	}
	status := f.directory.status(now)
	m.configVersion.Update(float64(status.configVersion))
	m.configAge.Update(status.configAge.Seconds())
	m.tableIndex.Update(float64(status.tableIndex))
	m.tableAge.Update(status.tableAge.Seconds())
	m.replicas.Update(float64(status.replicas))
	m.incomingRelays.Update(float64(f.peers.incomingCalls.Load()))
	m.controlReached.Update(float64(f.directory.reachability().Reached))
	m.confirmedAge.Update(f.directory.checkConfirmation(now).Seconds())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.entryInstances.Update(float64(f.entryInstances))
	m.minAdmittedShare.Update(f.policies.Shedder.MinAdmittedShare(now))
	m.shareLevel.Update(f.policies.Apportioner.Level(now))
	load := f.balancer.Load()
	m.attemptsInFlight.Update(float64(load.AttemptsInFlight))
	m.saturatedReplicas.Update(float64(load.SaturatedReplicas))
	m.limitedReplicas.Update(float64(load.LimitedReplicas))
	m.coldReplicas.Update(float64(f.balancer.ColdCount(now)))
	m.quarantinedRequests.Update(float64(f.screener.QuarantinedCount(now)))
	m.minRetryBudget.Update(f.minRetryBudget(now))
	failures := f.balancer.FleetFailures(now)
	m.failedShare.Update(failures.Rejected + failures.Lost)
	m.deviatingReplicas.Update(float64(f.balancer.DeviatingCount(now)))
}

// minRetryBudget returns the smallest remaining share of the retry budget of any service; the mutex must be held.
func (f *Forwarder) minRetryBudget(now time.Time) float64 {
	smallest := 1.0
	for _, budget := range f.retryBudgets {
		smallest = min(smallest, budget.RemainingShare(now))
	}
	return smallest
}
