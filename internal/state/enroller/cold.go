package enroller

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// coldToleranceMs is by how much the end of a replica's warm-up may move without an entry in the journal: twice the second between heartbeats. Heartbeats that only count the warm-up down move it by less.
const coldToleranceMs = 2000

// WithTimes returns the announcement with its times by the clock of the journal: when the replica is warm, by how long it says that it stays cold, which is nowMs if it says that it is warm; and nowMs as the time at which its incarnation replaced another. Announcements that are not heartbeats are returned as they are, since they repeat what an earlier heartbeat said.
func WithTimes(announcement *wire.Replica, nowMs int64) *wire.Replica {
	switch announcement.GetState() {
	case wire.ReplicaState_REPLICA_STATE_READY, wire.ReplicaState_REPLICA_STATE_DRAINING:
		converted := proto.CloneOf(announcement)
		converted.ColdUntilMs = nowMs + int64(announcement.GetWarmupMs())
		converted.ReplacedMs = nowMs
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
