package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	relayShards = 4
	// testRateLimit is the limit, in requests per second, of replicas that state one.
	testRateLimit = 0.5
)

// testCodec decodes each response as a success signed by its replica.
type testCodec struct{}

func (testCodec) Encode(call *exchanger.Call) (*http.Request, error) {
	return &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Opaque: call.Path,
		},
		Host: call.Host,
		Header: http.Header{
			"Kept": call.Header["Kept"],
		},
	}, nil
}

func (testCodec) AppendFields(lines []byte, replica string, _ time.Duration) []byte {
	return append(lines, "Replica: "+replica+"\r\n"...)
}

func (testCodec) Decode(_ *exchanger.Call, response *http.Response, body []byte) (scatterer.Outcome, bool) {
	return scatterer.Outcome{
		Kind: scatterer.OutcomeReplied,
		Reply: &scatterer.Reply{
			Status: response.StatusCode,
			Stamp:  response.Header.Get("Stamp"),
			Body:   body,
		},
		Notice: &balancer.Notice{
			RateLimit: limiter.RateLimit{
				IsStated:  response.Header.Get("Limit") != "",
				PerSecond: testRateLimit,
			},
			IsLeaving: response.Header.Get("Leaving") != "",
		},
	}, true
}

func notFoundHandler(*Forwarder) http.Handler { return http.NotFoundHandler() }

// newTestForwarder starts an entry instance whose control instance is unreachable.
func newTestForwarder(t testing.TB, name, zone string) *Forwarder {
	t.Helper()
	return newFollowingForwarder(t, name, zone, "127.0.0.1:1")
}

// newFollowingForwarder starts an entry instance that follows the control instance at the address.
func newFollowingForwarder(t testing.TB, name, zone, control string) *Forwarder {
	t.Helper()
	f, err := New(&checker.ForwarderSettings{
		Instance:        name,
		Zone:            zone,
		ListenCallers:   "127.0.0.1:0",
		ListenReadiness: "127.0.0.1:0",
		ListenMetrics:   "127.0.0.1:0",
		ListenPeers:     "127.0.0.1:0",
		ControlSeeds:    []string{control},
		ControlPeers:    control,
		RepeatBurst:     1000,
		RepeatWindowMs:  10_000,
		DrainMs:         10,
		GraceMs:         1000,
	}, logr.Discard(), Protocol{
		Codec: testCodec{},
		DecodeDocument: func([]byte) (*matcher.RoutingTable, error) {
			return &matcher.RoutingTable{}, nil
		},
		CallerHandler:    notFoundHandler,
		ReadinessHandler: notFoundHandler,
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

// relayFixture holds an entry instance in zone a, one in zone b, and the shards' replicas, all in zone b.
type relayFixture struct {
	near, far       *Forwarder
	replicaRequests atomic.Int64
	mutex           sync.Mutex
	requestsByID    map[string]int
	// isLimited and isLeaving are set if the replicas state a rate limit, or that they are leaving.
	isLimited atomic.Bool
	isLeaving atomic.Bool
	route     *matcher.Route
	// body is the body of the requests.
	body []byte
}

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	rf := &relayFixture{
		requestsByID: map[string]int{},

		near: newTestForwarder(t, "near", "a"),
		far:  newTestForwarder(t, "far", "b"),
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
		rf.route.Shards = append(rf.route.Shards, service)
		for number := range 2 {
			rf.addReplica(t, service, fmt.Sprintf("%s-%d", service, number))
		}
	}
	rf.setRoutes(t)
	rf.setPeer(rf.far.peers.server.Address())
	return rf
}

// setRoutes makes both instances use a configuration with the route.
func (rf *relayFixture) setRoutes(t *testing.T) {
	t.Helper()
	route := *rf.route
	route.Host = "a.example"
	route.Prefix = "/all/"
	var services []matcher.Service
	for _, shard := range route.Shards {
		services = append(services, matcher.Service{
			Name: shard,
		})
	}
	table, err := matcher.NewRoutingTable(1, []matcher.Route{route}, services, matcher.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []*Forwarder{rf.near, rf.far} {
		f.routingTable.Store(table)
		f.preconnector.noteChange()
	}
}

func (rf *relayFixture) addReplica(t *testing.T, service, id string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/" {
			// The health check of an instance that got no response for a while.
			return
		}
		rf.replicaRequests.Add(1)
		rf.countRequest(id)
		if r.Header.Get("Replica") != id || r.Header.Get("Kept") != "yes" || r.RequestURI != "/all/1?q" {
			t.Errorf("replica %s received %s %v", id, r.RequestURI, r.Header)
		}
		w.Header().Set("Stamp", id)
		if rf.isLimited.Load() {
			w.Header().Set("Limit", "yes")
		}
		if rf.isLeaving.Load() {
			w.Header().Set("Leaving", "yes")
		}
		_, _ = w.Write(recordsOf(id))
	}))
	t.Cleanup(server.Close)
	for _, f := range []*Forwarder{rf.near, rf.far} {
		f.putReplica(balancer.Replica{
			ID:      id,
			Service: service,
			Address: server.Listener.Addr().String(),
			Zone:    "b",
			Slots:   2,
		})
	}
}

