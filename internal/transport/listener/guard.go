package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"pimentogate.example/pimentogate/internal/coordination/reclaimer"
)

const (
	// receiveBuffer is the size of the kernel's buffer for what a client has sent and is not read yet, in bytes. The kernel doubles it for its own use.
	receiveBuffer = 16 << 10
	// logInterval is the time between two log lines on the same event at a gate.
	logInterval = time.Second
)

// Guard accounts for what the clients of a process make it hold, and cuts off or refuses those that exceed the limits.
type Guard struct {
	// writeTimeout is how long a client may take to receive a part of a response.
	writeTimeout time.Duration
	log          logr.Logger
	scope        tally.Scope
	// mutex guards the fields below, and the clients of all connections.
	mutex     sync.Mutex
	reclaimer *reclaimer.Reclaimer[*conn]
	events    map[eventKey]*eventLog
}

// NewGuard returns a guard whose clients' requests hold up to that many bytes beyond their allowances. It reports its decisions to the log and the scope.
func NewGuard(requestBytes int64, writeTimeout time.Duration, log logr.Logger, scope tally.Scope) *Guard {
	return &Guard{
		writeTimeout: writeTimeout,
		log:          log.WithName("guard"),
		scope:        scope,
		reclaimer:    reclaimer.New[*conn](requestBytes),
		events:       map[eventKey]*eventLog{},
	}
}

// Held returns the bytes that requests hold beyond their allowances.
func (g *Guard) Held() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.reclaimer.Held()
}

// event is a decision against a client.
type event string

// The decisions against clients, as they are logged and counted.
const (
	eventConnectionRefused event = "connection-refused"
	eventCutOff            event = "cut-off"
	eventRequestRefused    event = "request-refused"
	eventHeadTooLarge      event = "head-too-large"
	eventResponseNotRead   event = "response-not-read"
)

type eventKey struct {
	gate string
	kind event
}

// eventLog counts an event, and limits its log lines.
type eventLog struct {
	counter  tally.Counter
	loggedAt time.Time
	unlogged int
}

// record counts the event and logs it, unless it was logged just before; the mutex must be held.
func (g *Guard) record(now time.Time, gate string, kind event) {
	key := eventKey{
		gate: gate,
		kind: kind,
	}
	e, ok := g.events[key]
	if !ok {
		e = &eventLog{
			counter: g.scope.Tagged(map[string]string{
				"listener": gate,
				"event":    string(kind),
			}).Counter("clients_limited"),
		}
		g.events[key] = e
	}
	e.counter.Inc(1)
	e.unlogged++
	if now.Sub(e.loggedAt) < logInterval {
		return
	}
	g.log.Info("client limited", "listener", gate, "event", kind, "count", e.unlogged, "held-bytes", g.reclaimer.Held())
	e.loggedAt = now
	e.unlogged = 0
}

// GateOptions configures a gate.
type GateOptions struct {
	// Name is the listener's name in log lines and metrics.
	Name string
	// MaxConnections limits the connections at the gate.
	MaxConnections int
	// MaxHeadBytes returns the maximum size of a request line and header.
	MaxHeadBytes func() int
	// AllowsHTTP2 is set if clients may use HTTP/2 without encryption.
	AllowsHTTP2 bool
}

// Gate is the part of a guard at one listener.
type Gate struct {
	guard   *Guard
	options GateOptions
	// group is guarded by the guard's mutex.
	group *reclaimer.Group[*conn]
}

// NewGate returns a gate for one listener.
func (g *Guard) NewGate(options GateOptions) *Gate {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return &Gate{
		guard:   g,
		options: options,
		group:   g.reclaimer.NewGroup(options.MaxConnections),
	}
}

// Listen opens a listening socket on the address whose connections pass the gate.
func (t *Gate) Listen(address string) (net.Listener, error) {
	socket, err := listen(&net.ListenConfig{
		Control: setReceiveBuffer,
	}, address)
	if err != nil {
		return nil, err
	}
	return &gateListener{
		Listener: socket,
		gate:     t,
	}, nil
}

// setReceiveBuffer limits the bytes that wait unread in each connection. A system that does not support it keeps its default.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
}

// gateListener accepts the connections that its gate admits.
type gateListener struct {
	net.Listener

	gate *Gate
}

// Accept returns the next connection that is admitted, and closes the others.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit returns the connection as a client of the gate, or nil if there is no room for it.
func (t *Gate) admit(raw net.Conn) *conn {
	c := &conn{
		Conn: raw,
		gate: t,
	}
	now := time.Now()
	g := t.guard
	g.mutex.Lock()
	client, victim := t.group.Admit(now, c)
	c.client = client
	switch {
	case client == nil:
		g.record(now, t.options.Name, eventConnectionRefused)
	case victim != nil:
		g.record(now, t.options.Name, eventCutOff)
	}
	g.mutex.Unlock()
	if victim != nil {
		victim.Owner.cutOff(victim.Stage())
	}
	if client == nil {
		return nil
	}
	return c
}

// grow has the connection hold more bytes, which are added to the sum, and reports whether it may.
func (g *Guard) grow(c *conn, bytes int64, sum *int64) bool {
	now := time.Now()
	g.mutex.Lock()
	granted, victims := g.reclaimer.Grow(now, c.client, bytes)
	if granted {
		*sum += bytes
	}
	for range victims {
		g.record(now, c.gate.options.Name, eventCutOff)
	}
	if !granted {
		g.record(now, c.gate.options.Name, eventRequestRefused)
	}
	g.mutex.Unlock()
	for _, victim := range victims {
		victim.Owner.cutOff(victim.Stage())
	}
	return granted
}

// setStage records what the connection is in use for.
func (g *Guard) setStage(c *conn, stage reclaimer.Stage) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reclaimer.SetStage(time.Now(), c.client, stage)
}

// isContended reports whether newcomers have been refused at the connection's gate.
func (g *Guard) isContended(c *conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return c.gate.group.IsContended(time.Now())
}

// stageOf returns what the connection is in use for.
func (g *Guard) stageOf(c *conn) reclaimer.Stage {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return c.client.Stage()
}

// progress records that a part of what the connection is in use for has been done.
func (g *Guard) progress(c *conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reclaimer.Progress(time.Now(), c.client)
}

// count records an event at the connection.
func (g *Guard) count(c *conn, kind event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.record(time.Now(), c.gate.options.Name, kind)
}

// Protect has the server count what its clients hold. Its connections must come from the gate's Listen.
func (t *Gate) Protect(server *http.Server) {
	server.Handler = &gateHandler{
		next: server.Handler,
	}
	next := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			own.finishRequest()
		}
	}
}

// gateHandler has requests hold a lease while they are handled.
type gateHandler struct {
	next http.Handler
}

// ServeHTTP handles a request, or refuses it if there is no memory for it.
func (h *gateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	lease := c.startRequest(r)
	if lease == nil {
		WriteOverload(w, r)
		return
	}
	body := &leasedBody{
		ReadCloser: r.Body,
		lease:      lease,
	}
	defer c.endRequest(r, body)
	ctx := r.Context()
	if r.ProtoMajor > 1 {
		// The requests of one connection run at the same time.
		ctx = context.WithValue(ctx, leaseKey{}, lease)
	}
	if hasBody(r) || r.ProtoMajor > 1 {
		// The server goes by the type of the body in its own copy of the request.
		r = r.WithContext(ctx)
	}
	if hasBody(r) {
		r.Body = body
	}
	h.next.ServeHTTP(w, r)
}
