package sender

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	oneShotDialTimeout = 250 * time.Millisecond
	// maxRunResponse is the maximum size of a response, in bytes.
	maxRunResponse = 1 << 20
)

var (
	errWriteForbidden   = errors.New("the request may no longer be written")
	errNoResponseLength = errors.New("the response has neither a length nor chunked encoding")
)

// OneShotConn is a new connection that carries at most one request, which is never resent.
type OneShotConn struct {
	connections *ConnectionLimiter
	address     string
	conn        net.Conn
	err         error
	cancel      context.CancelFunc
	state       atomic.Int32
	dialed      atomic.Bool
	dialDone    chan struct{}
}

const (
	stateUnwritten = iota
	stateWritten
	stateSealed
)

// OpenOneShot starts to dial the address and writes nothing.
func (s *Sender) OpenOneShot(ctx context.Context, address string) *OneShotConn {
	ctx, cancel := context.WithTimeout(ctx, oneShotDialTimeout)
	o := &OneShotConn{
		connections: s.Connections,
		address:     address,
		cancel:      cancel,
		dialDone:    make(chan struct{}),
	}
	go o.dial(ctx)
	return o
}

func (o *OneShotConn) dial(ctx context.Context) {
	defer close(o.dialDone)
	o.conn, o.err = o.connections.dialRun(ctx, "tcp", o.address)
}

// Close closes the connection; if nothing has been written yet, nothing will be.
func (o *OneShotConn) Close() {
	o.seal()
	o.cancel()
	<-o.dialDone
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

// Send writes the request unless mayWrite, which is called right before the first byte, returns false. The result tells whether the request is certain not to have been written or started.
func (o *OneShotConn) Send(ctx context.Context, request *wire.RunRequest, mayWrite func(now time.Time) bool) runner.DispatchResult {
	client := wireconnect.NewUpstreamServiceClient(&http.Client{
		Transport: listener.NewLimitedTransport(&oneShotTransport{
			conn:     o,
			mayWrite: mayWrite,
		}, maxRunResponse),
		// Following a redirect would send a second request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, "http://"+o.address, connect.WithReadMaxBytes(maxRunResponse))
	response, err := client.Run(ctx, connect.NewRequest(request))
	if err == nil {
		return runner.DispatchResult{
			Response: response.Msg,
			Leaving:  response.Msg.GetLeaving(),
		}
	}
	notStarted := listener.ErrorDetail[*wire.NotStarted](err)
	return runner.DispatchResult{
		NotWritten: o.seal(),
		NotStarted: notStarted != nil,
		Leaving:    notStarted.GetLeaving(),
	}
}

// seal forbids writing unless a byte has been written already, and reports whether nothing has been written.
func (o *OneShotConn) seal() bool {
	return o.state.CompareAndSwap(stateUnwritten, stateSealed) || o.state.Load() == stateSealed
}

// allowWrite reports whether bytes may be written, and records the first write.
func (o *OneShotConn) allowWrite(mayWrite func(now time.Time) bool) bool {
	if o.state.Load() == stateWritten {
		return true
	}
	if !mayWrite(time.Now()) {
		return false
	}
	return o.state.CompareAndSwap(stateUnwritten, stateWritten)
}

// oneShotTransport is an HTTP/1.1 round tripper over the one connection.
type oneShotTransport struct {
	conn     *OneShotConn
	mayWrite func(now time.Time) bool
}

// RoundTrip sends the request. It rejects a response without a length or chunked encoding, because a truncated one could not be detected.
func (t *oneShotTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := &http.Transport{
		DialContext:       t.dial,
		DisableKeepAlives: true,
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.Join(errNoResponseLength, response.Body.Close())
	}
	return response, nil
}

// dial returns the connection on its first call only, so that net/http has no other connection to resend the request on.
func (t *oneShotTransport) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-t.conn.dialDone:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if t.conn.err != nil {
		return nil, t.conn.err
	}
	if t.conn.dialed.Swap(true) {
		return nil, errWriteForbidden
	}
	return &guardedConn{
		Conn:      t.conn.conn,
		transport: t,
	}, nil
}

// guardedConn is a connection that checks before each write whether it is still allowed.
type guardedConn struct {
	net.Conn

	transport *oneShotTransport
}

// Write writes to the connection, unless writing is no longer allowed.
func (c *guardedConn) Write(content []byte) (int, error) {
	if !c.transport.conn.allowWrite(c.transport.mayWrite) {
		return 0, errWriteForbidden
	}
	return c.Conn.Write(content)
}
