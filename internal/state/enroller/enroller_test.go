package enroller

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	ready    = wire.ReplicaState_REPLICA_STATE_READY
	draining = wire.ReplicaState_REPLICA_STATE_DRAINING
	left     = wire.ReplicaState_REPLICA_STATE_LEFT
	lost     = wire.ReplicaState_REPLICA_STATE_LOST
)

func said(id, address string, born int64, sequence uint64, state wire.ReplicaState) *wire.Replica {
	return &wire.Replica{
		Id:       id,
		Service:  "shard-1",
		Address:  address,
		BornMs:   born,
		Sequence: sequence,
		State:    state,
	}
}

func TestEnroller(t *testing.T) {
	cases := []struct {
		name  string
		steps []*wire.Replica
		// want is the state of each replica that is in the table.
		want map[string]wire.ReplicaState
	}{
		{"comes", []*wire.Replica{said("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"a": ready}},
		{"drains", []*wire.Replica{said("a", "1:1", 5, 1, ready), said("a", "1:1", 5, 2, draining)}, map[string]wire.ReplicaState{"a": draining}},
		{"late heartbeat after the drain", []*wire.Replica{said("a", "1:1", 5, 1, ready), said("a", "1:1", 5, 3, draining), said("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": draining}},
		{"later sequence that forgot the drain", []*wire.Replica{said("a", "1:1", 5, 3, draining), said("a", "1:1", 5, 4, ready)}, map[string]wire.ReplicaState{"a": draining}},
		{"late heartbeat after it left", []*wire.Replica{said("a", "1:1", 5, 1, ready), said("a", "1:1", 5, 2, left), said("a", "1:1", 5, 9, ready)}, map[string]wire.ReplicaState{"a": left}},
		{"leaves before it was heard", []*wire.Replica{said("a", "1:1", 5, 2, left), said("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"a": left}},
		{"next incarnation under its id", []*wire.Replica{said("a", "1:1", 5, 9, left), said("a", "1:1", 8, 1, ready)}, map[string]wire.ReplicaState{"a": ready}},
		{"earlier incarnation comes late", []*wire.Replica{said("a", "1:1", 8, 1, ready), said("a", "1:1", 5, 9, left)}, map[string]wire.ReplicaState{"a": ready}},
		{"address used again", []*wire.Replica{said("a", "1:1", 5, 1, ready), said("b", "1:1", 8, 1, ready)}, map[string]wire.ReplicaState{"a": left, "b": ready}},
		{"earlier holder of the address comes late", []*wire.Replica{said("b", "1:1", 8, 1, ready), said("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"b": ready}},
		{"lost, then heard", []*wire.Replica{said("a", "1:1", 5, 1, ready), said("a", "1:1", 5, 1, lost), said("a", "1:1", 5, 7, ready)}, map[string]wire.ReplicaState{"a": ready}},
	}
	for _, c := range cases {
		e := New(nil)
		for i, step := range c.steps {
			e.Enroll(step, uint64(i+1))
		}
		for _, table := range []*Enroller{e, New(e.Replicas(0))} {
			got := map[string]wire.ReplicaState{}
			for _, replica := range table.Replicas(0) {
				got[replica.GetId()] = replica.GetState()
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		}
	}
}

// TestChangesMakeTheTable holds that the changes behind any place in the journal, put over the table at that place, give the whole table.
func TestChangesMakeTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(nil)
		states := []wire.ReplicaState{ready, draining, left, lost}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		cut := rapid.IntRange(0, steps).Draw(t, "cut")
		table := map[string]*wire.Replica{}
		for index := 1; index <= steps; index++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			address := rapid.SampledFrom([]string{"1:1", "1:2"}).Draw(t, "address")
			born := rapid.Int64Range(1, 3).Draw(t, "born")
			sequence := rapid.Uint64Range(1, 5).Draw(t, "sequence")
			e.Enroll(said(id, address, born, sequence, rapid.SampledFrom(states).Draw(t, "state")), uint64(index))
			if index == cut {
				for _, replica := range e.Replicas(0) {
					table[replica.GetId()] = replica
				}
			}
		}
		for _, replica := range e.Replicas(uint64(cut) + 1) {
			table[replica.GetId()] = replica
		}
		checkTable(t, e, table)
	})
}

// checkTable holds that the copy is the table, and that no address has two holders.
func checkTable(t *rapid.T, e *Enroller, table map[string]*wire.Replica) {
	holders := map[string]string{}
	for _, replica := range e.Replicas(0) {
		if table[replica.GetId()].String() != replica.String() {
			t.Fatalf("%s: %v, want %v", replica.GetId(), table[replica.GetId()], replica)
		}
		if replica.GetState() == left {
			continue
		}
		if other := holders[replica.GetAddress()]; other != "" {
			t.Fatalf("%s and %s hold %s", other, replica.GetId(), replica.GetAddress())
		}
		holders[replica.GetAddress()] = replica.GetId()
	}
}

func TestForgetsThoseThatLeft(t *testing.T) {
	e := New(nil)
	e.Enroll(said("stays", "0:0", 1, 1, ready), 1)
	for i := range 2 * mostLeft {
		e.Enroll(said(fmt.Sprint(i), fmt.Sprint(i), 1, 1, left), uint64(i+2))
	}
	if got := len(e.Replicas(0)); got != mostLeft+1 {
		t.Errorf("%d records, want %d", got, mostLeft+1)
	}
	if e.Find("stays").GetState() != ready {
		t.Error("a replica that stays was forgotten")
	}
}
