package enroller

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxLeftReplicas limits the records of replicas that have left. They are kept so that a late announcement
// does not add such a replica again.
const maxLeftReplicas = 4096

// Enroller is the table of replicas, built by applying the commands of the journal in order.
type Enroller struct {
	replicas map[string]*wire.Replica
	// byAddress maps an address to the id of the replica that holds it.
	byAddress map[string]string
	// leftIDs is the eviction queue: an id is appended each time its replica leaves, so it may occur more
	// than once.
	leftIDs []string
}

// New returns a table with the given records, such as those of a snapshot.
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

// Find returns the record of the replica with this id, or nil.
func (e *Enroller) Find(id string) *wire.Replica { return e.replicas[id] }

// IsUpdate reports whether the announcement would change the table and so must be committed to the journal.
func (e *Enroller) IsUpdate(announcement *wire.Replica) bool {
	existing := e.replicas[announcement.GetId()]
	if e.isStale(announcement, existing) || e.isSuperseded(announcement) {
		return false
	}
	return existing == nil || existing.GetBornMs() != announcement.GetBornMs() ||
		existing.GetState() != announcement.GetState() ||
		existing.GetSuperseded() ||
		existing.GetService() != announcement.GetService() ||
		existing.GetAddress() != announcement.GetAddress() ||
		existing.GetZone() != announcement.GetZone() ||
		existing.GetSlots() != announcement.GetSlots() ||
		isColdUpdate(announcement, existing)
}

// IsOutdated reports whether the announcement is of an earlier incarnation than the one under its id that may get requests, so that it has no effect. A drain or departure must then not be acknowledged: its sender may be the replica that gets them.
func (e *Enroller) IsOutdated(announcement *wire.Replica) bool {
	known := e.replicas[announcement.GetId()]
	return announcement.GetBornMs() < known.GetBornMs() && e.MayGetRequests(announcement.GetId())
}

// MayGetRequests reports whether a replica of this id is ready, or was and may be so again.
func (e *Enroller) MayGetRequests(id string) bool {
	known := e.replicas[id]
	return known != nil && (isReady(known) || isLost(known))
}

// Enroll applies the announcement committed at a journal index and reports whether it changed the table.
func (e *Enroller) Enroll(announcement *wire.Replica, index uint64) bool {
	if !e.IsUpdate(announcement) {
		return false
	}
	record := proto.CloneOf(announcement)
	record.Index = index
	if existing := e.replicas[record.GetId()]; existing.GetBornMs() == record.GetBornMs() {
		record.Sequence = max(record.GetSequence(), existing.GetSequence())
	}
	e.keepColdEnd(record)
	e.keepReplacementTime(record)
	e.markHolderLeft(record)
	e.put(record)
	return true
}

// Replicas returns the records last changed at fromIndex or later, in the order of the journal.
func (e *Enroller) Replicas(fromIndex uint64) []*wire.Replica {
	var replicas []*wire.Replica
	for _, replica := range e.replicas {
		if replica.GetIndex() >= fromIndex {
			replicas = append(replicas, replica)
		}
	}
	slices.SortFunc(replicas, func(a, b *wire.Replica) int {
		return cmp.Or(cmp.Compare(a.GetIndex(), b.GetIndex()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return replicas
}

// isStale reports whether the existing record of a replica overrides the announcement. A later incarnation
// overrides an earlier one, and within an incarnation a higher sequence overrides a lower one, except that
// nothing overrides a drain but a departure. A replica that has left stays so until its next incarnation, unless
// it was superseded by one that is gone; one that is draining can only leave.
func (e *Enroller) isStale(announcement, existing *wire.Replica) bool {
	if existing == nil {
		return false
	}
	if announcement.GetBornMs() != existing.GetBornMs() {
		return announcement.GetBornMs() < existing.GetBornMs()
	}
	if announcement.GetSequence() < existing.GetSequence() {
		return !isDrainOf(announcement, existing)
	}
	switch existing.GetState() {
	case wire.ReplicaState_REPLICA_STATE_LEFT:
		return !existing.GetSuperseded() || !e.canReturn(announcement)
	case wire.ReplicaState_REPLICA_STATE_DRAINING:
		return announcement.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT
	default:
		return false
	}
}

// isDrainOf reports whether the announcement is of the drain of the incarnation in the record, which may still get requests.
func isDrainOf(announcement, existing *wire.Replica) bool {
	return announcement.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING && (isReady(existing) || isLost(existing))
}

// canReturn reports whether the announcement of a superseded replica has an effect. It may leave, or take its
// address back from a lost replica, which has either ended or never was there, or from one that started
// earlier.
func (e *Enroller) canReturn(announcement *wire.Replica) bool {
	switch announcement.GetState() {
	case wire.ReplicaState_REPLICA_STATE_LEFT:
		return true
	case wire.ReplicaState_REPLICA_STATE_LOST:
		return false
	default:
	}
	holder := e.replicas[e.byAddress[announcement.GetAddress()]]
	return holder != nil && (isLost(holder) || holder.GetBornMs() < announcement.GetBornMs())
}

// isSuperseded reports whether the announcement's address is held by another replica that was started later
// and is not lost. A departure takes no address.
func (e *Enroller) isSuperseded(announcement *wire.Replica) bool {
	if announcement.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
		return false
	}
	holder := e.replicas[e.byAddress[announcement.GetAddress()]]
	return holder != nil && holder.GetId() != announcement.GetId() && holder.GetBornMs() > announcement.GetBornMs() && !isLost(holder)
}

func isLost(record *wire.Replica) bool {
	return record.GetState() == wire.ReplicaState_REPLICA_STATE_LOST
}

// markHolderLeft marks another replica at the address of the record as left, unless the record itself is of a
// replica that has left. A holder that has not announced its drain may return.
func (e *Enroller) markHolderLeft(record *wire.Replica) {
	holder := e.replicas[e.byAddress[record.GetAddress()]]
	if holder == nil || holder.GetId() == record.GetId() || record.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
		return
	}
	updated := proto.CloneOf(holder)
	updated.Superseded = holder.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING
	updated.State = wire.ReplicaState_REPLICA_STATE_LEFT
	updated.Index = record.GetIndex()
	e.put(updated)
}

func (e *Enroller) put(record *wire.Replica) {
	id := record.GetId()
	if previous := e.replicas[id]; previous != nil && e.byAddress[previous.GetAddress()] == id {
		delete(e.byAddress, previous.GetAddress())
	}
	e.replicas[id] = record
	if record.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT {
		e.byAddress[record.GetAddress()] = id
		return
	}
	e.leftIDs = append(e.leftIDs, id)
	e.evictLeft()
}

// evictLeft deletes replicas that have left, oldest first, while leftIDs is above its limit.
func (e *Enroller) evictLeft() {
	for len(e.leftIDs) > maxLeftReplicas {
		id := e.leftIDs[0]
		e.leftIDs = e.leftIDs[1:]
		if replica := e.replicas[id]; replica != nil && replica.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
			delete(e.replicas, id)
		}
	}
}
