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

func newAnnouncement(id, address string, bornMs int64, sequence uint64, state wire.ReplicaState) *wire.Replica {
	return &wire.Replica{
		Id:       id,
		Service:  "shard-1",
		Address:  address,
		BornMs:   bornMs,
		Sequence: sequence,
		State:    state,
	}
}

func TestEnroller(t *testing.T) {
	cases := []struct {
		name  string
		steps []*wire.Replica
		// want is the state of each replica in the table.
		want map[string]wire.ReplicaState
	}{
		{"first announcement", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"a": ready}},
		{"drains", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 2, draining)}, map[string]wire.ReplicaState{"a": draining}},
		{"drain below the known sequence", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1000, ready), newAnnouncement("a", "1:1", 5, 2, draining), newAnnouncement("a", "1:1", 5, 1001, ready)}, map[string]wire.ReplicaState{"a": draining}},
		{"drain below the known sequence of one that is lost", []*wire.Replica{newAnnouncement("a", "1:1", 5, 9, ready), newAnnouncement("a", "1:1", 5, 9, lost), newAnnouncement("a", "1:1", 5, 2, draining)}, map[string]wire.ReplicaState{"a": draining}},
		{"drain of an earlier incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 4, 2, draining)}, map[string]wire.ReplicaState{"a": ready}},
		{"drain after leaving", []*wire.Replica{newAnnouncement("a", "1:1", 5, 3, left), newAnnouncement("a", "1:1", 5, 2, draining)}, map[string]wire.ReplicaState{"a": left}},
		{"late heartbeat after the drain", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 3, draining), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": draining}},
		{"higher sequence without the drain", []*wire.Replica{newAnnouncement("a", "1:1", 5, 3, draining), newAnnouncement("a", "1:1", 5, 4, ready)}, map[string]wire.ReplicaState{"a": draining}},
		{"late heartbeat after leaving", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 2, left), newAnnouncement("a", "1:1", 5, 9, ready)}, map[string]wire.ReplicaState{"a": left}},
		{"leave arrives first", []*wire.Replica{newAnnouncement("a", "1:1", 5, 2, left), newAnnouncement("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"a": left}},
		{"next incarnation with the same id", []*wire.Replica{newAnnouncement("a", "1:1", 5, 9, left), newAnnouncement("a", "1:1", 8, 1, ready)}, map[string]wire.ReplicaState{"a": ready}},
		{"late announcement of an earlier incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 5, 9, left)}, map[string]wire.ReplicaState{"a": ready}},
		{"reused address", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready)}, map[string]wire.ReplicaState{"a": left, "b": ready}},
		{"late announcement of an earlier holder of the address", []*wire.Replica{newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"b": ready}},
		{"superseded by one that is lost", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": ready, "b": left}},
		{"superseded, and again by the same", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, ready), newAnnouncement("b", "1:1", 8, 2, ready)}, map[string]wire.ReplicaState{"a": left, "b": ready}},
		{"superseded, then drains", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, draining)}, map[string]wire.ReplicaState{"a": draining, "b": left}},
		{"superseded while draining", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, draining), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": left, "b": lost}},
		{"superseded, then left", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 5, 2, left), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": left, "b": lost}},
		{"late heartbeat from before it was superseded", []*wire.Replica{newAnnouncement("a", "1:1", 5, 3, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": left, "b": lost}},
		{"superseded, then taken for lost", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("a", "1:1", 5, 1, lost)}, map[string]wire.ReplicaState{"a": left, "b": lost}},
		{"superseded by one that has left", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 2, left), newAnnouncement("a", "1:1", 5, 2, ready)}, map[string]wire.ReplicaState{"a": left, "b": left}},
		{"started before one that is lost at its address", []*wire.Replica{newAnnouncement("b", "1:1", 8, 1, ready), newAnnouncement("b", "1:1", 8, 1, lost), newAnnouncement("c", "1:1", 5, 1, ready)}, map[string]wire.ReplicaState{"b": left, "c": ready}},
		{"lost, then ready again", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 1, lost), newAnnouncement("a", "1:1", 5, 7, ready)}, map[string]wire.ReplicaState{"a": ready}},
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
				t.Errorf("%s: got states %v, want %v", c.name, got, c.want)
			}
		}
	}
}

