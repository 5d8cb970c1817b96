package controller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

func (cl *cluster) drainZone(i int, zone string, drained bool) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	check(cl.t, cl.controls[i].DrainZone(ctx, zone, drained))
}

// awaitDrains waits until the instance tells entry instances of exactly these drained zones.
func (cl *cluster) awaitDrains(i int, want ...string) {
	cl.t.Helper()
	client := wireconnect.NewFleetServiceClient(listener.NewClient(), "http://"+cl.controls[i].Address())
	deadline := time.Now().Add(testTimeout)
	for {
		response, err := client.Follow(context.Background(), connect.NewRequest(&wire.FollowRequest{
			Instance: "entry",
		}))
		if err == nil && slices.Equal(response.Msg.GetDrains().GetZones(), want) {
			return
		}
		if time.Now().After(deadline) {
			cl.t.Fatalf("instance %d reports drains %v (%v), want %q\n%s", i, response, err, want, cl.describe())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDrainsSurvive guards against the loss of an acknowledged drain, or of its end, when the leader changes, when a disk is lost, and when all instances restart from snapshots.
func TestDrainsSurvive(t *testing.T) {
	cl := newCluster(t, 4)
	cl.awaitVoters(0)
	leader := cl.awaitLeader()
	follower := (leader + 1) % len(cl.controls)
	cl.drainZone(follower, "zone-x", true)
	cl.drainZone(leader, "zone-y", true)
	cl.stop(leader)
	cl.awaitDrains(follower, "zone-x", "zone-y")
	cl.drainZone(follower, "zone-x", true)
	cl.drainZone(follower, "zone-y", false)
	cl.wipe(leader)
	cl.start(leader)
	cl.awaitDrains(leader, "zone-x")
	// Three of these exceed snapshotBytes.
	content := strings.Repeat("x", 1<<20)
	for version := uint64(1); version <= 4; version++ {
		cl.publish(follower, version, content)
	}
	for i := range cl.controls {
		cl.stop(i)
	}
	for i := range cl.controls {
		cl.start(i)
	}
	for i := range cl.controls {
		cl.awaitDrains(i, "zone-x")
	}
}

// TestDrainAtOlderLeader checks that a drain is stored and distributed while the leader is of an older build, which does not know the command and answers it as unimplemented.
func TestDrainAtOlderLeader(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	leader := cl.awaitLeader()
	follower := cl.controls[(leader+1)%len(cl.controls)]
	olderLeader := func(_ context.Context, _ wireconnect.FleetServiceClient) (applier.Result, error) {
		return applier.Result{}, connect.NewError(connect.CodeUnimplemented, errors.New("unknown call"))
	}
	for _, drained := range []bool{true, true, false, true} {
		request := &wire.DrainZoneRequest{
			Zone:    "zone-x",
			Drained: drained,
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		_, err := follower.execute(ctx, drainZoneCommand(request), follower.drainCall(request, olderLeader))
		cancel()
		check(t, err)
		if drained {
			cl.awaitDrains(leader, "zone-x")
		} else {
			cl.awaitDrains(leader)
		}
	}
}
