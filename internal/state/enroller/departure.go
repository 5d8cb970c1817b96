package enroller

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// lateDepartureMs is how late a departure may arrive, in milliseconds.
const lateDepartureMs = 10_000

// IsDepartureAmbiguous reports whether a departure that does not say of which incarnation it is may be a late one of the incarnation before the replica in use, at the time nowMs by the clock of the journal. One that is draining is expected to leave.
func IsDepartureAmbiguous(known *wire.Replica, nowMs int64) bool {
	return known.GetReplacedMs() != 0 && nowMs-known.GetReplacedMs() < lateDepartureMs && known.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING
}

// IsOpenDrain reports whether the announcement is of a drain that the table does not show as such. It is committed although it changes nothing here, since this instance may be behind.
func (e *Enroller) IsOpenDrain(announcement *wire.Replica) bool {
	if announcement.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING {
		return false
	}
	known := e.replicas[announcement.GetId()]
	if known == nil || known.GetBornMs() != announcement.GetBornMs() {
		return known.GetBornMs() <= announcement.GetBornMs()
	}
	return known.GetSuperseded() || known.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING && known.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT
}

// CompleteDeparture returns the departure with the values last recorded of the replica, which is nil if it is not known. The departure may have its own start time and a higher sequence.
func CompleteDeparture(departure, known *wire.Replica) *wire.Replica {
	replica := proto.CloneOf(departure)
	replica.State = wire.ReplicaState_REPLICA_STATE_LEFT
	replica.Service = known.GetService()
	replica.Address = known.GetAddress()
	replica.Zone = known.GetZone()
	replica.Slots = known.GetSlots()
	replica.Sequence = max(known.GetSequence(), departure.GetSequence())
	if departure.GetBornMs() == 0 {
		replica.BornMs = known.GetBornMs()
	}
	return replica
}

// keepReplacementTime keeps the known replacement time of the record's incarnation. That of a new incarnation is 0 unless it replaces one of the same id.
func (e *Enroller) keepReplacementTime(record *wire.Replica) {
	existing := e.replicas[record.GetId()]
	if existing == nil || existing.GetBornMs() == record.GetBornMs() {
		record.ReplacedMs = existing.GetReplacedMs()
	}
}
