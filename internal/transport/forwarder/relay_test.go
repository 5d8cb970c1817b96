package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const relayShards = 4

// plainCodec takes each answer as a success whose signature is its replica's.
type plainCodec struct{}

func (plainCodec) Encode(call *exchanger.Call, replica string, _ time.Duration) (*http.Request, error) {
	return &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Opaque: call.Path,
		},
		Host: call.Host,
		Header: http.Header{
			"Replica": {replica},
			"Kept":    call.Header["Kept"],
		},
	}, nil
}

func (plainCodec) Decode(_ *exchanger.Call, response *http.Response, body []byte) (scatterer.Outcome, bool) {
	return scatterer.Outcome{
		Kind: scatterer.OutcomeReplied,
		Reply: &scatterer.Reply{
			Status: response.StatusCode,
			Stamp:  response.Header.Get("Stamp"),
			Body:   body,
		},
	}, true
}

func nothing(*Forwarder) http.Handler { return http.NotFoundHandler() }

// newEntry starts an entry instance that follows nobody.
func newEntry(t *testing.T, name, zone string) *Forwarder {
	t.Helper()
	f, err := New(&checker.ForwarderSettings{
		Instance:        name,
		Zone:            zone,
		ListenCallers:   "127.0.0.1:0",
		ListenReadiness: "127.0.0.1:0",
		ListenMetrics:   "127.0.0.1:0",
		ListenPeers:     "127.0.0.1:0",
		ControlSeeds:    []string{"127.0.0.1:1"},
		ControlPeers:    "127.0.0.1:1",
		RepeatBurst:     1000,
		RepeatWindowMs:  10_000,
		GraceMs:         1000,
	}, logr.Discard(), Protocol{
		Codec:     plainCodec{},
		Callers:   nothing,
		Readiness: nothing,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.Shutdown(ctx)
	})
	return f
}

// relayPath is an entry instance in zone a, one in zone b, and the shards' replicas, all in zone b.
type relayPath struct {
	near, far *Forwarder
	asked     atomic.Int64
	route     *matcher.Route
}

func newRelayPath(t *testing.T) *relayPath {
	t.Helper()
	p := &relayPath{
		near: newEntry(t, "near", "a"),
		far:  newEntry(t, "far", "b"),
		route: &matcher.Route{
			Name:          "all",
			Idempotent:    true,
			Timeout:       2 * time.Second,
			TargetLatency: 300 * time.Millisecond,
			MaxRuns:       2,
			TopK:          2,
			MinShardShare: 1,
		},
	}
	for i := range relayShards {
		service := fmt.Sprintf("shard-%d", i)
		p.route.Shards = append(p.route.Shards, service)
		for copied := range 2 {
			p.addReplica(t, service, fmt.Sprintf("%s-%d", service, copied))
		}
	}
	p.peer(p.far.relays.server.Address())
	return p
}

func (p *relayPath) addReplica(t *testing.T, service, id string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.asked.Add(1)
		if r.Header.Get("Replica") != id || r.Header.Get("Kept") != "yes" || r.RequestURI != "/all/1?q" {
			t.Errorf("replica %s was sent %s %v", id, r.RequestURI, r.Header)
		}
		w.Header().Set("Stamp", id)
		fmt.Fprintf(w, "%-16s%-16s%-16s", "c"+id, "a"+id, "b"+id)
	}))
	t.Cleanup(server.Close)
	for _, f := range []*Forwarder{p.near, p.far} {
		f.putReplica(balancer.Replica{
			ID:      id,
			Service: service,
			Address: server.Listener.Addr().String(),
			Zone:    "b",
			Slots:   2,
		})
	}
}

// peer tells the near instance where its peer is.
func (p *relayPath) peer(address string) {
	p.near.relays.update([]*wire.EntryInstance{{
		Instance: "far",
		Zone:     "b",
		Address:  address,
	}})
}

func (p *relayPath) ask(t *testing.T) scatterer.Decision {
	t.Helper()
	return p.near.Serve(t.Context(), &exchanger.Call{
		ID:     "1",
		Method: http.MethodGet,
		Host:   "a.example",
		Path:   "/all/1?q",
		Header: http.Header{
			"Kept": {"yes"},
		},
	}, scatterer.Request{
		ID:        "1",
		Route:     p.route,
		ArrivedAt: time.Now(),
		Deadline:  time.Now().Add(2 * time.Second),
	}, 1).Decision
}

func (p *relayPath) checkWhole(t *testing.T) {
	t.Helper()
	d := p.ask(t)
	if d.Kind != scatterer.Gathered || len(d.Replies) != relayShards {
		t.Fatalf("%+v", d)
	}
	for i, reply := range d.Replies {
		if want := fmt.Sprintf("shard-%d", i); len(reply.Stamp) < len(want) || reply.Stamp[:len(want)] != want {
			t.Errorf("part %d is signed by %s", i, reply.Stamp)
		}
	}
}

