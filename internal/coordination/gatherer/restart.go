package gatherer

import (
	"maps"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// withdrawnTTL is how long an upstream's refusal of a version that it no longer holds overrides its announcement.
const withdrawnTTL = 500 * time.Millisecond

// withdrawnKey identifies a holding that its upstream has denied.
type withdrawnKey struct {
	upstream string
	service  string
	version  uint64
	shard    string
}

func (m *Machine) markWithdrawn(now time.Time, a *attempt) {
	for _, upstream := range a.possibleUpstreams() {
		key := withdrawnKey{
			upstream: upstream,
			service:  a.shard.gather.query.Service,
			version:  a.version,
			shard:    a.shard.name,
		}
		m.withdrawnUntil[key] = now.Add(withdrawnTTL)
	}
}

func (m *Machine) isWithdrawn(now time.Time, key withdrawnKey) bool {
	if len(m.withdrawnUntil) == 0 {
		return false
	}
	until, ok := m.withdrawnUntil[key]
	return ok && now.Before(until)
}

// stillHolds reports whether the replica has not denied holding the shard of the version.
func (m *Machine) stillHolds(now time.Time, replica *registrar.Replica, service string, version uint64, shard string) bool {
	return !m.isWithdrawn(now, withdrawnKey{
		upstream: replica.Upstream,
		service:  service,
		version:  version,
		shard:    shard,
	})
}

// isAvailable reports whether any replica holds the shard of the version.
func (m *Machine) isAvailable(now time.Time, service string, version uint64, shard string) bool {
	for _, replica := range m.Registrar.Replicas(service, version, shard) {
		if m.stillHolds(now, replica, service, version, shard) {
			return true
		}
	}
	return false
}

// removeExpired removes expired withdrawals and the state of unannounced upstreams, at most once per withdrawnTTL.
func (m *Machine) removeExpired(now time.Time) {
	if now.Before(m.nextCleanup) {
		return
	}
	m.nextCleanup = now.Add(withdrawnTTL)
	for key, until := range m.withdrawnUntil {
		if !now.Before(until) {
			delete(m.withdrawnUntil, key)
		}
	}
	m.removeUnannounced()
}

// removeUnannounced removes the routing and queue state of upstreams that are no longer announced.
func (m *Machine) removeUnannounced() {
	isAnnounced := func(upstream string) bool { return m.Registrar.Incarnation(upstream) > 0 }
	m.Router.RemoveIdle(isAnnounced)
	m.queue.RemoveIdle(isAnnounced)
}

// recoverShard retries an unplaced shard, or tries to restart its query if no replica holds the pinned version any more.
func (m *Machine) recoverShard(now time.Time, s *shardState) {
	g := s.gather
	if m.isAvailable(now, g.query.Service, g.manifest.GetVersion(), s.name) {
		m.retryShard(now, s)
		return
	}
	m.incomplete[g.query.ID] = g
	m.restart(now, g)
}

// recoverIncomplete recovers the unplaced shards of all queries that have any.
func (m *Machine) recoverIncomplete(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.incomplete)) {
		if g, ok := m.incomplete[id]; ok {
			m.recoverShards(now, g)
		}
	}
}

func (m *Machine) recoverShards(now time.Time, g *gather) {
	version := g.manifest.GetVersion()
	allPlaced := true
	for _, s := range g.shards {
		if !s.isUnplaced() {
			continue
		}
		m.recoverShard(now, s)
		if g.isFinished || g.manifest.GetVersion() != version {
			return
		}
		allPlaced = allPlaced && !s.isUnplaced()
	}
	if allPlaced {
		delete(m.incomplete, g.query.ID)
	}
}

// restart restarts the query on a newer version with more coverage than the current one can still reach, provided that enough time is left, and reports whether it did.
func (m *Machine) restart(now time.Time, g *gather) bool {
	if g.isFinished || g.forwarded != nil || g.restarts == maxRestarts || now.Add(m.Router.HedgeDelay(g.query.Service)).After(g.deadline()) {
		return false
	}
	choice, ok := m.chooseVersion(now, g.query)
	if !ok || choice.Manifest.GetVersion() <= g.manifest.GetVersion() || choice.Coverage <= g.reachableCoverage() {
		return false
	}
	m.actions.Restarts = append(m.actions.Restarts, Restart{
		QueryID:     g.query.ID,
		RequestID:   g.query.RequestID,
		FromVersion: g.manifest.GetVersion(),
		ToVersion:   choice.Manifest.GetVersion(),
	})
	m.cancelShards(now, g)
	delete(m.incomplete, g.query.ID)
	g.restarts++
	g.pinVersion(choice.Manifest)
	m.fanOut(now, g)
	return true
}
