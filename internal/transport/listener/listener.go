package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	headerTimeout = 5 * time.Second
	// dialTimeout allows for a few round trips between regions. It is short because a machine without power never responds, and callers should retry soon after it is back.
	dialTimeout = 300 * time.Millisecond
	// sendPingTimeout and pingTimeout detect a silent connection within two seconds, so that a new one, which may work, replaces it.
	sendPingTimeout = time.Second
	pingTimeout     = 700 * time.Millisecond
	// maxStreams limits the requests of one connection with HTTP/2, and maxStreamBuffer the bytes of their bodies that wait to be read.
	maxStreams      = 100
	maxStreamBuffer = 64 << 10
	// compressMinBytes is the smallest reply that is compressed, in bytes.
	compressMinBytes = 64 << 10
)

// Server is a running HTTP server.
type Server struct {
	httpServer *http.Server
	address    string
	stopped    chan struct{}
}

// New listens on the address and starts serving the handler.
func New(address string, handler http.Handler) (*Server, error) {
	socket, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return NewOnSocket(socket, handler, Hooks{}), nil
}

// Listen opens a listening socket on the address.
func Listen(address string) (net.Listener, error) { return listen(&net.ListenConfig{}, address) }

func listen(config *net.ListenConfig, address string) (net.Listener, error) {
	socket, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return socket, nil
}

// Hooks are the connection callbacks of an http.Server; each may be nil.
type Hooks struct {
	ConnState   func(net.Conn, http.ConnState)
	ConnContext func(context.Context, net.Conn) context.Context
}

// NewOnSocket starts serving the handler on a listening socket.
func NewOnSocket(socket net.Listener, handler http.Handler, hooks Hooks) *Server {
	return start(socket, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         protocols(true),
		ConnState:         hooks.ConnState,
		ConnContext:       hooks.ConnContext,
	})
}

// NewServer listens on the address and starts serving the handler to clients who pass the gate.
func (t *Gate) NewServer(address string, handler http.Handler) (*Server, error) {
	socket, err := t.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    t.options.MaxHeadBytes(),
	}
	if t.options.AllowsHTTP2 {
		server.Protocols = protocols(true)
		server.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: maxStreamBuffer,
			MaxReceiveBufferPerStream:     maxStreamBuffer,
		}
	}
	t.Protect(server)
	return start(socket, server), nil
}

// start starts serving on a listening socket.
func start(socket net.Listener, server *http.Server) *Server {
	s := &Server{
		httpServer: server,
		address:    socket.Addr().String(),
		stopped:    make(chan struct{}),
	}
	go s.run(socket)
	return s
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Shutdown waits for all requests in flight, then stops the server. If the context ends earlier, it closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.httpServer.Close())
	}
	<-s.stopped
	return err
}

// Close stops the server and closes all connections at once.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.stopped
}

func (s *Server) run(socket net.Listener) {
	defer close(s.stopped)
	_ = s.httpServer.Serve(socket)
}

// NewSingleConnectionClient returns a client that has at most one connection to each address, opened by dial.
func NewSingleConnectionClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	client := NewClient()
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport.DialContext = dial
		transport.MaxConnsPerHost = 1
	}
	return client
}

// CompressLargeReplies returns the handler option that compresses only large replies, as compressing small ones does not pay within a data centre.
func CompressLargeReplies() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressMinBytes)
}

// NewClient returns a client for this system's own processes, with one multiplexed connection to each address.
func NewClient() *http.Client { return NewClientWithDialTimeout(dialTimeout) }

// NewClientWithDialTimeout returns a client as NewClient does, with another limit for the opening of a connection.
func NewClientWithDialTimeout(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: timeout,
			}).DialContext,
			Protocols: protocols(false),
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: sendPingTimeout,
				PingTimeout:     pingTimeout,
			},
		},
	}
}

// NewHTTP1Client returns a client for this system's own processes with a connection for each call in flight, of which it keeps up to idleConnections to each address. Where calls to one address rarely overlap, it takes less processor time than one multiplexed connection.
func NewHTTP1Client(idleConnections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
				Control: SetUserTimeout(sendPingTimeout + pingTimeout),
			}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			DisableCompression:  true,
		},
	}
}

func protocols(allowHTTP1 bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(allowHTTP1)
	p.SetUnencryptedHTTP2(true)
	return p
}
