package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// assumedRetryingInstances is the number of entry instances assumed to share the retry budgets until control reports it.
	assumedRetryingInstances = 12
	// assumedConnectingInstances is the number of entry instances assumed to share the connections to replicas until control reports it. It exceeds the connection limit of a shard's replicas, so that in a fleet of any size each instance opens only one connection to a replica.
	assumedConnectingInstances = 64
	// connectionLimitShare is the share of a replica's connection limit that the instances use. The rest keeps them within the limit together while some have an outdated instance count.
	connectionLimitShare = 0.85
	// retryBurstShare is the share of the retry burst that the instances use, for the same reason.
	retryBurstShare = 0.85
	// defaultMaxConnections is the connection limit for services without one in the current configuration.
	defaultMaxConnections = 8
)

// connectionLimit returns how many connections this instance may open to the replica.
func (f *Forwarder) connectionLimit(target exchanger.Target) int {
	connections := f.replicaConnections(target.Service)
	if target.Zone == f.zone {
		return connections.SameZone
	}
	// Without a healthy peer, attempts go directly to the replica, over a single connection.
	return max(1, connections.OtherZones)
}

// replicaConnections returns how many connections this instance may open to each replica of the service. A service used only by sharded routes is reached through peers from other zones if there are too many instances for direct connections.
func (f *Forwarder) replicaConnections(service string) limiter.ReplicaConnections {
	limit, isShardOnly := defaultMaxConnections, true
	if table := f.routingTable.Load(); table != nil {
		isShardOnly = table.IsShardOnly(service)
		if declared := table.FindService(service); declared != nil && declared.MaxConnections > 0 {
			limit = declared.MaxConnections
		}
	}
	sharingInstances := f.directory.entryInstances.Load()
	if isShardOnly {
		sharingInstances = f.peers.zoneInstances.Load()
	}
	return limiter.DivideConnections(int(connectionLimitShare*float64(limit)), int(f.directory.entryInstances.Load()), int(sharingInstances))
}

// retryBudget returns the budget for the retries and hedges of the service; the mutex must be held.
func (f *Forwarder) retryBudget(service string) *limiter.Window {
	budget, ok := f.retryBudgets[service]
	if !ok {
		budget = limiter.NewWindow(f.retryLimit())
		f.retryBudgets[service] = budget
	}
	return budget
}

// retryLimit returns the limit for the retries and hedges of this instance, with its share of the fleet's burst.
func (f *Forwarder) retryLimit() limiter.WindowLimit {
	return limiter.WindowLimit{
		Ratio:  f.settings.RepeatRatio,
		Burst:  retryBurstShare * f.settings.RepeatBurst / float64(f.entryInstances),
		Length: time.Duration(f.settings.RepeatWindowMs) * time.Millisecond,
	}
}

// setEntryInstances sets the number of entry instances that share the retry budgets and the rate limits of replicas; 0 is ignored.
func (f *Forwarder) setEntryInstances(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if count == f.entryInstances || count == 0 {
		return
	}
	f.entryInstances = count
	f.balancer.SetInstances(count)
	f.updateRetryLimits()
}

// updateRetryLimits applies the current retry limit to all budgets; the mutex must be held.
func (f *Forwarder) updateRetryLimits() {
	for _, budget := range f.retryBudgets {
		budget.SetLimit(f.retryLimit())
	}
}
