package router

import (
	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// Instance is one entry instance that may own replicas.
type Instance struct {
	Name    string
	Address string
	Zone    string
}

// Owners assigns each replica to one entry instance of its availability zone by rendezvous hashing; it is not safe for concurrent use.
type Owners struct {
	self  Instance
	zones map[string][]Instance
	all   []Instance
	known map[ownerKey]Instance
}

type ownerKey struct {
	zone  string
	group string
}

// NewOwners returns an assignment of everything to this instance.
func NewOwners(self Instance) *Owners {
	o := &Owners{
		self: self,
	}
	o.Update(nil)
	return o
}

// Update sets the other instances that take part.
func (o *Owners) Update(others []Instance) {
	o.zones = map[string][]Instance{}
	o.all = append([]Instance{o.self}, others...)
	for _, i := range o.all {
		o.zones[i.Zone] = append(o.zones[i.Zone], i)
	}
	o.known = map[ownerKey]Instance{}
}

// Of returns the replica's owner: an instance of its availability zone, of any where that has none.
func (o *Owners) Of(replica *registrar.Replica) Instance {
	key := ownerKey{
		zone:  replica.Zone,
		group: replica.Group,
	}
	owner, ok := o.known[key]
	if !ok {
		owner = o.highest(key)
		o.known[key] = owner
	}
	return owner
}

// IsMine reports whether this instance owns the replica.
func (o *Owners) IsMine(replica *registrar.Replica) bool { return o.Of(replica).Name == o.self.Name }

func (o *Owners) highest(key ownerKey) Instance {
	candidates := o.zones[key.zone]
	if len(candidates) == 0 {
		candidates = o.all
	}
	best := candidates[0]
	bestScore := score(best, key)
	for _, i := range candidates[1:] {
		if s := score(i, key); s > bestScore || s == bestScore && i.Name < best.Name {
			best = i
			bestScore = s
		}
	}
	return best
}

func score(i Instance, key ownerKey) uint64 {
	return xxhash.Sum64String(i.Name + "\x00" + key.zone + "\x00" + key.group)
}
