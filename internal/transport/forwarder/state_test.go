package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	stateIndex   = 10
	stateVersion = 3
)

// busyControl is a control instance that refuses the first calls for the whole state and names peers.
type busyControl struct {
	wireconnect.UnimplementedFleetServiceHandler

	refusals     atomic.Int64
	retryAfterMs uint32
	peers        []*wire.EntryInstance
	confirmed    bool
	calls        atomic.Int64
}

func (c *busyControl) Follow(_ context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	c.calls.Add(1)
	if !request.Msg.GetHeard() && c.refusals.Add(-1) >= 0 {
		err := connect.NewError(connect.CodeResourceExhausted, errors.New("busy"))
		detail, _ := connect.NewErrorDetail(&wire.FollowRefusal{
			RetryAfterMs: c.retryAfterMs,
			Peers:        c.peers,
		})
		err.AddDetail(detail)
		return nil, err
	}
	response := wholeState(stateIndex)
	response.Version = stateVersion
	response.Confirmed = c.confirmed
	return connect.NewResponse(response), nil
}

func (c *busyControl) Document(context.Context, *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentResponse], error) {
	return connect.NewResponse(&wire.DocumentResponse{
		Publication: &wire.Publication{
			Version: stateVersion,
		},
	}), nil
}

// wholeState returns a state with one replica.
func wholeState(index uint64) *wire.FollowResponse {
	return &wire.FollowResponse{
		Index: index,
		Whole: true,
		Replicas: []*wire.Replica{{
			Id:    "r-1",
			Index: index,
		}},
		Drains: &wire.ZoneDrains{
			Revision: index,
		},
	}
}

func (c *busyControl) listen(t *testing.T) string {
	t.Helper()
	return listenFleet(t, c)
}

// listenFleet serves a control instance and returns its address.
func listenFleet(t *testing.T, control wireconnect.FleetServiceHandler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewFleetServiceHandler(control))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// give gives an instance a state as a control instance does.
func give(t *testing.T, f *Forwarder, index, version uint64, confirmed, isServing bool) {
	t.Helper()
	d := f.directory
	state := wholeState(index)
	state.Confirmed = confirmed
	d.apply(state)
	err := d.installConfig(&wire.Publication{
		Version: version,
	}, "test")
	if err != nil {
		t.Fatal(err)
	}
	if isServing {
		d.markInitialized("test")
	}
}

func awaitReady(t *testing.T, f *Forwarder, within time.Duration) {
	t.Helper()
	for started := time.Now(); !f.IsReady(); time.Sleep(time.Millisecond) {
		if time.Since(started) > within {
			t.Fatalf("not ready after %s", within)
		}
	}
}

// TestFirstState checks where an instance that control refuses gets its first state, and that a peer that is down, has no state, or has one that no quorum has confirmed, delays it by little.
func TestFirstState(t *testing.T) {
	cases := []struct {
		name string
		// peer is the state of the peer that the refusal names: "none", "confirmed", "unconfirmed" or "held", if it does not serve with it yet; "down" if it is not running.
		peer      string
		refusals  int64
		confirmed bool
		wantIndex uint64
		wantCalls int64
		within    time.Duration
	}{
		{"peer has the state", "confirmed", 100, true, stateIndex + 1, 1, time.Second},
		{"peer has no state", "none", 1, true, stateIndex, 2, time.Second},
		{"peer is down", "down", 1, true, stateIndex, 2, time.Second},
		// The second call needs the changes since the peer's state only, so it is not refused.
		{"peer's state is unconfirmed", "unconfirmed", 100, true, stateIndex + 1, 2, time.Second},
		{"peer does not serve yet", "held", 100, true, stateIndex + 1, 2, time.Second},
		{"nothing is confirmed", "unconfirmed", 100, false, stateIndex + 1, 3, singleUnconfirmedDelay + time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := newTestForwarder(t, "peer", "a")
			address := peer.peers.server.Address()
			switch c.peer {
			case "down":
				address = "127.0.0.1:1"
			case "none":
			default:
				give(t, peer, stateIndex+1, stateVersion+1, c.peer == "confirmed", c.peer != "held")
			}
			control := &busyControl{
				retryAfterMs: 100,
				confirmed:    c.confirmed,
				peers: []*wire.EntryInstance{{
					Instance: "peer",
					Address:  address,
				}},
			}
			control.refusals.Store(c.refusals)
			started := time.Now()
			f := newFollowingForwarder(t, "entry-1", "a", control.listen(t))
			awaitReady(t, f, c.within)
			took := time.Since(started)
			f.directory.mutex.Lock()
			defer f.directory.mutex.Unlock()
			if f.directory.index != c.wantIndex || len(f.directory.replicas) != 1 {
				t.Errorf("index %d with %d replicas, want index %d with 1", f.directory.index, len(f.directory.replicas), c.wantIndex)
			}
			if calls := control.calls.Load(); calls < c.wantCalls {
				t.Errorf("%d calls of control, want at least %d", calls, c.wantCalls)
			}
			if !c.confirmed && took < singleUnconfirmedDelay {
				t.Errorf("serves with an unconfirmed state after %s", took)
			}
		})
	}
}

// TestPeerStateIsNeverOlder guards against a peer's state that takes an instance back in its version, index or drains.
func TestPeerStateIsNeverOlder(t *testing.T) {
	f := newTestForwarder(t, "entry-1", "a")
	give(t, f, stateIndex, stateVersion, true, true)
	old := newTestForwarder(t, "peer", "a")
	give(t, old, stateIndex-1, stateVersion-1, true, true)
	response, err := old.directory.stateFor(&wire.StateRequest{})
	if err != nil {
		t.Fatal(err)
	}
	packed, err := packer.Expand(response.GetState())
	if err != nil {
		t.Fatal(err)
	}
	if err := f.directory.receiveFromPeer("peer", response, packed); err != nil {
		t.Fatal(err)
	}
	d := f.directory
	if d.index != stateIndex || d.configVersion != stateVersion || d.drains.GetRevision() != stateIndex || d.replicas["r-1"].GetIndex() != stateIndex {
		t.Errorf("index %d, version %d, drains %d, replica %d after an older state", d.index, d.configVersion, d.drains.GetRevision(), d.replicas["r-1"].GetIndex())
	}
}
