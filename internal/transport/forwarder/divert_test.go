package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// cutMode is how a link behaves while it is cut.
type cutMode int

const (
	cutNone cutMode = iota
	// cutHang lets connections stay open and silent.
	cutHang
	// cutReset resets connections, open and new ones.
	cutReset
	// cutRefuse refuses new connections, while open ones go on.
	cutRefuse
)

// link is a TCP proxy between an entry instance and a replica.
type link struct {
	t        *testing.T
	target   string
	address  string
	mutex    sync.Mutex
	mode     cutMode
	listener net.Listener
	conns    []net.Conn
}

// hostCount counts the loopback addresses of all links and replicas.
var hostCount atomic.Int64

// newLoopbackHost returns a loopback address that nothing else uses.
func newLoopbackHost() string {
	number := hostCount.Add(1)
	return fmt.Sprintf("127.77.%d.%d", number/250, number%250+1)
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l := &link{
		t:      t,
		target: target,
	}
	// An address of its own keeps the port free for the link while it does not listen.
	l.listen(newLoopbackHost() + ":0")
	l.address = l.listener.Addr().String()
	t.Cleanup(func() { l.setMode(cutReset) })
	return l
}

func (l *link) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		l.t.Errorf("listen again: %v", err)
		return
	}
	l.listener = listener
	go l.accept(listener)
}

func (l *link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mutex.Lock()
		l.conns = append(l.conns, near, far)
		l.mutex.Unlock()
		go l.copy(near, far)
		go l.copy(far, near)
	}
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mutex.Lock()
		mode := l.mode
		l.mutex.Unlock()
		if err != nil {
			_ = to.Close()
			return
		}
		if mode != cutHang {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (l *link) setMode(mode cutMode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	previous := l.mode
	l.mode = mode
	if mode == cutReset || mode == cutRefuse {
		_ = l.listener.Close()
	}
	if mode == cutReset || previous == cutHang {
		for _, conn := range l.conns {
			_ = conn.Close()
		}
		l.conns = nil
	}
	if mode == cutNone && previous != cutHang {
		l.listen(l.address)
	}
}

// strandedFixture is an entry instance whose links to the replicas can be cut, with two peers, of which one has its own links.
type strandedFixture struct {
	instances []*Forwarder
	links     [2][]*link
	// modes holds how the links of each instance behave.
	modes [2]cutMode
	runs  sync.Map
	// receiver is the index of the instance that receives requests.
	receiver int
	nextID   atomic.Int64
	// began receives a value when a replica begins a request that it never answers, unless it is nil.
	began atomic.Pointer[chan struct{}]
}

// The indexes of the routes in strandedRoutes.
const (
	routeAll = iota
	routeOnce
)

const (
	// strandedShards is the number of shards, each with two replicas.
	strandedShards = 5
	// healthPath is the path of health checks.
	healthPath = "/health"
	// strandedTarget is the target latency of the routes.
	strandedTarget = 300 * time.Millisecond
)

func newStrandedFixture(t *testing.T) *strandedFixture {
	t.Helper()
	sf := &strandedFixture{}
	var entries []*wire.EntryInstance
	for i, zone := range []string{"a", "a", "b"} {
		f := newTestForwarder(t, fmt.Sprintf("entry-%d", i), zone)
		sf.instances = append(sf.instances, f)
		entries = append(entries, &wire.EntryInstance{
			Instance: f.settings.Instance,
			Zone:     zone,
			Address:  f.peers.server.Address(),
		})
	}
	for _, f := range sf.instances {
		table, err := matcher.NewRoutingTable(1, strandedRoutes(), strandedServices(), matcher.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		f.routingTable.Store(table)
		f.peers.update(entries, true)
	}
	sf.addReplicas(t, "a")
	return sf
}

// addReplicas adds two replicas to each shard, whose IDs contain the name of the set.
func (sf *strandedFixture) addReplicas(t *testing.T, set string) {
	t.Helper()
	for shard := range strandedShards {
		for number := range 2 {
			sf.addReplica(t, shardName(shard), replicaID(shard, set, number))
		}
	}
}

// removeReplicas removes the replicas of a set, except those of the last shard.
func (sf *strandedFixture) removeReplicas(set string) {
	for _, f := range sf.instances {
		for shard := range strandedShards - 1 {
			for number := range 2 {
				f.removeReplica(replicaID(shard, set, number))
			}
		}
	}
}

func replicaID(shard int, set string, number int) string {
	return fmt.Sprintf("%s-%s-%d", shardName(shard), set, number)
}

// strandedRoutes returns a route over all shards, and one for requests that may run once.
func strandedRoutes() []matcher.Route {
	sharded := matcher.Route{
		Name:          "all",
		Host:          "a.example",
		Prefix:        "/all/",
		Idempotent:    true,
		Timeout:       2 * time.Second,
		TargetLatency: strandedTarget,
		MaxRuns:       2,
		TopK:          2,
		MinShardShare: 0.75,
	}
	for shard := range strandedShards {
		sharded.Shards = append(sharded.Shards, shardName(shard))
	}
	return []matcher.Route{sharded, {
		Name:          "once",
		Host:          "a.example",
		Prefix:        "/once/",
		Timeout:       2 * time.Second,
		TargetLatency: strandedTarget,
		MaxRuns:       1,
		Service:       shardName(0),
	}}
}

func strandedServices() []matcher.Service {
	var services []matcher.Service
	for shard := range strandedShards {
		services = append(services, matcher.Service{
			Name:           shardName(shard),
			HealthPath:     healthPath,
			MaxConnections: 100,
		})
	}
	return services
}

func shardName(shard int) string { return fmt.Sprintf("shard-%d", shard) }

func (sf *strandedFixture) addReplica(t *testing.T, service, id string) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == healthPath {
			return
		}
		body, _ := io.ReadAll(r.Body)
		runs, _ := sf.runs.LoadOrStore(r.RequestURI, new(atomic.Int64))
		runs.(*atomic.Int64).Add(1)
		if began := sf.began.Load(); began != nil {
			*began <- struct{}{}
			<-r.Context().Done()
			return
		}
		w.Header().Set("Stamp", id)
		fmt.Fprintf(w, "%-16s%-16s%s", "c"+id, "a"+id, body)
	}))
	// An address of its own keeps clients of other tests away, which dial ports of 127.0.0.1 that have been freed.
	_ = server.Listener.Close()
	socket, err := net.Listen("tcp", newLoopbackHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = socket
	server.Start()
	t.Cleanup(server.Close)
	for i, f := range sf.instances {
		address := server.Listener.Addr().String()
		if i < len(sf.links) {
			l := newLink(t, address)
			if sf.modes[i] != cutNone {
				l.setMode(sf.modes[i])
			}
			sf.links[i] = append(sf.links[i], l)
			address = l.address
		}
		f.putReplica(balancer.Replica{
			ID:      id,
			Service: service,
			Address: address,
			Zone:    "a",
			Slots:   2,
		})
	}
}

