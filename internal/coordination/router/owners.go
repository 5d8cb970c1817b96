package router

import (
	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// Instance is one entry instance that may own replicas.
type Instance struct {
	Name    string
	Address string
}

// Owners assigns each replica to one entry instance by rendezvous hashing; it is not safe for concurrent use.
type Owners struct {
	self  Instance
	all   []Instance
	known map[string]Instance
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
	o.all = append([]Instance{o.self}, others...)
	o.known = map[string]Instance{}
}

// Of returns the replica's owner, which is the same for the replicas of one shard, wherever they are.
func (o *Owners) Of(replica *registrar.Replica) Instance {
	owner, ok := o.known[replica.Group]
	if !ok {
		owner = o.highest(replica.Group)
		o.known[replica.Group] = owner
	}
	return owner
}

// IsMine reports whether this instance owns the replica.
func (o *Owners) IsMine(replica *registrar.Replica) bool { return o.Of(replica).Name == o.self.Name }

func (o *Owners) highest(group string) Instance {
	best := o.all[0]
	bestScore := score(best, group)
	for _, i := range o.all[1:] {
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
