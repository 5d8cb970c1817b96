package wire

// StateName returns the name of a replica state in logs and reports.
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