// cut sets the mode of all links of the instance.
func (sf *strandedFixture) cut(instance int, mode cutMode) {
	sf.modes[instance] = mode
	for _, l := range sf.links[instance] {
		l.setMode(mode)
	}
}

// send sends a request on the route to the instance that receives requests.
func (sf *strandedFixture) send(ctx context.Context, route int) Answer {
	f := sf.instances[sf.receiver]
	table := f.RoutingTable()
	id := fmt.Sprint(sf.nextID.Add(1))
	call := &exchanger.Call{
		ID:         id,
		Method:     http.MethodPost,
		Host:       "a.example",
		Path:       table.Routes[route].Prefix + id,
		Header:     http.Header{},
		AtMostOnce: !table.Routes[route].Idempotent,
	}
	return f.Serve(ctx, call, scatterer.Request{
		ID:        id,
		Route:     &table.Routes[route],
		ArrivedAt: time.Now(),
		Deadline:  time.Now().Add(2 * time.Second),
	}, table.Version)
}

// answerCounts counts the answers of a run.
type answerCounts struct {
	sent, answered, whole, late atomic.Int64
}

// share returns which part of the requests the count is.
func (a *answerCounts) share(count *atomic.Int64) float64 {
	return float64(count.Load()) / float64(a.sent.Load())
}

// sendAll sends requests on the route for the duration and counts the answers.
func (sf *strandedFixture) sendAll(ctx context.Context, route int, duration time.Duration) *answerCounts {
	const interval = 10 * time.Millisecond
	var wait sync.WaitGroup
	answers := &answerCounts{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		answers.sent.Add(1)
		wait.Go(func() {
			startedAt := time.Now()
			d := sf.send(ctx, route).Decision
			if d.Kind != scatterer.Gathered && d.Kind != scatterer.Relayed {
				return
			}
			answers.answered.Add(1)
			if d.MissingShards == 0 {
				answers.whole.Add(1)
			}
			if time.Since(startedAt) > strandedTarget {
				answers.late.Add(1)
			}
		})
	}
	wait.Wait()
	return answers
}

