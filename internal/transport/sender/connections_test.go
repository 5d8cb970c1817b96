package sender

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// slowUpstream answers each search after a delay and records the remote address of each connection.
type slowUpstream struct {
	wireconnect.UnimplementedUpstreamServiceHandler

	mutex           sync.Mutex
	remoteAddresses map[string]bool
}

func (u *slowUpstream) Search(_ context.Context, request *connect.Request[wire.SearchRequest]) (*connect.Response[wire.SearchResponse], error) {
	u.mutex.Lock()
	u.remoteAddresses[request.Peer().Addr] = true
	u.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	return connect.NewResponse(&wire.SearchResponse{
		Attempt: request.Msg.GetAttempt(),
	}), nil
}

func TestConnectionsStayWithinShare(t *testing.T) {
	cases := []struct {
		name        string
		allowance   int
		answered    int
		connections int
		runs        int
	}{
		{"no share", 0, 0, 0, 0},
		{"only the connection for searches", 1, 50, 1, 0},
		{"share of three", 3, 50, 1, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := &slowUpstream{
				remoteAddresses: map[string]bool{},
			}
			mux := http.NewServeMux()
			mux.Handle(wireconnect.NewUpstreamServiceHandler(upstream))
			server, err := listener.New("127.0.0.1:0", mux)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			results := make(chan Result, 100)
			s := New(results, func(context.Context, string) int { return c.allowance })
			defer s.Close()
			answered := searchConcurrently(s, server.Address(), results)
			if answered != c.answered || len(upstream.remoteAddresses) != c.connections {
				t.Errorf("%d answered over %d connections, want %d over %d", answered, len(upstream.remoteAddresses), c.answered, c.connections)
			}
			if runs := countRunConnections(t, s, server.Address()); runs != c.runs {
				t.Errorf("%d connections opened for runs, want %d", runs, c.runs)
			}
		})
	}
}

// searchConcurrently sends 50 concurrent searches and returns how many were answered.
func searchConcurrently(s *Sender, address string, results <-chan Result) int {
	for i := range 50 {
		s.Search(address, &wire.SearchRequest{
			Attempt: uint64(i),
		}, time.Now().Add(2*time.Second))
	}
	answered := 0
	for range 50 {
		if result := <-results; result.Reply != nil {
			answered++
		}
	}
	return answered
}

// countRunConnections tries to open five connections for runs and returns how many were opened.
func countRunConnections(t *testing.T, s *Sender, address string) int {
	t.Helper()
	opened := 0
	for range 5 {
		conn := s.OpenOneShot(t.Context(), address)
		defer conn.Close()
		<-conn.dialDone
		if conn.err == nil {
			opened++
		}
	}
	return opened
}