// noticeOf returns what the replica has said of itself to this instance.
func (f *Forwarder) noticeOf(id string) balancer.Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.balancer.Find(id).Notice(time.Now())
}

// hasNotice reports whether the replica has told this instance that it is leaving or wants a pause.
func (f *Forwarder) hasNotice(id string) bool {
	notice := f.noticeOf(id)
	return notice.IsLeaving || notice.RetryAfter > 0
}

func (rf *relayFixture) countRequest(id string) {
	rf.mutex.Lock()
	defer rf.mutex.Unlock()
	rf.requestsByID[id]++
}

// requestCount returns how many requests the replica has received.
func (rf *relayFixture) requestCount(id string) int {
	rf.mutex.Lock()
	defer rf.mutex.Unlock()
	return rf.requestsByID[id]
}

// setPeer sets the address of the peer at the near instance.
func (rf *relayFixture) setPeer(address string) {
	rf.near.peers.update([]*wire.EntryInstance{{
		Instance: "far",
		Zone:     "b",
		Address:  address,
	}}, true)
}

func (rf *relayFixture) serve(t *testing.T) scatterer.Decision {
	t.Helper()
	return rf.serveWith(t, http.Header{
		"Kept": {"yes"},
	})
}

// serveWith sends a request with the header.
func (rf *relayFixture) serveWith(t *testing.T, header http.Header) scatterer.Decision {
	t.Helper()
	return rf.near.Serve(t.Context(), &exchanger.Call{
		ID:     "1",
		Method: http.MethodGet,
		Host:   "a.example",
		Path:   "/all/1?q",
		Header: header,
		Body:   rf.body,
	}, scatterer.Request{
		ID:        "1",
		Route:     rf.route,
		ArrivedAt: time.Now(),
		Deadline:  time.Now().Add(2 * time.Second),
	}, 1).Decision
}

func (rf *relayFixture) requireCompleteAnswer(t *testing.T) {
	t.Helper()
	d := rf.serve(t)
	if d.Kind != scatterer.Gathered || len(d.Replies) != relayShards {
		t.Fatalf("answer is incomplete: %+v", d)
	}
	for i, reply := range d.Replies {
		if want := fmt.Sprintf("shard-%d", i); len(reply.Stamp) < len(want) || reply.Stamp[:len(want)] != want {
			t.Errorf("part %d is signed by %s", i, reply.Stamp)
		}
	}
}

// disableRepeats prevents the near instance from hedging. On a busy machine parts can take longer than the first ones, from which the hedge delay is derived.
func (rf *relayFixture) disableRepeats() {
	settings := *rf.near.currentSettings()
	settings.RepeatBurst = 0
	rf.near.Reload(&settings)
}

// isPeerSkipped reports whether the next query would skip the peer.
func (rf *relayFixture) isPeerSkipped() bool {
	rf.near.mutex.Lock()
	defer rf.near.mutex.Unlock()
	return rf.near.peers.relayer.Choose(time.Now(), "b", nil) == nil
}

