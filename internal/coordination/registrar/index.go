package registrar

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

type holdingKey struct {
	service string
	version uint64
	shard   string
}

// index holds the routing tables. Its slices are copied on write, since callers get them without a copy.
type index struct {
	replicasByHolding  map[holdingKey][]*Replica
	replicasByService  map[string][]*Replica
	holdingsByUpstream map[string][]holdingKey
	connectionLimits   map[string]uint32
}

func newIndex() *index {
	return &index{
		replicasByHolding:  map[holdingKey][]*Replica{},
		replicasByService:  map[string][]*Replica{},
		holdingsByUpstream: map[string][]holdingKey{},
		connectionLimits:   map[string]uint32{},
	}
}

// add lists the upstream under each of its holdings that is declared.
func (x *index) add(ann *wire.Announcement, config *wire.Config) {
	replica := &Replica{
		Upstream:    ann.GetUpstream(),
		Incarnation: ann.GetIncarnation(),
		Address:     ann.GetAddress(),
		Zone:        ann.GetZone(),
		Slots:       ann.GetSlots(),
		Connections: ann.GetConnections(),
		Group:       firstShard(ann),
	}
	applyOperatorLimits(replica, config)
	x.connectionLimits[replica.Address] = replica.Connections
	for _, holding := range ann.GetHoldings() {
		if !isDeclaredHolding(config, holding) {
			continue
		}
		key := holdingKey{
			service: holding.GetService(),
			version: holding.GetVersion(),
			shard:   holding.GetShard(),
		}
		x.replicasByHolding[key] = insertReplica(x.replicasByHolding[key], replica)
		x.replicasByService[key.service] = insertReplica(x.replicasByService[key.service], replica)
		x.holdingsByUpstream[replica.Upstream] = append(x.holdingsByUpstream[replica.Upstream], key)
	}
}

// firstShard returns the smallest service and shard name among the holdings, regardless of version.
func firstShard(ann *wire.Announcement) string {
	first := ""
	for _, holding := range ann.GetHoldings() {
		name := holding.GetService() + "/" + holding.GetShard()
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// applyOperatorLimits applies the operator's limits for the upstream, which can only lower the announced ones.
func applyOperatorLimits(replica *Replica, config *wire.Config) {
	for _, setting := range config.GetUpstreams() {
		if setting.GetUpstream() != replica.Upstream {
			continue
		}
		replica.Slots = limitAnnounced(replica.Slots, setting.GetSlots())
		replica.Connections = limitAnnounced(replica.Connections, setting.GetConnections())
	}
}

// limitAnnounced returns the announced value, capped by the limit unless that is 0.
func limitAnnounced(announced, limit uint32) uint32 {
	if limit == 0 {
		return announced
	}
	return min(announced, limit)
}

// remove removes the upstream from the routing tables.
func (x *index) remove(ann *wire.Announcement) {
	upstream := ann.GetUpstream()
	for _, key := range x.holdingsByUpstream[upstream] {
		removeReplica(x.replicasByHolding, key, upstream)
		removeReplica(x.replicasByService, key.service, upstream)
	}
	delete(x.holdingsByUpstream, upstream)
	delete(x.connectionLimits, ann.GetAddress())
}

// insertReplica returns a copy of the replicas, sorted by name, with the replica added, or the same slice if it is already there.
func insertReplica(replicas []*Replica, replica *Replica) []*Replica {
	position, found := slices.BinarySearchFunc(replicas, replica.Upstream, compareUpstream)
	if found {
		return replicas
	}
	updated := make([]*Replica, 0, len(replicas)+1)
	updated = append(updated, replicas[:position]...)
	updated = append(updated, replica)
	return append(updated, replicas[position:]...)
}

// removeReplica replaces the replicas under the key by a copy without the upstream, and deletes the key with its last replica.
func removeReplica[K comparable](replicasByKey map[K][]*Replica, key K, upstream string) {
	replicas := replicasByKey[key]
	position, found := slices.BinarySearchFunc(replicas, upstream, compareUpstream)
	if !found {
		return
	}
	if len(replicas) == 1 {
		delete(replicasByKey, key)
		return
	}
	updated := make([]*Replica, 0, len(replicas)-1)
	updated = append(updated, replicas[:position]...)
	replicasByKey[key] = append(updated, replicas[position+1:]...)
}

func compareUpstream(replica *Replica, upstream string) int {
	return cmp.Compare(replica.Upstream, upstream)
}

// isDeclaredHolding reports whether the configuration declares the service and shard of the holding.
func isDeclaredHolding(config *wire.Config, holding *wire.Holding) bool {
	for _, service := range config.GetServices() {
		if service.GetName() == holding.GetService() {
			return slices.Contains(service.GetShards(), holding.GetShard())
		}
	}
	return false
}
