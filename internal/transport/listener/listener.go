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
	// dialTimeout is some round trips between regions; a machine without power answers nothing, and is asked anew soon after it is back.
	dialTimeout = 300 * time.Millisecond
	// pingAfter and pingTimeout find a connection that has gone silent, while new ones work, within two seconds.
	pingAfter   = time.Second
	pingTimeout = 700 * time.Millisecond
	// compressFrom is a size in bytes.
	compressFrom = 64 << 10
)

// Server is an HTTP server that is listening.
type Server struct {
	http    *http.Server
	address string
	done    chan struct{}
}

// New starts serving the handler on the address.
func New(address string, handler http.Handler) (*Server, error) {
	socket, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return NewOn(socket, handler, Hooks{}), nil
}

// Listen opens a listening socket on the address.
func Listen(address string) (net.Listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return socket, nil
}

// Hooks are told of the connections of a server; each may be nil.
type Hooks struct {
	State   func(net.Conn, http.ConnState)
	Context func(context.Context, net.Conn) context.Context
}

// NewOn starts serving the handler on a socket.
func NewOn(socket net.Listener, handler http.Handler, hooks Hooks) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			Protocols:         protocols(true),
			ConnState:         hooks.State,
			ConnContext:       hooks.Context,
		},
		address: socket.Addr().String(),
		done:    make(chan struct{}),
	}
	go s.run(socket)
	return s
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Shutdown answers every request in flight, then stops; a context that ends earlier cuts the rest off.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	<-s.done
	return err
}

// Close cuts everything off at once.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

func (s *Server) run(socket net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(socket)
}

// NewSingleClient returns a client that never has more than one connection to an address, opened by dial.
func NewSingleClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	client := NewClient()
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport.DialContext = dial
		transport.MaxConnsPerHost = 1
	}
	return client
}

// Plain returns the option with which a service sends replies uncompressed below a size at which compressing pays within a data centre.
func Plain() connect.HandlerOption { return connect.WithCompressMinBytes(compressFrom) }

// NewClient returns a client for the project's own processes: one multiplexed connection an address.
func NewClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
			}).DialContext,
			Protocols: protocols(false),
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfter,
				PingTimeout:     pingTimeout,
			},
		},
	}
}

func protocols(http1 bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(http1)
	p.SetUnencryptedHTTP2(true)
	return p
}