// requireMergedRecords checks that the replies hold the top records of all parts, and fewer than two records for each part.
func (rf *relayFixture) requireMergedRecords(t *testing.T, d scatterer.Decision) {
	t.Helper()
	var bodies, parts [][]byte
	size := 0
	for _, reply := range d.Replies {
		bodies = append(bodies, reply.Body)
		parts = append(parts, recordsOf(reply.Stamp))
		size += len(reply.Body)
	}
	if got, want := merger.TopRecords(bodies, rf.route.TopK), merger.TopRecords(parts, rf.route.TopK); !bytes.Equal(got, want) {
		t.Errorf("records %q, want %q", got, want)
	}
	if size >= rf.route.TopK*merger.RecordSize*relayShards {
		t.Errorf("%d bytes of records from %d parts", size, len(parts))
	}
}

// recordsOf returns the records of the replica.
func recordsOf(id string) []byte {
	return fmt.Appendf(nil, "%-16s%-16s%-16s", "c"+id, "a"+id, "b"+id)
}

// TestRelay checks that a peer sends the attempts to its zone and returns only the top K records of the parts of each message.
func TestRelay(t *testing.T) {
	rf := newRelayFixture(t)
	rf.disableRepeats()
	rf.requireCompleteAnswer(t)
	if local, remote := rf.near.exchanger.OpenConnections(), rf.far.exchanger.OpenConnections(); local != 0 || remote < relayShards || remote > 2*relayShards {
		t.Errorf("%d connections from the near instance, want 0; %d from the peer, which preconnects to each replica", local, remote)
	}
	rf.requireMergedRecords(t, rf.serve(t))
	if got := rf.replicaRequests.Load(); got != 2*relayShards {
		t.Errorf("replicas received %d requests, want one per shard and query", got)
	}
}

// TestRelayedRateLimit checks that a rate limit stated to a relayed attempt applies at the origin and at the peer, and that requests are refused without being sent once both replicas of a shard are at their limit.
func TestRelayedRateLimit(t *testing.T) {
	rf := newRelayFixture(t)
	rf.disableRepeats()
	rf.isLimited.Store(true)
	rf.requireCompleteAnswer(t)
	rf.requireCompleteAnswer(t)
	sent := rf.replicaRequests.Load()
	d := rf.serve(t)
	if d.Kind != scatterer.Refused || d.Reason != scatterer.ReasonLimited || d.RetryAfter < 100*time.Millisecond {
		t.Errorf("decision %+v, want a refusal because of the limits", d)
	}
	if got := rf.replicaRequests.Load(); got != sent {
		t.Errorf("%d requests beyond the limits", got-sent)
	}
	for _, f := range []*Forwarder{rf.near, rf.far} {
		for i := range relayShards {
			id := fmt.Sprintf("shard-%d-0", i)
			if limit := f.noticeOf(id).RateLimit; !limit.IsStated || limit.PerSecond != testRateLimit {
				t.Errorf("%s keeps limit %+v for %s", f.settings.Instance, limit, id)
			}
		}
	}
}

// TestRelayedNotice checks that a replica which has told a peer that it is leaving, or that it wants a pause, gets no more attempts from that peer, and that the instance which asked the peer learns of it.
func TestRelayedNotice(t *testing.T) {
	const id = "shard-0-0"
	cases := []struct {
		name   string
		notice balancer.Notice
	}{
		{"leaving", balancer.Notice{
			IsLeaving: true,
		}},
		{"paused", balancer.Notice{
			RetryAfter: time.Hour,
		}},
	}
	for _, c := range cases {
		rf := newRelayFixture(t)
		rf.disableRepeats()
		r, _ := rf.far.findReplica(id)
		rf.far.mutex.Lock()
		rf.far.balancer.RecordNotice(time.Now().Add(-time.Minute), r, c.notice)
		rf.far.mutex.Unlock()
		deadline := time.Now().Add(5 * time.Second)
		for !rf.near.hasNotice(id) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the origin does not learn of it", c.name)
			}
			rf.serve(t)
		}
		if got := rf.requestCount(id); got != 0 {
			t.Errorf("%s: %d requests reached the replica", c.name, got)
		}
	}
}

