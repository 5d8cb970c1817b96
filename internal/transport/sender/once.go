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
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

var errMayNotWrite = errors.New("the request may no longer be written")

// Once sends the request over a connection of its own, which net/http never resends on, and says whether a byte was written; mayWrite is asked right before the first byte.
func (s *Sender) Once(ctx context.Context, address string, request *wire.RunRequest, mayWrite func(now time.Time) bool) runner.DispatchEnd {
	dialer := &onceDialer{
		connections: s.Connections,
		mayWrite:    mayWrite,
	}
	transport := &http.Transport{
		DialContext:       dialer.dial,
		DisableKeepAlives: true,
	}
	client := wireconnect.NewUpstreamServiceClient(&http.Client{
		Transport: transport,
	}, "http://"+address)
	response, err := client.Run(ctx, connect.NewRequest(request))
	if err == nil {
		return runner.DispatchEnd{
			Response: response.Msg,
		}
	}
	return runner.DispatchEnd{
		NotWritten: dialer.seal(),
		NotStarted: notStarted(err) != nil,
	}
}

// onceDialer opens at most one connection.
type onceDialer struct {
	connections *Connections
	mayWrite    func(now time.Time) bool
	state       atomic.Int32
	dialed      atomic.Bool
}

const (
	stateUnwritten = iota
	stateWritten
	stateSealed
)

func (d *onceDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.dialed.Swap(true) {
		return nil, errMayNotWrite
	}
	conn, err := d.connections.dialRun(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &onceConn{
		Conn:   conn,
		dialer: d,
	}, nil
}

// seal forbids any later write, and reports whether there has been none.
func (d *onceDialer) seal() bool {
	return d.state.CompareAndSwap(stateUnwritten, stateSealed)
}

// begin reports whether bytes may be written.
func (d *onceDialer) begin() bool {
	if d.state.Load() == stateWritten {
		return true
	}
	if !d.mayWrite(time.Now()) {
		return false
	}
	return d.state.CompareAndSwap(stateUnwritten, stateWritten)
}

// onceConn lets bytes out only while its dialer allows it.
type onceConn struct {
	net.Conn

	dialer *onceDialer
}

// Write hands bytes to the connection, or none once the dispatch is sealed.
func (c *onceConn) Write(content []byte) (int, error) {
	if !c.dialer.begin() {
		return 0, errMayNotWrite
	}
	return c.Conn.Write(content)
}
