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

// index is the routing tables; its slices are replaced and never changed.
type index struct {
	holders  map[holdingKey][]*Replica
	services map[string][]*Replica
	keys     map[string][]holdingKey
	limits   map[string]uint32
}

func newIndex() *index {
	return &index{
		holders:  map[holdingKey][]*Replica{},
		services: map[string][]*Replica{},
		keys:     map[string][]holdingKey{},
		limits:   map[string]uint32{},
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
		Group:       groupOf(ann),
	}
	limitTo(replica, config)
	x.limits[replica.Address] = replica.Connections
	for _, holding := range ann.GetHoldings() {
		if !declares(config, holding) {
			continue
		}
		key := holdingKey{
			service: holding.GetService(),
			version: holding.GetVersion(),
			shard:   holding.GetShard(),
		}
		x.holders[key] = insert(x.holders[key], replica)
		x.services[key.service] = insert(x.services[key.service], replica)
		x.keys[replica.Upstream] = append(x.keys[replica.Upstream], key)
	}
}

// groupOf returns the first of the shards held, whatever the version.
func groupOf(ann *wire.Announcement) string {
	first := ""
	for _, holding := range ann.GetHoldings() {
		name := holding.GetService() + "/" + holding.GetShard()
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// limitTo applies what operators have set for the upstream, which never raises what it announces.
func limitTo(replica *Replica, config *wire.Config) {
	for _, setting := range config.GetUpstreams() {
		if setting.GetUpstream() != replica.Upstream {
			continue
		}
		replica.Slots = lower(replica.Slots, setting.GetSlots())
		replica.Connections = lower(replica.Connections, setting.GetConnections())
	}
}

func lower(announced, set uint32) uint32 {
	if set == 0 {
		return announced
	}
	return min(announced, set)
}

func (x *index) remove(ann *wire.Announcement) {
	name := ann.GetUpstream()
	for _, key := range x.keys[name] {
		drop(x.holders, key, name)
		drop(x.services, key.service, name)
	}
	delete(x.keys, name)
	delete(x.limits, ann.GetAddress())
}

// insert returns the list with the replica in its place by name, once.
func insert(list []*Replica, replica *Replica) []*Replica {
	at, found := slices.BinarySearchFunc(list, replica.Upstream, compareName)
	if found {
		return list
	}
	next := make([]*Replica, 0, len(list)+1)
	next = append(next, list[:at]...)
	next = append(next, replica)
	return append(next, list[at:]...)
}

func drop[K comparable](lists map[K][]*Replica, key K, name string) {
	list := lists[key]
	at, found := slices.BinarySearchFunc(list, name, compareName)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(lists, key)
		return
	}
	next := make([]*Replica, 0, len(list)-1)
	next = append(next, list[:at]...)
	lists[key] = append(next, list[at+1:]...)
}

func compareName(replica *Replica, name string) int { return cmp.Compare(replica.Upstream, name) }

func declares(config *wire.Config, holding *wire.Holding) bool {
	for _, service := range config.GetServices() {
		if service.GetName() == holding.GetService() {
			return slices.Contains(service.GetShards(), holding.GetShard())
		}
	}
	return false
}
