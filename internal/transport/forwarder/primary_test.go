package forwarder

import (
	"context"
	"errors"
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
	entries []*wire.EntryInstance
	// entryInstances is the number of entry instances that it reports.
	entryInstances uint32

	mutex     sync.Mutex
	version   uint64
	confirmed bool
	calls     int
	// isGone is set if the instance has been replaced and answers no calls.
	isGone bool
}

func (c *fleetControl) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isGone = true
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
	if c.isGone {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("gone"))
	}
	c.calls++
	response := wholeState(stateIndex)
	response.Version = c.version
	response.Confirmed = c.confirmed
	response.Members = *c.members
	response.Entries = c.entries
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
func awaitCondition(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > awaitTimeout {
			t.Fatalf("%s: not within %s", what, awaitTimeout)
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
	awaitCondition(t, "a poll of the other control instance", func() bool { return other.callCount() > 0 })
	awaitCondition(t, "long polls", func() bool { return followed.callCount() > 2 })
	followed.set(stateVersion, false)
	other.set(stateVersion+1, true)
	took := awaitCondition(t, "the new version", func() bool { return f.directory.currentVersion() == stateVersion+1 })
	t.Logf("in force after %s", took)
	if took > inForceWithin {
		t.Errorf("in force after %s, want at most %s", took, inForceWithin)
	}
}

// TestVersionInForceWithoutKnownControl guards against an entry instance that goes on with an old version for good, because all control instances that it knows were replaced while it was cut off.
func TestVersionInForceWithoutKnownControl(t *testing.T) {
	const inForceWithin = 4 * time.Second
	peer := newTestForwarder(t, "peer", "a")
	oldMembers, newMembers := []*wire.ControlMember{}, []*wire.ControlMember{}
	replaced := &fleetControl{
		members:   &oldMembers,
		version:   stateVersion,
		confirmed: true,
		entries: []*wire.EntryInstance{{
			Instance: "peer",
			Zone:     "a",
			Address:  peer.peers.server.Address(),
		}},
		entryInstances: 2,
	}
	successor := &fleetControl{
		members:   &newMembers,
		version:   stateVersion + 1,
		confirmed: true,
	}
	oldMembers = append(oldMembers, &wire.ControlMember{
		Id:      "replaced",
		Address: listenFleet(t, replaced),
		Zone:    "a",
	})
	newMembers = append(newMembers, &wire.ControlMember{
		Id:      "successor",
		Address: listenFleet(t, successor),
		Zone:    "a",
	})
	f := newFollowingForwarder(t, "entry-1", "a", oldMembers[0].GetAddress())
	awaitReady(t, f, awaitTimeout)
	awaitCondition(t, "long polls", func() bool { return replaced.callCount() > 2 })
	replaced.leave()
	// The peer has followed the successor.
	state := wholeState(stateIndex + 1)
	state.Members = newMembers
	state.Confirmed = true
	peer.directory.apply(state)
	if err := peer.directory.installConfig(&wire.Publication{
		Version: stateVersion + 1,
	}, "test"); err != nil {
		t.Fatal(err)
	}
	took := awaitCondition(t, "the new version", func() bool { return f.directory.currentVersion() == stateVersion+1 })
	t.Logf("in force after %s", took)
	if took > inForceWithin {
		t.Errorf("in force after %s, want at most %s", took, inForceWithin)
	}
	awaitCondition(t, "a call of the successor", func() bool { return successor.callCount() > 0 })
}

// reshardingControl is a control instance at which a new version, and before that the replica that it names, arrive between the first response and the fetch of the configuration.
type reshardingControl struct {
	wireconnect.UnimplementedFleetServiceHandler

	mutex     sync.Mutex
	published bool
}

func (c *reshardingControl) Follow(context.Context, *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := wholeState(stateIndex)
	response.Version = stateVersion
	if c.published {
		response = wholeState(stateIndex + 1)
		response.Version = stateVersion + 1
	}
	response.Confirmed = true
	return connect.NewResponse(response), nil
}

func (c *reshardingControl) Document(context.Context, *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.published = true
	return connect.NewResponse(&wire.DocumentResponse{
		Publication: &wire.Publication{
			Version: stateVersion + 1,
		},
	}), nil
}

// TestVersionComesWithItsReplicas guards against an instance that serves by a version before it knows the replicas which that version names.
func TestVersionComesWithItsReplicas(t *testing.T) {
	for range 20 {
		f := newFollowingForwarder(t, "entry-1", "a", listenFleet(t, &reshardingControl{}))
		awaitReady(t, f, awaitTimeout)
		f.directory.mutex.Lock()
		version, index := f.directory.configVersion, f.directory.index
		f.directory.mutex.Unlock()
		if version > stateVersion && index <= stateIndex {
			t.Fatalf("version %d is in force with the replicas as of index %d", version, index)
		}
	}
}
