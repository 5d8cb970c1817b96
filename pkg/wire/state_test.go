package wire

import "testing"

// TestStateName checks that every state has a unique name other than unknown.
func TestStateName(t *testing.T) {
	names := map[string]bool{}
	for number := range ReplicaState_name {
		names[StateName(ReplicaState(number))] = true
	}
	if len(names) != len(ReplicaState_name) || names["unknown"] {
		t.Errorf("got names %v for %d states, want one unique name each", names, len(ReplicaState_name))
	}
}