// strandedCase is a cut of the links of an instance, and of those of a peer if peerIsCut is set.
type strandedCase struct {
	mode      cutMode
	route     int
	peerIsCut bool
	// replaces is set if other replicas take the place of most while the links are cut.
	replaces bool
}

// run checks that callers are answered while the links are cut and afterwards.
func (c strandedCase) run(t *testing.T) {
	const (
		// settleTime is within the 4 s after a cut in which requests may fail.
		settleTime  = 2 * time.Second
		measureTime = time.Second
		minShare    = 0.99
	)
	t.Parallel()
	sf := newStrandedFixture(t)
	if before := sf.sendAll(t.Context(), c.route, 300*time.Millisecond); before.share(&before.whole) < 1 {
		t.Fatalf("%.2f answered whole before the cut", before.share(&before.whole))
	}
	sf.cut(0, c.mode)
	if c.peerIsCut {
		sf.cut(1, c.mode)
	}
	if c.replaces {
		sf.addReplicas(t, "b")
		sf.removeReplicas("a")
	}
	sf.sendAll(t.Context(), c.route, settleTime)
	during := sf.sendAll(t.Context(), c.route, measureTime)
	if during.share(&during.answered) < minShare || during.late.Load() > 0 {
		t.Errorf("%.2f answered while cut, %d of them late", during.share(&during.answered), during.late.Load())
	}
	sf.cut(0, cutNone)
	sf.sendAll(t.Context(), c.route, settleTime)
	after := sf.sendAll(t.Context(), c.route, measureTime)
	if after.share(&after.whole) < minShare || sf.instances[0].isolation.isIsolated() {
		t.Errorf("%.2f answered whole after the cut", after.share(&after.whole))
	}
	if c.route == routeOnce {
		sf.requireRanOnce(t)
	}
}

func (sf *strandedFixture) requireRanOnce(t *testing.T) {
	t.Helper()
	sf.runs.Range(func(uri, runs any) bool {
		if count, _ := runs.(*atomic.Int64); count.Load() > 1 {
			t.Errorf("%s ran %d times", uri, count.Load())
		}
		return true
	})
}

// TestStrandedInstanceServesCallers guards against an entry instance that reaches no replica failing its callers while peers reach them.
func TestStrandedInstanceServesCallers(t *testing.T) {
	modes := map[string]cutMode{
		"hang":   cutHang,
		"reset":  cutReset,
		"refuse": cutRefuse,
	}
	routes := map[string]int{
		"shards":       routeAll,
		"at most once": routeOnce,
	}
	for modeName, mode := range modes {
		for routeName, route := range routes {
			for _, peerIsCut := range []bool{false, true} {
				c := strandedCase{
					mode:      mode,
					route:     route,
					peerIsCut: peerIsCut,
				}
				t.Run(fmt.Sprintf("%s/%s/peer cut %t", modeName, routeName, peerIsCut), c.run)
			}
		}
	}
}

// TestStrandedInstanceMeetsNewReplicas guards against an instance that can't open connections, but keeps those that it has, failing its callers once other replicas take the place of most.
func TestStrandedInstanceMeetsNewReplicas(t *testing.T) {
	for name, route := range map[string]int{
		"shards":       routeAll,
		"at most once": routeOnce,
	} {
		c := strandedCase{
			mode:     cutRefuse,
			route:    route,
			replaces: true,
		}
		t.Run(name, c.run)
	}
}

// TestIsolatedZoneHarmsNoOthers guards against an instance failing its callers because it relays attempts through a zone whose instances all reach no replica.
func TestIsolatedZoneHarmsNoOthers(t *testing.T) {
	sf := newStrandedFixture(t)
	sf.cut(0, cutHang)
	sf.cut(1, cutHang)
	// The instances of the zone notice that they are isolated by requests of their own.
	for sf.receiver = range 2 {
		sf.sendAll(t.Context(), routeAll, time.Second)
	}
	sf.receiver = 2
	sf.sendAll(t.Context(), routeAll, time.Second)
	answers := sf.sendAll(t.Context(), routeAll, time.Second)
	if answers.share(&answers.whole) < 0.99 || answers.late.Load() > 0 {
		t.Errorf("%.2f answered whole, %d late", answers.share(&answers.whole), answers.late.Load())
	}
}

