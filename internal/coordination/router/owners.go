package router

import (
	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// Instance is an entry instance that may own replicas.
type Instance struct {
	Name    string
	Address string
}

// Owners assigns each replica to one entry instance by rendezvous hashing; it is not safe for concurrent use.
type Owners struct {
	self          Instance
	instances     []Instance
	ownersByGroup map[string]Instance
}

// NewOwners returns an assignment of all replicas to this instance.
func NewOwners(self Instance) *Owners {
	o := &Owners{
		self: self,
	}
	o.Update(nil)
	return o
}

// Update sets the other entry instances that may own replicas.
func (o *Owners) Update(others []Instance) {
	o.instances = append([]Instance{o.self}, others...)
	o.ownersByGroup = map[string]Instance{}
}

// OwnerOf returns the owner of the replica, which is the same for all replicas of its group in all availability zones.
func (o *Owners) OwnerOf(replica *registrar.Replica) Instance {
	owner, ok := o.ownersByGroup[replica.Group]
	if !ok {
		owner = o.highestScoring(replica.Group)
		o.ownersByGroup[replica.Group] = owner
	}
	return owner
}

// IsOwnedHere reports whether this instance owns the replica.
func (o *Owners) IsOwnedHere(replica *registrar.Replica) bool {
	return o.OwnerOf(replica).Name == o.self.Name
}

func (o *Owners) highestScoring(group string) Instance {
	best := o.instances[0]
	bestScore := score(best, group)
	for _, i := range o.instances[1:] {
		if s := score(i, group); s > bestScore || s == bestScore && i.Name < best.Name {
			best = i
			bestScore = s
		}
	}
	return best
}

func score(i Instance, group string) uint64 {
	return xxhash.Sum64String(i.Name + "\x00" + group)
}
