package gatherer

import (
	"maps"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// withdrawnAge is how long an upstream's word that it no longer holds a version stands against its announcement.
const withdrawnAge = 500 * time.Millisecond

// withdrawnKey is one holding that its upstream has denied.
type withdrawnKey struct {
	upstream string
	service  string
	version  uint64
	shard    string
}

func (m *Machine) markWithdrawn(now time.Time, a *attempt) {
	for _, upstream := range a.upstreamsOf() {
		key := withdrawnKey{
			upstream: upstream,
			service:  a.shard.gather.query.Service,
			version:  a.version,
			shard:    a.shard.name,
		}
		m.withdrawn[key] = now.Add(withdrawnAge)
	}
}

func (m *Machine) isWithdrawn(now time.Time, key withdrawnKey) bool {
	if len(m.withdrawn) == 0 {
		return false
	}
	until, ok := m.withdrawn[key]
	return ok && now.Before(until)
}

// holds reports whether the replica still takes work for the shard of the version.
func (m *Machine) holds(now time.Time, replica *registrar.Replica, service string, version uint64, shard string) bool {
	return !m.isWithdrawn(now, withdrawnKey{
		upstream: replica.Upstream,
		service:  service,
		version:  version,
		shard:    shard,
	})
}

func (m *Machine) isLive(now time.Time, service string, version uint64, shard string) bool {
	for _, replica := range m.Registrar.Replicas(service, version, shard) {
		if m.holds(now, replica, service, version, shard) {
			return true
		}
	}
	return false
}

// clean forgets, once a while, what no longer matters.
func (m *Machine) clean(now time.Time) {
	if now.Before(m.cleanAt) {
		return
	}
	m.cleanAt = now.Add(withdrawnAge)
	for key, until := range m.withdrawn {
		if !now.Before(until) {
			delete(m.withdrawn, key)
		}
	}
	m.forgetDeparted()
}

// forgetDeparted drops what was learnt of upstreams that are no longer announced.
func (m *Machine) forgetDeparted() {
	isKnown := func(upstream string) bool { return m.Registrar.Incarnation(upstream) > 0 }
	m.Router.Forget(isKnown)
	m.queue.RemoveIdle(isKnown)
}

// reconsider asks for a lost shard again, or begins its query anew, or leaves it lost.
func (m *Machine) reconsider(now time.Time, s *shardState) {
	g := s.gather
	if m.isLive(now, g.query.Service, g.manifest.GetVersion(), s.name) {
		m.placeAgain(now, s)
		return
	}
	m.incomplete[g.query.ID] = g
	m.restart(now, g)
}

// reconsiderAll goes through the few queries that have lost a shard.
func (m *Machine) reconsiderAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.incomplete)) {
		if g, ok := m.incomplete[id]; ok {
			m.reconsiderShards(now, g)
		}
	}
}

func (m *Machine) reconsiderShards(now time.Time, g *gather) {
	version := g.manifest.GetVersion()
	complete := true
	for _, s := range g.shards {
		if !s.isLost() {
			continue
		}
		m.reconsider(now, s)
		if g.over || g.manifest.GetVersion() != version {
			return
		}
		complete = complete && !s.isLost()
	}
	if complete {
		delete(m.incomplete, g.query.ID)
	}
}

// restart begins the query anew on a newer version that covers more, where time is left for it.
func (m *Machine) restart(now time.Time, g *gather) bool {
	if g.over || g.forwarded != nil || g.restarts == mostRestarts || now.Add(m.Router.HedgeDelay(g.query.Service)).After(g.deadline()) {
		return false
	}
	choice, ok := m.chooseVersion(now, g.query)
	if !ok || choice.Manifest.GetVersion() <= g.manifest.GetVersion() || choice.Coverage <= g.reachable() {
		return false
	}
	m.actions.Restarts = append(m.actions.Restarts, Restart{
		Query:     g.query.ID,
		RequestID: g.query.RequestID,
		From:      g.manifest.GetVersion(),
		To:        choice.Manifest.GetVersion(),
	})
	m.dropShards(now, g)
	delete(m.incomplete, g.query.ID)
	g.restarts++
	g.pin(choice.Manifest)
	m.fanOut(now, g)
	return true
}
