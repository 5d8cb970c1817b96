package responder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionLimiter counts the connections that carry requests and closes those above the configured limit.
type connectionLimiter struct {
	simulator *simulator
	recorder  *recorder
	mutex     sync.Mutex
	admitted  map[net.Conn]bool
}

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

func newConnectionLimiter(simulator *simulator, recorder *recorder) *connectionLimiter {
	return &connectionLimiter{
		simulator: simulator,
		recorder:  recorder,
		admitted:  map[net.Conn]bool{},
	}
}

// withConnection stores the connection in the context of its requests.
func (c *connectionLimiter) withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// handleState stops counting a connection that was closed or hijacked.
func (c *connectionLimiter) handleState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.admitted[conn] {
		return
	}
	delete(c.admitted, conn)
	c.recorder.add(func(r *Record) *int64 { return &r.OpenConnections }, -1)
}

// admit counts the request's connection and reports whether it is within the limit. A connection above the limit is closed. Connections that only use /record or /switches are not counted, because their handlers do not call admit.
func (c *connectionLimiter) admit(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return true
	}
	limit := int(c.simulator.switches().ConnectionLimit)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.admitted[conn] {
		return true
	}
	if limit > 0 && len(c.admitted) >= limit {
		c.recorder.add(func(r *Record) *int64 { return &r.ConnectionsRefused }, 1)
		_ = conn.Close()
		return false
	}
	c.admitted[conn] = true
	c.recorder.recordConnection(int64(len(c.admitted)))
	return true
}

// recordConnection counts an opened connection; open is the number of connections including it.
func (r *recorder) recordConnection(open int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.OpenConnections = open
	r.record.ConnectionsOpened++
	r.record.PeakConnections = max(r.record.PeakConnections, open)
}

// delayedListener simulates the time that opening a connection takes.
type delayedListener struct {
	net.Listener

	simulator *simulator
}

// Accept returns the next connection; its first read blocks until the opening time has passed.
func (l *delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{
		Conn:       conn,
		readableAt: time.Now().Add(fromMilliseconds(l.simulator.switches().ConnectionOpeningMs)),
	}, nil
}

// delayedConn is a connection that cannot be read before readableAt.
type delayedConn struct {
	net.Conn

	readableAt time.Time
	once       sync.Once
}

// Read waits for readableAt before the first read.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.readableAt)) })
	return c.Conn.Read(buffer)
}

// injectFaults wraps a handler: it enforces the connection limit, delays each request by the one-way delay, and aborts requests or truncates replies as the switches say.
func (r *Responder) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !r.connections.admit(request.Context()) {
			panic(http.ErrAbortHandler)
		}
		s := r.simulator.switches()
		r.simulateOneWayDelay()
		if r.simulator.occurs(s.AbortBeforeStart) {
			panic(http.ErrAbortHandler)
		}
		if r.simulator.occurs(s.CutReply) {
			w = &truncatingWriter{
				ResponseWriter: w,
			}
		}
		next.ServeHTTP(w, request)
	})
}

// truncatingWriter sends half of the first write, then aborts the stream.
type truncatingWriter struct {
	http.ResponseWriter
}

// Write sends the first half of the content and aborts the handler.
func (w *truncatingWriter) Write(content []byte) (int, error) {
	_, _ = w.ResponseWriter.Write(content[:len(content)/2])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
