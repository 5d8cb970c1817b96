package responder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections counts the connections that carry requests, keeps them within the limit, and makes each slow to open.
type connections struct {
	board    *switchboard
	recorder *recorder
	mutex    sync.Mutex
	serving  map[net.Conn]bool
}

type connectionKey struct{}

func newConnections(board *switchboard, r *recorder) *connections {
	return &connections{
		board:    board,
		recorder: r,
		serving:  map[net.Conn]bool{},
	}
}

// remember lets the handler know which connection a request came on.
func (c *connections) remember(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// watch forgets a connection that has closed.
func (c *connections) watch(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.serving[conn] {
		return
	}
	delete(c.serving, conn)
	c.recorder.add(func(r *Record) *int64 { return &r.Connections }, -1)
}

// enter counts the request's connection, and reports whether it is within the limit; those that only read the record don't count.
func (c *connections) enter(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return true
	}
	limit := int(c.board.get().ConnectionLimit)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.serving[conn] {
		return true
	}
	if limit > 0 && len(c.serving) >= limit {
		c.recorder.add(func(r *Record) *int64 { return &r.RefusedConnection }, 1)
		_ = conn.Close()
		return false
	}
	c.serving[conn] = true
	c.recorder.open(int64(len(c.serving)))
	return true
}

func (r *recorder) open(now int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Connections = now
	r.record.OpenedConnections++
	r.record.MostConnections = max(r.record.MostConnections, now)
}

// slowListener makes the first bytes of each connection wait.
type slowListener struct {
	net.Listener

	board *switchboard
}

// Accept returns the next connection, which stays silent until it counts as open.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{
		Conn:   conn,
		opened: time.Now().Add(milliseconds(l.board.get().ConnectionOpeningMs)),
	}, nil
}

type slowConn struct {
	net.Conn

	opened time.Time
	once   sync.Once
}

// Read waits until the connection counts as open.
func (c *slowConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.opened)) })
	return c.Conn.Read(buffer)
}

// guard admits a request's connection, adds the one-way delays, and cuts off some replies.
func (r *Responder) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !r.connections.enter(request.Context()) {
			panic(http.ErrAbortHandler)
		}
		s := r.board.get()
		r.travel()
		if r.board.hit(s.AbortBeforeStart) {
			panic(http.ErrAbortHandler)
		}
		if r.board.hit(s.CutReply) {
			w = &cutWriter{
				ResponseWriter: w,
			}
		}
		next.ServeHTTP(w, request)
	})
}

// cutWriter lets half of the first write out, then ends the stream.
type cutWriter struct {
	http.ResponseWriter
}

// Write sends half of the content and breaks off.
func (w *cutWriter) Write(content []byte) (int, error) {
	_, _ = w.ResponseWriter.Write(content[:len(content)/2])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
