package forwarder

import (
	"context"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// awaitTimeout bounds the waits of a test that fails.
const awaitTimeout = 10 * time.Second

// fleetControl is a control instance of a fleet with a version that it confirms or not.
type fleetControl struct {
	wireconnect.UnimplementedFleetServiceHandler

	members *[]*wire.ControlMember
	// entryInstances is the number of entry instances that it reports.
	entryInstances uint32

	mutex     sync.Mutex
	version   uint64
	confirmed bool
	calls     int
}

func (c *fleetControl) set(version uint64, confirmed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version = version
	c.confirmed = confirmed
}

func (c *fleetControl) callCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls
}

// Follow answers at once if there is a newer version, and otherwise when the hold time has passed.
func (c *fleetControl) Follow(ctx context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	hold := time.After(time.Duration(request.Msg.GetHoldMs()) * time.Millisecond)
	for waiting := request.Msg.GetHoldMs() > 0; waiting && c.currentVersion() <= request.Msg.GetVersion(); {
		select {
		case <-hold:
			waiting = false
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	response := wholeState(stateIndex)
	response.Version = c.version
	response.Confirmed = c.confirmed
	response.Members = *c.members
	response.Followers = c.entryInstances
	return connect.NewResponse(response), nil
}

func (c *fleetControl) Document(context.Context, *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentResponse], error) {
	return connect.NewResponse(&wire.DocumentResponse{
		Publication: &wire.Publication{
			Version: c.currentVersion(),
		},
	}), nil
}

func (c *fleetControl) currentVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// awaitCondition waits until the condition holds and returns how long that took.
func awaitCondition(t *testing.T, what string, within time.Duration, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > within {
			t.Fatalf("%s: not within %s", what, within)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}

// TestVersionInForceAfterPrimaryFallsBehind guards against an entry instance of a large fleet that goes on with an old version until its next poll of the other control instances, after the one that it follows has fallen behind.
func TestVersionInForceAfterPrimaryFallsBehind(t *testing.T) {
	const entryInstances, inForceWithin = 3700, 4 * time.Second
	var members []*wire.ControlMember
	newControl := func() *fleetControl {
		return &fleetControl{
			members:        &members,
			entryInstances: entryInstances,
			version:        stateVersion,
			confirmed:      true,
		}
	}
	followed, other := newControl(), newControl()
	members = []*wire.ControlMember{
		{
			Id:      "followed",
			Address: listenFleet(t, followed),
			Zone:    "a",
		},
		{
			Id:      "other",
			Address: listenFleet(t, other),
			Zone:    "b",
		},
	}
	f := newFollowingForwarder(t, "entry-1", "a", members[0].GetAddress())
	awaitReady(t, f, awaitTimeout)
	awaitCondition(t, "a poll of the other control instance", awaitTimeout, func() bool { return other.callCount() > 0 })
	awaitCondition(t, "long polls", awaitTimeout, func() bool { return followed.callCount() > 2 })
	followed.set(stateVersion, false)
	other.set(stateVersion+1, true)
	took := awaitCondition(t, "the new version", awaitTimeout, func() bool { return f.directory.currentVersion() == stateVersion+1 })
	if took > inForceWithin {
		t.Errorf("in force after %s, want at most %s", took, inForceWithin)
	}
}