// TestChangesRebuildTable checks that the table at any journal index, updated with the changes after that
// index, is the current table.
func TestChangesRebuildTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(nil)
		states := []wire.ReplicaState{ready, draining, left, lost}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		cutIndex := rapid.IntRange(0, steps).Draw(t, "cut")
		copied := map[string]*wire.Replica{}
		for index := 1; index <= steps; index++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			address := rapid.SampledFrom([]string{"1:1", "1:2"}).Draw(t, "address")
			bornMs := rapid.Int64Range(1, 3).Draw(t, "born")
			sequence := rapid.Uint64Range(1, 5).Draw(t, "sequence")
			e.Enroll(newAnnouncement(id, address, bornMs, sequence, rapid.SampledFrom(states).Draw(t, "state")), uint64(index))
			if index == cutIndex {
				for _, replica := range e.Replicas(0) {
					copied[replica.GetId()] = replica
				}
			}
		}
		for _, replica := range e.Replicas(uint64(cutIndex) + 1) {
			copied[replica.GetId()] = replica
		}
		checkTable(t, e, copied)
	})
}

// checkTable checks that the copied table has each current record and that no two replicas hold one address.
func checkTable(t *rapid.T, e *Enroller, copied map[string]*wire.Replica) {
	holders := map[string]string{}
	for _, replica := range e.Replicas(0) {
		if copied[replica.GetId()].String() != replica.String() {
			t.Fatalf("replica %s: got %v, want %v", replica.GetId(), copied[replica.GetId()], replica)
		}
		if replica.GetState() == left {
			continue
		}
		if other := holders[replica.GetAddress()]; other != "" {
			t.Fatalf("replicas %s and %s both hold address %s", other, replica.GetId(), replica.GetAddress())
		}
		holders[replica.GetAddress()] = replica.GetId()
	}
}

func TestEvictsOldestLeftReplicas(t *testing.T) {
	e := New(nil)
	e.Enroll(newAnnouncement("ready", "0:0", 1, 1, ready), 1)
	for i := range 2 * maxLeftReplicas {
		e.Enroll(newAnnouncement(fmt.Sprint(i), fmt.Sprint(i), 1, 1, left), uint64(i+2))
	}
	if got := len(e.Replicas(0)); got != maxLeftReplicas+1 {
		t.Errorf("got %d records, want %d", got, maxLeftReplicas+1)
	}
	if e.Find("ready").GetState() != ready {
		t.Error("a replica that has not left was evicted")
	}
}

// TestDeparturesAreFinal guards against an incarnation that is used again after it has announced its drain or departure, whatever happens to its address.
func TestDeparturesAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(nil)
		leaving := map[string]bool{}
		for index := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			bornMs := rapid.Int64Range(1, 3).Draw(t, "born")
			state := rapid.SampledFrom([]wire.ReplicaState{ready, ready, draining, left, lost}).Draw(t, "state")
			announcement := newAnnouncement(id, "1:1", bornMs, rapid.Uint64Range(1, 9).Draw(t, "sequence"), state)
			key := fmt.Sprint(id, bornMs)
			if e.Enroll(announcement, uint64(index+1)) && (state == draining || state == left) {
				leaving[key] = true
			}
			for _, replica := range e.Replicas(0) {
				if leaving[fmt.Sprint(replica.GetId(), replica.GetBornMs())] && replica.GetState() == ready {
					t.Fatalf("%s of %d is ready again", replica.GetId(), replica.GetBornMs())
				}
			}
		}
	})
}

// TestAcknowledgedDrainsTakeEffect guards against a drain or departure that is acknowledged although its replica may still get requests, whatever was announced under its id before.
func TestAcknowledgedDrainsTakeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(nil)
		for index := range rapid.IntRange(1, 60).Draw(t, "steps") {
			announcement := newAnnouncement(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.SampledFrom([]string{"1:1", "1:2"}).Draw(t, "address"),
				rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.SampledFrom([]wire.ReplicaState{ready, draining, left, lost}).Draw(t, "state"))
			// Control acknowledges none of these unless it has an effect.
			isRefused := e.IsOutdated(announcement) || e.IsForeign(announcement, func(string) bool { return true }) || e.isSuperseded(announcement)
			if isRefused || announcement.GetState() == lost && e.Find(announcement.GetId()).GetState() != ready {
				continue
			}
			if announcement.GetState() == left {
				announcement = CompleteDeparture(announcement, e.Find(announcement.GetId()))
			}
			e.Enroll(announcement, uint64(index+1))
			if isDrain := announcement.GetState() == draining || announcement.GetState() == left; isDrain && e.MayGetRequests(announcement.GetId()) {
				t.Fatalf("%v has no effect on %v", announcement, e.Find(announcement.GetId()))
			}
		}
	})
}
