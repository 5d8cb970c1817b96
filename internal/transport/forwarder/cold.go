package forwarder

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// assumedColdInstances is the number of entry instances assumed to share the limits of cold replicas until control reports it, which takes 5 s after all of control has restarted. It is above the size of the fleets of today.
	assumedColdInstances = 100
	// coldDecreaseDelay is how long a larger number of instances stays in effect. It is longer than a network partition, in which each side reports fewer instances than send requests.
	coldDecreaseDelay = 2 * time.Minute
)

// coldShare tracks this instance's share of the limits of cold replicas. The forwarder's mutex guards phase.
type coldShare struct {
	forwarder *Forwarder
	instances *limiter.InstanceCount
	// phase places this instance among the others, from 0 to below 1.
	phase float64
	// clockOffset is by how much control's clock is ahead of this instance's, in milliseconds.
	clockOffset atomic.Int64
}

// newColdShare returns the share of an instance that knows no others, whose place is random.
func newColdShare(f *Forwarder) *coldShare {
	s := &coldShare{
		forwarder: f,
		instances: limiter.NewSlowInstanceCount(assumedColdInstances, coldDecreaseDelay),
		phase:     float64(xxhash.Sum64String(f.settings.Instance)>>11) / (1 << 53),
	}
	f.updateColdPolicy()
	f.balancer.SetColdShare(assumedColdInstances, s.phase)
	return s
}

// update applies the number and the list of entry instances. A control instance without a quorum may know few of them and is not heard.
func (s *coldShare) update(now time.Time, response *wire.FollowResponse) {
	if response.GetTimeMs() > 0 {
		s.clockOffset.Store(response.GetTimeMs() - now.UnixMilli())
	}
	if !response.GetConfirmed() {
		return
	}
	f := s.forwarder
	count := s.instances.Update(now, int(response.GetFollowers()))
	entries := response.GetEntries()
	place := slices.IndexFunc(entries, func(e *wire.EntryInstance) bool { return e.GetInstance() == f.settings.Instance })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if place >= 0 {
		s.phase = float64(place) / float64(len(entries))
	}
	f.balancer.SetColdShare(count, s.phase)
}

// localTime converts a time by control's clock, in Unix milliseconds, to one by this instance's; 0 is the zero time.
func (s *coldShare) localTime(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds - s.clockOffset.Load())
}

// updateColdPolicy applies the settings for cold replicas; the mutex must be held once the instance has started.
func (f *Forwarder) updateColdPolicy() {
	f.balancer.SetColdPolicy(balancer.ColdPolicy{
		Limit:     f.coldLimit,
		Overage:   f.settings.ColdOverage,
		Tolerance: f.settings.ColdTolerance,
	})
}

// coldLimit returns the limit of the service's cold replicas in the current configuration.
func (f *Forwarder) coldLimit(service string) balancer.ColdLimit {
	table := f.routingTable.Load()
	if table == nil {
		return balancer.ColdLimit{}
	}
	declared := table.FindService(service)
	if declared == nil {
		return balancer.ColdLimit{}
	}
	return balancer.ColdLimit{
		PerSecond: declared.ColdRatePerSecond,
		Duration:  declared.ColdDuration,
	}
}

// sendsCold reports whether this instance sends attempts at the replica itself because it is cold and connections allow it; the mutex must be held. Through a relay they need a permit of the relay as well, which it rarely has at the same time.
func (f *Forwarder) sendsCold(now time.Time, r *balancer.ReplicaState) bool {
	if !f.balancer.IsCold(now, r) {
		return false
	}
	if r.Zone != f.zone {
		return f.replicaConnections(r.Service).OtherZones > 0
	}
	// replicaConnections allows each instance of the zone one connection even if that is too many for the replica.
	limit := defaultMaxConnections
	if table := f.routingTable.Load(); table != nil {
		if declared := table.FindService(r.Service); declared != nil && declared.MaxConnections > 0 {
			limit = declared.MaxConnections
		}
	}
	return int64(connectionLimitShare*float64(limit)) >= f.peers.zoneInstances.Load()
}