// forbidRepeats keeps the instance from hedging beside the peer: on a busy machine a part takes longer than the first ones, by which it is told what is slow.
func (p *relayPath) forbidRepeats() {
	settings := *p.near.current()
	settings.RepeatBurst = 0
	p.near.Reload(&settings)
}

// isPassed reports whether the next query would not use the peer.
func (p *relayPath) isPassed() bool {
	p.near.mutex.Lock()
	defer p.near.mutex.Unlock()
	return p.near.relays.relayer.Choose(time.Now(), "b", nil) == nil
}

// TestRelayed holds that a peer carries the attempts to its zone, and sends back just the records that may be of use.
func TestRelayed(t *testing.T) {
	p := newRelayPath(t)
	p.forbidRepeats()
	p.checkWhole(t)
	if here, there := p.near.exchanger.OpenConnections(), p.far.exchanger.OpenConnections(); here != 0 || there < relayShards || there > 2*relayShards {
		t.Errorf("%d connections from here, %d from the peer, which opens one to each replica beforehand", here, there)
	}
	if d := p.ask(t); len(d.Replies[0].Body) != 2*16 || d.Replies[0].Body[0] != 'c' || d.Replies[0].Body[16] != 'b' {
		t.Errorf("part %q", d.Replies[0].Body)
	}
	if got := p.asked.Load(); got != 2*relayShards {
		t.Errorf("replicas were asked %d times", got)
	}
}

// TestPeerInTrouble holds that a query whose peer is gone, ends, says nothing or knows no replica is answered whole all the same, and that the peer is passed over afterwards.
func TestPeerInTrouble(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name string
		play func(p *relayPath)
		// passed says that the next query does not use the peer.
		passed bool
	}{
		{"gone", func(p *relayPath) { p.peer(closed.Addr().String()) }, true},
		{"silent", func(p *relayPath) { p.peer(silent.Addr().String()) }, true},
		{"ending", func(p *relayPath) { p.far.stopping.Store(true) }, true},
		{"knows no replica", func(p *relayPath) {
			for i := range relayShards {
				p.far.removeReplica(fmt.Sprintf("shard-%d-0", i))
				p.far.removeReplica(fmt.Sprintf("shard-%d-1", i))
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newRelayPath(t)
			c.play(p)
			p.checkWhole(t)
			limit := time.Now().Add(time.Second)
			for p.isPassed() != c.passed {
				if time.Now().After(limit) {
					t.Fatalf("the peer is passed over: %v", !c.passed)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestGoneCallerReachesPeers holds that a peer lets replicas go soon after the caller of a carried request has left.
func TestGoneCallerReachesPeers(t *testing.T) {
	p := newRelayPath(t)
	left := make(chan time.Time, 10)
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		left <- time.Now()
	}))
	defer slow.Close()
	p.route.Shards = []string{"slow-0", "slow-1"}
	for _, service := range p.route.Shards {
		for _, f := range []*Forwarder{p.near, p.far} {
			f.putReplica(balancer.Replica{
				ID:      service,
				Service: service,
				Address: slow.Listener.Addr().String(),
				Zone:    "b",
			})
		}
	}
	p.route.Timeout = 5 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	began := time.Now()
	p.near.Serve(ctx, &exchanger.Call{
		ID:     "1",
		Method: http.MethodGet,
		Path:   "/",
	}, scatterer.Request{
		ID:        "1",
		Route:     p.route,
		ArrivedAt: began,
	}, 1)
	select {
	case at := <-left:
		if took := at.Sub(began); took > 600*time.Millisecond {
			t.Errorf("let go after %s, the caller left after 100 ms", took)
		}
	case <-time.After(5 * time.Second):
		t.Error("not let go")
	}
}

// TestBeyondReach holds that an instance which may have no connections to replicas of another availability zone has its hedges carried too, and by another peer than the one that has not answered.
func TestBeyondReach(t *testing.T) {
	p := newRelayPath(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	p.near.relays.update([]*wire.EntryInstance{
		{
			Instance: "mute",
			Zone:     "b",
			Address:  silent.Addr().String(),
		},
		{
			Instance: "far",
			Zone:     "b",
			Address:  p.far.relays.server.Address(),
		},
	})
	// The peer that is preferred may be either.
	for range 3 {
		p.checkWhole(t)
	}
	if got := p.near.exchanger.OpenConnections(); got != 0 {
		t.Errorf("%d connections from here", got)
	}
}

// TestWarmed holds that an instance has connections to the replicas of its availability zone, and to a peer of another, before any request.
func TestWarmed(t *testing.T) {
	p := newRelayPath(t)
	limit := time.Now().Add(5 * time.Second)
	for p.far.exchanger.OpenConnections() < 2*relayShards || p.far.relays.calls.Load() == 0 {
		if time.Now().After(limit) {
			t.Fatalf("%d connections to replicas, %d calls of the peer", p.far.exchanger.OpenConnections(), p.far.relays.calls.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if p.near.exchanger.OpenConnections() > 0 || p.asked.Load() > 0 {
		t.Errorf("%d connections to another zone, %d requests", p.near.exchanger.OpenConnections(), p.asked.Load())
	}
}