// TestPeerEndsDuringDivertedRequest guards against a caller being told that its request has not run, when the peer that took it over ended after a replica had begun it.
func TestPeerEndsDuringDivertedRequest(t *testing.T) {
	testEndDuringDivertedRequest(t, func(sf *strandedFixture) {
		for _, peer := range sf.instances[1:] {
			peer.peers.server.Close()
		}
	})
}

// TestInstanceEndsDuringDivertedRequest guards against a caller getting no answer, when the instance that has handed its request over to a peer has to end.
func TestInstanceEndsDuringDivertedRequest(t *testing.T) {
	testEndDuringDivertedRequest(t, func(sf *strandedFixture) {
		sf.instances[sf.receiver].ending.start(time.Now().Add(finalAnswerTime))
	})
}

// TestCallerGoneDuringDivertedRequest guards against a request that waits for a connection at the peer that has taken it over, and is sent after its caller has left.
func TestCallerGoneDuringDivertedRequest(t *testing.T) {
	const (
		fillers = 12
		leavers = 8
		// fillTime is how long the requests that occupy the connections have before the others come, which leave after leaveTime.
		fillTime  = time.Second
		leaveTime = 300 * time.Millisecond
	)
	sf := newStrandedFixture(t)
	sf.isolateReceiver(t)
	services := strandedServices()
	services[0].MaxConnections = 1
	table, err := matcher.NewRoutingTable(1, strandedRoutes(), services, matcher.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, peer := range sf.instances[1:] {
		peer.routingTable.Store(table)
	}
	sf.runs.Clear()
	began := make(chan struct{}, 100)
	sf.began.Store(&began)
	var done sync.WaitGroup
	for range fillers {
		done.Go(func() { sf.send(t.Context(), routeOnce) })
	}
	time.Sleep(fillTime)
	ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
	defer cancel()
	for range leavers {
		done.Go(func() { sf.send(ctx, routeOnce) })
	}
	<-ctx.Done()
	time.Sleep(leaveTime)
	before := len(began)
	if before == 0 {
		t.Error("no request has begun")
	}
	done.Wait()
	time.Sleep(fillTime)
	if late := len(began) - before; late > 0 {
		t.Errorf("%d requests were sent after their callers had left", late)
	}
}

// TestCallerGoneBeforeStart guards against a request that is sent although its caller has left before.
func TestCallerGoneBeforeStart(t *testing.T) {
	for name, route := range map[string]int{
		"shards":       routeAll,
		"at most once": routeOnce,
	} {
		t.Run(name, func(t *testing.T) {
			sf := newStrandedFixture(t)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			began := make(chan struct{}, 100)
			sf.began.Store(&began)
			if d := sf.send(ctx, route).Decision; d.Reason != scatterer.ReasonCallerGone {
				t.Errorf("reason %q, want that the caller has left", d.Reason)
			}
			time.Sleep(100 * time.Millisecond)
			if len(began) > 0 {
				t.Errorf("%d attempts were sent", len(began))
			}
		})
	}
}

// testEndDuringDivertedRequest ends an instance after a replica has begun a diverted request, and checks the answer.
func testEndDuringDivertedRequest(t *testing.T, end func(sf *strandedFixture)) {
	t.Helper()
	for name, route := range map[string]int{
		"shards":       routeAll,
		"at most once": routeOnce,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sf := newStrandedFixture(t)
			sf.isolateReceiver(t)
			sf.runs.Clear()
			began := make(chan struct{}, 100)
			sf.began.Store(&began)
			answer := make(chan Answer, 1)
			go func() { answer <- sf.send(t.Context(), route) }()
			<-began
			end(sf)
			d := (<-answer).Decision
			if d.Kind != scatterer.Failed || d.Reason != scatterer.ReasonPeerFailed || d.RetryAfter <= 0 {
				t.Errorf("kind %v, reason %q, retry after %s", d.Kind, d.Reason, d.RetryAfter)
			}
			if route == routeOnce {
				sf.requireRanOnce(t)
			}
		})
	}
}

// isolateReceiver cuts the instance that receives requests off from all replicas and waits until it has noticed.
func (sf *strandedFixture) isolateReceiver(t *testing.T) {
	t.Helper()
	sf.cut(sf.receiver, cutReset)
	deadline := time.Now().Add(5 * time.Second)
	for !sf.instances[sf.receiver].isolation.isIsolated() {
		if time.Now().After(deadline) {
			t.Fatal("the instance did not notice that it is isolated")
		}
		sf.sendAll(t.Context(), routeAll, 100*time.Millisecond)
	}
}
