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

// slowUpstream answers each search after a while, and counts the connections that were opened.
type slowUpstream struct {
	wireconnect.UnimplementedUpstreamServiceHandler

	mutex   sync.Mutex
	callers map[string]bool
}

func (u *slowUpstream) Search(_ context.Context, request *connect.Request[wire.SearchRequest]) (*connect.Response[wire.SearchResponse], error) {
	u.mutex.Lock()
	u.callers[request.Peer().Addr] = true
	u.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	return connect.NewResponse(&wire.SearchResponse{
		Attempt: request.Msg.GetAttempt(),
	}), nil
}

func TestConnectionsStayWithinShare(t *testing.T) {
	cases := []struct {
		name        string
		share       int
		answered    int
		connections int
		runs        int
	}{
		{"no share", 0, 0, 0, 0},
		{"the reserve", 1, 50, 1, 0},
		{"a share of three", 3, 50, 1, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := &slowUpstream{
				callers: map[string]bool{},
			}
			mux := http.NewServeMux()
			mux.Handle(wireconnect.NewUpstreamServiceHandler(upstream))
			server, err := listener.New("127.0.0.1:0", mux)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			ends := make(chan End, 100)
			s := New(ends, func(context.Context, string) int { return c.share })
			defer s.Close()
			answered := searchAtOnce(s, server.Address(), ends)
			if answered != c.answered || len(upstream.callers) != c.connections {
				t.Errorf("%d answered over %d connections, want %d over %d", answered, len(upstream.callers), c.answered, c.connections)
			}
			if runs := openRuns(t, s, server.Address()); runs != c.runs {
				t.Errorf("%d connections for runs, want %d", runs, c.runs)
			}
		})
	}
}

// searchAtOnce sends 50 searches and returns how many were answered.
func searchAtOnce(s *Sender, address string, ends <-chan End) int {
	for i := range 50 {
		s.Search(address, &wire.SearchRequest{
			Attempt: uint64(i),
		}, time.Now().Add(2*time.Second))
	}
	answered := 0
	for range 50 {
		if end := <-ends; end.Reply != nil {
			answered++
		}
	}
	return answered
}

// openRuns opens as many connections for runs as the share allows.
func openRuns(t *testing.T, s *Sender, address string) int {
	t.Helper()
	opened := 0
	for range 5 {
		once := s.Open(t.Context(), address)
		defer once.Close()
		<-once.opened
		if once.err == nil {
			opened++
		}
	}
	return opened
}
