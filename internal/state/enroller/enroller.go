package enroller

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// mostLeft bounds the records of replicas that have left, which are kept so that a late announcement brings none of them back.
const mostLeft = 4096

// Enroller is the table of replicas; it is built by the journal's commands in order.
type Enroller struct {
	replicas map[string]*wire.Replica
	// byAddress is the replica that holds an address at present.
	byAddress map[string]string
	// left are the ids of replicas that have left, the earliest first.
	left []string
}

// New returns a table that goes on from saved records.
func New(saved []*wire.Replica) *Enroller {
	e := &Enroller{
		replicas:  map[string]*wire.Replica{},
		byAddress: map[string]string{},
	}
	ordered := slices.SortedFunc(slices.Values(saved), func(a, b *wire.Replica) int {
		return cmp.Or(cmp.Compare(a.GetIndex(), b.GetIndex()), cmp.Compare(a.GetId(), b.GetId()))
	})
	for _, replica := range ordered {
		e.put(replica)
	}
	return e
}

// Find returns the record of the id, or nil.
func (e *Enroller) Find(id string) *wire.Replica { return e.replicas[id] }

// IsNews reports whether an announcement says more than the table holds, so that it has to go through the journal.
func (e *Enroller) IsNews(heard *wire.Replica) bool {
	known := e.replicas[heard.GetId()]
	if isStale(heard, known) || e.isSuperseded(heard) {
		return false
	}
	return known == nil || known.GetBornMs() != heard.GetBornMs() ||
		known.GetState() != heard.GetState() ||
		known.GetService() != heard.GetService() ||
		known.GetAddress() != heard.GetAddress() ||
		known.GetZone() != heard.GetZone() ||
		known.GetSlots() != heard.GetSlots()
}

// Enroll takes an announcement at a place of the journal, and reports whether it changed the table.
func (e *Enroller) Enroll(heard *wire.Replica, index uint64) bool {
	if !e.IsNews(heard) {
		return false
	}
	record := proto.CloneOf(heard)
	record.Index = index
	e.endHolder(record)
	e.put(record)
	return true
}

// Replicas returns the records that a place in the journal or a later one has changed, in the order of the journal.
func (e *Enroller) Replicas(from uint64) []*wire.Replica {
	var list []*wire.Replica
	for _, replica := range e.replicas {
		if replica.GetIndex() >= from {
			list = append(list, replica)
		}
	}
	slices.SortFunc(list, func(a, b *wire.Replica) int {
		return cmp.Or(cmp.Compare(a.GetIndex(), b.GetIndex()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return list
}

// isStale orders the announcements of one id: a later incarnation first, then a later sequence; what has left or drains stays so within its incarnation.
func isStale(heard, known *wire.Replica) bool {
	if known == nil {
		return false
	}
	if heard.GetBornMs() != known.GetBornMs() {
		return heard.GetBornMs() < known.GetBornMs()
	}
	if heard.GetSequence() < known.GetSequence() {
		return true
	}
	switch known.GetState() {
	case wire.ReplicaState_REPLICA_STATE_LEFT:
		return true
	case wire.ReplicaState_REPLICA_STATE_DRAINING:
		return heard.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT
	default:
		return false
	}
}

// isSuperseded reports whether a later incarnation holds the address of the announcement.
func (e *Enroller) isSuperseded(heard *wire.Replica) bool {
	holder := e.replicas[e.byAddress[heard.GetAddress()]]
	return holder != nil && holder.GetId() != heard.GetId() && holder.GetBornMs() > heard.GetBornMs()
}

// endHolder ends an earlier incarnation at the address of the record.
func (e *Enroller) endHolder(record *wire.Replica) {
	holder := e.replicas[e.byAddress[record.GetAddress()]]
	if holder == nil || holder.GetId() == record.GetId() || record.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
		return
	}
	ended := proto.CloneOf(holder)
	ended.State = wire.ReplicaState_REPLICA_STATE_LEFT
	ended.Index = record.GetIndex()
	e.put(ended)
}

func (e *Enroller) put(record *wire.Replica) {
	id := record.GetId()
	if known := e.replicas[id]; known != nil && e.byAddress[known.GetAddress()] == id {
		delete(e.byAddress, known.GetAddress())
	}
	e.replicas[id] = record
	if record.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT {
		e.byAddress[record.GetAddress()] = id
		return
	}
	e.left = append(e.left, id)
	e.forget()
}

// forget drops the earliest of the replicas that have left once there are too many.
func (e *Enroller) forget() {
	for len(e.left) > mostLeft {
		id := e.left[0]
		e.left = e.left[1:]
		if known := e.replicas[id]; known != nil && known.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
			delete(e.replicas, id)
		}
	}
}
