package enroller

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestColdUpdates guards against a journal entry for each heartbeat of a warm-up, and against a replica that turns cold, or warm early, without one.
func TestColdUpdates(t *testing.T) {
	const second = 1000
	steps := []struct {
		name       string
		nowMs      int64
		warmupMs   uint32
		isUpdate   bool
		wantEndMs  int64
		bornChange int64
	}{
		{"warm", 100 * second, 0, true, 0, 0},
		{"still warm", 101 * second, 0, false, 0, 0},
		{"turns cold", 102 * second, 30 * second, true, 132 * second, 0},
		{"counts down", 103 * second, 29 * second, false, 132 * second, 0},
		{"counts down, late by a second", 105 * second, 28 * second, false, 132 * second, 0},
		{"takes longer", 106 * second, 40 * second, true, 146 * second, 0},
		{"warm early", 110 * second, 0, true, 110 * second, 0},
		{"still warm", 111 * second, 0, false, 110 * second, 0},
		{"cold again for a short time", 200 * second, second, true, 201 * second, 0},
		{"ends as expected", 202 * second, 0, false, 201 * second, 0},
		{"cold until later", 202 * second, 10, false, 201 * second, 0},
		{"next incarnation, warm", 210 * second, 0, true, 0, 1},
		{"next incarnation, cold", 220 * second, 5 * second, true, 225 * second, 2},
	}
	e := New(nil)
	for i, step := range steps {
		announcement := WithTimes(&wire.Replica{
			Id:       "r1",
			Address:  "10.0.0.1:1",
			BornMs:   1 + step.bornChange,
			Sequence: uint64(i),
			WarmupMs: step.warmupMs,
		}, step.nowMs)
		if got := e.Enroll(announcement, uint64(i+1)); got != step.isUpdate {
			t.Errorf("%s: update %t, want %t", step.name, got, step.isUpdate)
		}
		if got := e.Find("r1").GetColdUntilMs(); got != step.wantEndMs {
			t.Errorf("%s: cold until %d, want %d", step.name, got, step.wantEndMs)
		}
	}
}

// TestLostReplicaKeepsColdEnd guards against a warm-up that begins anew when a silent replica is marked as lost.
func TestLostReplicaKeepsColdEnd(t *testing.T) {
	lost := &wire.Replica{
		Id:          "r1",
		State:       wire.ReplicaState_REPLICA_STATE_LOST,
		WarmupMs:    5000,
		ColdUntilMs: 7000,
	}
	if got := WithTimes(lost, 50_000).GetColdUntilMs(); got != 7000 {
		t.Errorf("cold until %d, want 7000", got)
	}
}
