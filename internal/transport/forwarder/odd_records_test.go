package forwarder

import (
	"math"
	"testing"

	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// newRecord returns the record of a ready replica.
func newRecord(id string) *wire.Replica {
	return &wire.Replica{
		Id:      id,
		Service: "shard",
		Address: "127.0.0.1:9",
		Zone:    "a",
		Slots:   2,
		State:   wire.ReplicaState_REPLICA_STATE_READY,
		BornMs:  1_700_000_000_000,
		Index:   stateIndex,
	}
}

// TestOddRecordsAreNoReplicas guards against records in the journal of an older build, or in the table of a peer, that describe no replica: none is used, and the others are followed.
func TestOddRecordsAreNoReplicas(t *testing.T) {
	odd := map[string]func(record *wire.Replica){
		"port out of range": func(r *wire.Replica) { r.Address = "127.0.0.1:99999" },
		"no port":           func(r *wire.Replica) { r.Address = "127.0.0.1" },
		"no address":        func(r *wire.Replica) { r.Address = "" },
		"name of a port":    func(r *wire.Replica) { r.Address = "127.0.0.1:http" },
		"no host":           func(r *wire.Replica) { r.Address = "0.0.0.0:80" },
		"no service":        func(r *wire.Replica) { r.Service = "" },
		"line in the ID":    func(r *wire.Replica) { r.Id = "i\r\nX: 1" },
		"slots":             func(r *wire.Replica) { r.Slots = math.MaxUint32 },
		"start time":        func(r *wire.Replica) { r.BornMs = math.MaxInt64 },
	}
	for name, change := range odd {
		for _, from := range []string{"control", "peer"} {
			t.Run(name+" from "+from, func(t *testing.T) {
				f := newTestForwarder(t, "entry-1", "a")
				record := newRecord("odd")
				change(record)
				state := wholeState(stateIndex)
				state.Replicas = []*wire.Replica{newRecord("first"), record, newRecord("last")}
				if from == "control" {
					f.directory.apply(state)
				} else {
					applyFromPeer(t, f, state)
				}
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if f.balancer.Find(record.GetId()) != nil {
					t.Error("the odd record is used")
				}
				if f.balancer.Find("first") == nil || f.balancer.Find("last") == nil {
					t.Error("another replica of the same response is missing")
				}
			})
		}
	}
}

func applyFromPeer(t *testing.T, f *Forwarder, state *wire.FollowResponse) {
	t.Helper()
	packed, err := packer.Expand(state)
	if err != nil {
		t.Fatal(err)
	}
	response := &wire.StateResponse{
		State: state,
	}
	if err := f.directory.receiveFromPeer("peer", response, packed); err != nil {
		t.Fatal(err)
	}
}
