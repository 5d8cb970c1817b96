package enroller

import "pimentogate.example/pimentogate/pkg/wire"

// IsForeign reports whether the announcement would displace a replica, but can't come from its successor. A replica that is in use under the id keeps its service, and its address as long as it is the same incarnation; one that is ready at the address is displaced only by a replica of a service that a configuration names, as reported by isNamed.
func (e *Enroller) IsForeign(announcement *wire.Replica, isNamed func(service string) bool) bool {
	if announcement.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
		return false
	}
	known := e.replicas[announcement.GetId()]
	if isInUse(known) && known.GetService() != announcement.GetService() {
		return true
	}
	if isReady(known) && known.GetBornMs() == announcement.GetBornMs() && announcement.GetBornMs() != 0 && known.GetAddress() != announcement.GetAddress() {
		return true
	}
	holder := e.replicas[e.byAddress[announcement.GetAddress()]]
	return isReady(holder) && holder.GetId() != announcement.GetId() && !isNamed(announcement.GetService())
}

// isInUse reports whether requests may run at the replica: it is ready, or still at work on those that it had.
func isInUse(record *wire.Replica) bool {
	return isReady(record) || record.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
}

func isReady(record *wire.Replica) bool {
	return record != nil && record.GetState() == wire.ReplicaState_REPLICA_STATE_READY
}
