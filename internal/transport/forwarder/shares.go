package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// assumedSharers is how many entry instances are assumed to share repeats while control has not told.
	assumedSharers = 12
	// assumedConnectors is the same for replicas' connections, above what the replicas of a shard take: until it is told, each instance of a fleet of any size has one.
	assumedConnectors = 64
	// connectionsKept of a replica's limit are used, so that instances which count each other late do not pass it together.
	connectionsKept = 0.85
	// burstKept of the burst of repeats is used, for the same reason.
	burstKept = 0.85
	// defaultConnections stands for the limit of a service that the configuration in force does not name.
	defaultConnections = 8
)

// connectionShare returns how many connections this instance may have to the replica.
func (f *Forwarder) connectionShare(target exchanger.Target) int {
	reach := f.reach(target.Service)
	if target.Zone == f.zone {
		return reach.SameZone
	}
	// Where no peer is sound, one attempt at a time goes directly all the same.
	return max(1, reach.OtherZones)
}

// reach returns how this instance gets to the replicas of the service.
func (f *Forwarder) reach(service string) limiter.ReplicaConnections {
	limit, carried := defaultConnections, true
	if book := f.book.Load(); book != nil {
		carried = book.IsShardOnly(service)
		if known := book.FindService(service); known != nil && known.MaxConnections > 0 {
			limit = known.MaxConnections
		}
	}
	neighbours := f.directory.followers.Load()
	if carried {
		neighbours = f.relays.neighbours.Load()
	}
	return limiter.DivideConnections(int(connectionsKept*float64(limit)), int(f.directory.followers.Load()), int(neighbours))
}

// window returns the budget of repeats of the service; the mutex is held.
func (f *Forwarder) window(service string) *limiter.Window {
	known, ok := f.windows[service]
	if !ok {
		known = limiter.NewWindow(f.windowRate())
		f.windows[service] = known
	}
	return known
}

// windowRate is this instance's part of what all together may repeat.
func (f *Forwarder) windowRate() limiter.WindowLimit {
	return limiter.WindowLimit{
		Ratio:  f.settings.RepeatRatio,
		Burst:  burstKept * f.settings.RepeatBurst / float64(f.sharers),
		Length: time.Duration(f.settings.RepeatWindowMs) * time.Millisecond,
	}
}

// share takes how many entry instances share the limits.
func (f *Forwarder) share(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if count == f.sharers || count == 0 {
		return
	}
	f.sharers = count
	f.rate()
}

// rate divides the budgets of repeats anew; the mutex is held.
func (f *Forwarder) rate() {
	for _, window := range f.windows {
		window.SetLimit(f.windowRate())
	}
}