// TestUnhealthyPeer checks that a query gets a complete answer if its peer is unreachable, hangs, is stopping or knows no replica, and that the peer is skipped afterwards, except for one that responds but knows no replica.
func TestUnhealthyPeer(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name  string
		setUp func(rf *relayFixture)
		// skipped is set if the next query skips the peer.
		skipped bool
	}{
		{"unreachable", func(rf *relayFixture) { rf.setPeer(closed.Addr().String()) }, true},
		{"hanging", func(rf *relayFixture) { rf.setPeer(hanging.Addr().String()) }, true},
		{"stopping", func(rf *relayFixture) { rf.far.stopping.Store(true) }, true},
		{"without replicas", func(rf *relayFixture) {
			for i := range relayShards {
				rf.far.removeReplica(fmt.Sprintf("shard-%d-0", i))
				rf.far.removeReplica(fmt.Sprintf("shard-%d-1", i))
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rf := newRelayFixture(t)
			c.setUp(rf)
			rf.requireCompleteAnswer(t)
			deadline := time.Now().Add(time.Second)
			for rf.isPeerSkipped() != c.skipped {
				if time.Now().After(deadline) {
					t.Fatalf("peer is skipped: %v", !c.skipped)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestCallerCancellationReachesPeers checks that a peer cancels the requests to replicas soon after the caller of a relayed request has disconnected.
func TestCallerCancellationReachesPeers(t *testing.T) {
	rf := newRelayFixture(t)
	cancelledAt := make(chan time.Time, 10)
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelledAt <- time.Now()
	}))
	defer slow.Close()
	rf.route.Shards = []string{"slow-0", "slow-1"}
	for _, service := range rf.route.Shards {
		for _, f := range []*Forwarder{rf.near, rf.far} {
			f.putReplica(balancer.Replica{
				ID:      service,
				Service: service,
				Address: slow.Listener.Addr().String(),
				Zone:    "b",
			})
		}
	}
	rf.route.Timeout = 5 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	startedAt := time.Now()
	rf.near.Serve(ctx, &exchanger.Call{
		ID:     "1",
		Method: http.MethodGet,
		Path:   "/",
	}, scatterer.Request{
		ID:        "1",
		Route:     rf.route,
		ArrivedAt: startedAt,
	}, 1)
	select {
	case at := <-cancelledAt:
		if elapsed := at.Sub(startedAt); elapsed > 600*time.Millisecond {
			t.Errorf("request to the replica cancelled after %s; the caller disconnected after 100 ms", elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Error("request to the replica was not cancelled")
	}
}

// TestHedgesRelayedWithoutConnections checks that an instance that may open no connections to replicas of another availability zone relays its hedges too, through another peer than the one that hangs.
func TestHedgesRelayedWithoutConnections(t *testing.T) {
	rf := newRelayFixture(t)
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	rf.near.peers.update([]*wire.EntryInstance{
		{
			Instance: "mute",
			Zone:     "b",
			Address:  hanging.Addr().String(),
		},
		{
			Instance: "far",
			Zone:     "b",
			Address:  rf.far.peers.server.Address(),
		},
	}, true)
	// Either peer may be the preferred one.
	for range 3 {
		rf.requireCompleteAnswer(t)
	}
	if got := rf.near.exchanger.OpenConnections(); got != 0 {
		t.Errorf("%d connections from the near instance, want 0", got)
	}
}

// TestPreconnect checks that an instance connects to the replicas of its availability zone and to a peer in another one before the first request.
func TestPreconnect(t *testing.T) {
	rf := newRelayFixture(t)
	deadline := time.Now().Add(5 * time.Second)
	for rf.far.exchanger.OpenConnections() < 2*relayShards || rf.far.peers.incomingCalls.Load() == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections to replicas, %d calls to the peer", rf.far.exchanger.OpenConnections(), rf.far.peers.incomingCalls.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if rf.near.exchanger.OpenConnections() > 0 || rf.replicaRequests.Load() > 0 {
		t.Errorf("%d connections to another zone and %d requests, want none", rf.near.exchanger.OpenConnections(), rf.replicaRequests.Load())
	}
}

// TestRequestWithBodyIsNotRelayed guards against replicas running a request without its body, which relays do not carry.
func TestRequestWithBodyIsNotRelayed(t *testing.T) {
	rf := newRelayFixture(t)
	rf.body = []byte("content")
	rf.requireCompleteAnswer(t)
	if got := rf.near.exchanger.OpenConnections(); got < relayShards {
		t.Errorf("%d connections from the instance itself, want one to each of %d shards", got, relayShards)
	}
}
