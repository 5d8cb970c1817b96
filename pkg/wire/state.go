package wire

// StateName returns a replica's state as logs and reports write it.
func StateName(state ReplicaState) string {
	switch state {
	case ReplicaState_REPLICA_STATE_READY:
		return "ready"
	case ReplicaState_REPLICA_STATE_DRAINING:
		return "draining"
	case ReplicaState_REPLICA_STATE_LEFT:
		return "left"
	case ReplicaState_REPLICA_STATE_LOST:
		return "lost"
	default:
		return "unknown"
	}
}
