package enroller

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// coldToleranceMs is by how much the end of a replica's warm-up may move without an entry in the journal: twice the second between heartbeats. Heartbeats that only count the warm-up down move it by less.
const coldToleranceMs = 2000

// WithColdEnd returns the announcement with the time at which the replica is warm, by how long it says that it stays cold. The time of a replica that says that it is warm is nowMs. Announcements that are not heartbeats are returned as they are, since they repeat what an earlier heartbeat said.
func WithColdEnd(announcement *wire.Replica, nowMs int64) *wire.Replica {
	switch announcement.GetState() {
	case wire.ReplicaState_REPLICA_STATE_READY, wire.ReplicaState_REPLICA_STATE_DRAINING:
		converted := proto.CloneOf(announcement)
		converted.ColdUntilMs = nowMs + int64(announcement.GetWarmupMs())
		return converted
	default:
		return announcement
	}
}

// isColdUpdate reports whether a replica has turned cold, or the end of its warm-up has moved by more than coldToleranceMs. A warm replica stays warm without an update.
func isColdUpdate(announcement, existing *wire.Replica) bool {
	end, before := announcement.GetColdUntilMs(), existing.GetColdUntilMs()
	if end == 0 || announcement.GetWarmupMs() == 0 && before <= end {
		return false
	}
	return max(end-before, before-end) > coldToleranceMs
}

// keepColdEnd keeps the known end of the warm-up of the record's incarnation, which is 0 if it was never cold, unless it has moved.
func (e *Enroller) keepColdEnd(record *wire.Replica) {
	existing := e.replicas[record.GetId()]
	if existing.GetBornMs() != record.GetBornMs() {
		existing = nil
	}
	if !isColdUpdate(record, existing) {
		record.ColdUntilMs = existing.GetColdUntilMs()
	}
}
