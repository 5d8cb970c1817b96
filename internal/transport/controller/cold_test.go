package controller

import (
	"context"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestColdHeartbeats checks that a warm-up reported to one control instance is known at the others by the journal's clock, and guards against journal entries for the heartbeats that count it down.
func TestColdHeartbeats(t *testing.T) {
	const warmup = 30 * time.Second
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	begin := time.Now()
	announce := func(i int, sequence uint64) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		check(t, cl.controls[i].Announce(ctx, &wire.Replica{
			Id:       "r1",
			Service:  "s1",
			Address:  "10.0.0.1:1",
			BornMs:   1,
			Sequence: sequence,
			WarmupMs: uint32((warmup - time.Since(begin)).Milliseconds()),
		}))
	}
	announce(0, 1)
	entry := uint64(0)
	for i := range cl.controls {
		deadline := time.Now().Add(testTimeout)
		var replica *wire.Replica
		for replica == nil {
			var err error
			replica, err = cl.controls[i].FindReplica(t.Context(), "r1")
			check(t, err)
			if time.Now().After(deadline) {
				t.Fatalf("instance %d does not know the replica", i)
			}
		}
		entry = replica.GetIndex()
		if off := time.UnixMilli(replica.GetColdUntilMs()).Sub(begin.Add(warmup)).Abs(); off > time.Second {
			t.Errorf("instance %d: the warm-up ends %v off", i, off)
		}
	}
	for sequence := uint64(2); sequence < 20; sequence++ {
		time.Sleep(50 * time.Millisecond)
		announce(int(sequence)%len(cl.controls), sequence)
	}
	for i := range cl.controls {
		replica, err := cl.controls[i].FindReplica(t.Context(), "r1")
		check(t, err)
		if replica.GetIndex() != entry {
			t.Errorf("instance %d: the record changed at entry %d, after entry %d", i, replica.GetIndex(), entry)
		}
	}
}
