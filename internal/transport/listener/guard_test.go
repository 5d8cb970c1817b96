package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const testTimeout = 5 * time.Second

// guardedServer is a server behind a gate whose handler reads the body, and waits for release if the path asks for it.
type guardedServer struct {
	t       *testing.T
	guard   *Guard
	address string
	// entered receives a value for each request that waits for release.
	entered chan *Lease
	release chan struct{}
}

func newGuardedServer(t *testing.T, requestBytes int64, options GateOptions) *guardedServer {
	t.Helper()
	s := &guardedServer{
		t:       t,
		guard:   NewGuard(requestBytes, logr.Discard(), tally.NoopScope),
		entered: make(chan *Lease, 100),
		release: make(chan struct{}),
	}
	options.MaxHeadBytes = func() int { return 16 << 10 }
	server, err := s.guard.NewGate(options).NewServer("127.0.0.1:0", http.HandlerFunc(s.serve))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.address = server.Address()
	return s
}

func (s *guardedServer) serve(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/wait":
		s.entered <- LeaseOf(r.Context())
		<-s.release
	}
	fmt.Fprintf(w, "%d", size)
}

func (s *guardedServer) dial() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// testClient is a client of a guarded server.
type testClient struct {
	net.Conn

	reader *bufio.Reader
}

func (c *testClient) send(request string) *testClient {
	_, _ = io.WriteString(c, request)
	return c
}

// receive returns the status and body of the next response, or the error.
func (c *testClient) receive() string {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "closed"
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	text := fmt.Sprintf("%d %s", response.StatusCode, body)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		text += "without a time to come back"
	}
	return strings.TrimSpace(text)
}

// TestConnectionsGiveWay guards against connections nobody uses that shut out newcomers, and against more connections than the limit.
func TestConnectionsGiveWay(t *testing.T) {
	s := newGuardedServer(t, 100<<10, GateOptions{
		MaxConnections: 3,
	})
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	oldest := s.dial()
	for range 20 {
		if got := s.dial().send(get).receive(); got != "200 0" {
			t.Fatalf("a newcomer got %q", got)
		}
	}
	if got := oldest.send(get).receive(); got != "closed" {
		t.Errorf("the connection that was idle for longest got %q", got)
	}
	// Requests in service are not cut off.
	var waiting []*testClient
	for range 3 {
		waiting = append(waiting, s.dial().send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"))
		<-s.entered
	}
	if got := s.dial().send(get).receive(); got != "closed" {
		t.Errorf("a newcomer beside requests in service got %q", got)
	}
	close(s.release)
	for _, client := range waiting {
		if got := client.receive(); got != "200 0" {
			t.Errorf("a request in service got %q", got)
		}
	}
}
