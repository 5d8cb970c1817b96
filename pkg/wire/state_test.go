package wire

import "testing"

// TestStateName holds that every state has a name of its own.
func TestStateName(t *testing.T) {
	names := map[string]bool{}
	for number := range ReplicaState_name {
		names[StateName(ReplicaState(number))] = true
	}
	if len(names) != len(ReplicaState_name) || names["unknown"] {
		t.Errorf("names %v of %d states", names, len(ReplicaState_name))
	}
}
