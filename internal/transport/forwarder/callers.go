package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"pimentogate.example/pimentogate/internal/transport/listener"
)

const (
	// headerTimeout and idleTimeout lie above what callers are allowed, so that no caller within its limits is cut off.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// mostHeader bounds a request's head before any configuration is known, in bytes; the configuration's own limit is held by the platform's adapter.
	mostHeader = 64 << 10
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	http   *http.Server
	socket net.Listener
	done   chan struct{}
}

func newCallerServer(address string, handler http.Handler) (*callerServer, error) {
	socket, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &callerServer{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    mostHeader,
		},
		socket: socket,
		done:   make(chan struct{}),
	}
	go s.run()
	return s, nil
}

func (s *callerServer) run() {
	defer close(s.done)
	_ = s.http.Serve(s.socket)
}

// shutdown goes on serving for the drain, in which kept connections are ended answer by answer, then answers what is in flight.
func (s *callerServer) shutdown(ctx context.Context, drain time.Duration) {
	select {
	case <-time.After(drain):
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	<-s.done
}
