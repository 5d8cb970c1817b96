package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"pimentogate.example/pimentogate/internal/transport/listener"
)

const (
	// headerTimeout and idleTimeout exceed the limits that callers are given, so that no caller within its limits is cut off.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	http   *http.Server
	socket net.Listener
	done   chan struct{}
}

func newCallerServer(address string, handler http.Handler, gate *listener.Gate) (*callerServer, error) {
	socket, err := gate.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &callerServer{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    listener.MaxHeadBytes,
			// Each request is answered by the handler.
			DisableGeneralOptionsHandler: true,
		},
		socket: socket,
		done:   make(chan struct{}),
	}
	gate.Protect(s.http)
	go s.run()
	return s, nil
}

func (s *callerServer) run() {
	defer close(s.done)
	_ = s.http.Serve(s.socket)
}

// shutdown keeps serving for drainDuration, in which persistent connections are closed after their next response, and then waits for the requests in flight until ctx is done.
func (s *callerServer) shutdown(ctx context.Context, drainDuration time.Duration) {
	select {
	case <-time.After(drainDuration):
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	<-s.done
}
