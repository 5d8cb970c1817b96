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
	onceDialTimeout = 250 * time.Millisecond
	// maxRunReply is the size of a reply at most, in bytes.
	maxRunReply = 1 << 20
)

var (
	errMayNotWrite = errors.New("the request may no longer be written")
	errNoLength    = errors.New("the reply does not say where it ends")
)

// Once is one fresh connection, over which at most one request is written and nothing is ever resent.
type Once struct {
	connections *Connections
	address     string
	conn        net.Conn
	err         error
	cancel      context.CancelFunc
	state       atomic.Int32
	taken       atomic.Bool
	opened      chan struct{}
}

const (
	stateUnwritten = iota
	stateWritten
	stateSealed
)

// Open starts to open the connection, and writes nothing.
func (s *Sender) Open(ctx context.Context, address string) *Once {
	ctx, cancel := context.WithTimeout(ctx, onceDialTimeout)
	o := &Once{
		connections: s.Connections,
		address:     address,
		cancel:      cancel,
		opened:      make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

func (o *Once) run(ctx context.Context) {
	defer close(o.opened)
	o.conn, o.err = o.connections.dialRun(ctx, "tcp", o.address)
}

// Close gives the connection up, and forbids any later write.
func (o *Once) Close() {
	o.seal()
	o.cancel()
	<-o.opened
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

// Send writes the request unless mayWrite, asked right before the first byte, forbids it; it reports whether a byte was written.
func (o *Once) Send(ctx context.Context, request *wire.RunRequest, mayWrite func(now time.Time) bool) runner.DispatchResult {
	client := wireconnect.NewUpstreamServiceClient(&http.Client{
		Transport: &onceTransport{
			once:     o,
			mayWrite: mayWrite,
		},
		// A redirect would be a second request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, "http://"+o.address, connect.WithReadMaxBytes(maxRunReply))
	response, err := client.Run(ctx, connect.NewRequest(request))
	if err == nil {
		return runner.DispatchResult{
			Response: response.Msg,
			Leaving:  response.Msg.GetLeaving(),
		}
	}
	refusal := listener.DetailOf[*wire.NotStarted](err)
	return runner.DispatchResult{
		NotWritten: o.seal(),
		NotStarted: refusal != nil,
		Leaving:    refusal.GetLeaving(),
	}
}

// seal forbids any later write, and reports whether there has been none.
func (o *Once) seal() bool {
	return o.state.CompareAndSwap(stateUnwritten, stateSealed) || o.state.Load() == stateSealed
}

// begin reports whether bytes may be written.
func (o *Once) begin(mayWrite func(now time.Time) bool) bool {
	if o.state.Load() == stateWritten {
		return true
	}
	if !mayWrite(time.Now()) {
		return false
	}
	return o.state.CompareAndSwap(stateUnwritten, stateWritten)
}

// onceTransport is HTTP/1.1 over the one connection.
type onceTransport struct {
	once     *Once
	mayWrite func(now time.Time) bool
}

// RoundTrip sends the request, and refuses a reply whose loss of the end could not be seen.
func (t *onceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := &http.Transport{
		DialContext:       t.dial,
		DisableKeepAlives: true,
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.Join(errNoLength, response.Body.Close())
	}
	return response, nil
}

// dial hands the connection out once, so that net/http has none to resend on.
func (t *onceTransport) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-t.once.opened:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if t.once.err != nil {
		return nil, t.once.err
	}
	if t.once.taken.Swap(true) {
		return nil, errMayNotWrite
	}
	return &onceConn{
		Conn:      t.once.conn,
		transport: t,
	}, nil
}

// onceConn lets bytes out only while its connection allows it.
type onceConn struct {
	net.Conn

	transport *onceTransport
}

// Write hands bytes to the connection, or none once it is sealed.
func (c *onceConn) Write(content []byte) (int, error) {
	if !c.transport.once.begin(c.transport.mayWrite) {
		return 0, errMayNotWrite
	}
	return c.Conn.Write(content)
}
