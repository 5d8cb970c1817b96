package enroller

import "pimentogate.example/pimentogate/pkg/wire"

// IsForeign reports whether the announcement would displace a replica that is ready, but can't come from its successor: it claims to be the same incarnation at another address or in another service, or it is in a service for which isNamed reports that no configuration names it.
func (e *Enroller) IsForeign(announcement *wire.Replica, isNamed func(service string) bool) bool {
	if announcement.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT {
		return false
	}
	known := e.replicas[announcement.GetId()]
	if isReady(known) {
		isSameService := known.GetService() == announcement.GetService()
		if known.GetBornMs() == announcement.GetBornMs() && announcement.GetBornMs() != 0 {
			return !isSameService || known.GetAddress() != announcement.GetAddress()
		}
		if !isSameService && !isNamed(announcement.GetService()) {
			return true
		}
	}
	holder := e.replicas[e.byAddress[announcement.GetAddress()]]
	return isReady(holder) && holder.GetId() != announcement.GetId() && !isNamed(announcement.GetService())
}

func isReady(record *wire.Replica) bool {
	return record != nil && record.GetState() == wire.ReplicaState_REPLICA_STATE_READY
}
