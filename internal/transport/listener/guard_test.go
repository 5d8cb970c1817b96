package listener

import (
	"bufio"
	"bytes"
	"context"
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
		guard:   NewGuard(requestBytes, 100*time.Millisecond, logr.Discard(), tally.NoopScope),
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
	if r.URL.Path == "/ignore" {
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if IsOverload(err) {
		WriteOverload(w, r)
		return
	}
	switch r.URL.Path {
	case "/wait":
		s.entered <- LeaseOf(r.Context())
		<-s.release
	case "/large":
		_, _ = w.Write(make([]byte, 64<<20))
		return
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

// awaitHeld waits until the requests hold that many bytes.
func (s *guardedServer) awaitHeld(want int64) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); s.guard.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%d bytes held, want %d", s.guard.Held(), want)
		}
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

func longHead(path string, lines int) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: a\r\n"
	for i := range lines {
		head += fmt.Sprintf("f%d:\r\n", i)
	}
	return head
}

// TestGuardCountsRequests guards against requests that hold more than the guard knows of, in each form in which they arrive, and against ones within their allowance that are refused.
func TestGuardCountsRequests(t *testing.T) {
	const limit = 150 << 10
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	body := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, bytes.Repeat([]byte("b"), size))
	}
	chunks := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("a\r\n0123456789\r\n", 6000) + "0\r\n\r\n"
	cases := []struct {
		name, request string
		want          []string
	}{
		{"small", get, []string{"200 0"}},
		{"small ones at once", get + get + get, []string{"200 0", "200 0", "200 0"}},
		{"a head that fits", longHead("/", 100) + "\r\n", []string{"200 0"}},
		{"a head that does not fit", longHead("/", 400) + "\r\n", []string{"503"}},
		{"a head that does not fit and has no end", longHead("/", 400), []string{"503"}},
		{"a head that does not fit behind another request", get + longHead("/", 400) + "\r\n", []string{"200 0", "503"}},
		{"a head above the limit", "GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("v", 16<<10) + "\r\n\r\n", []string{"431"}},
		{"a body that fits", body(40 << 10), []string{"200 40960"}},
		{"a body that does not fit", body(60 << 10), []string{"503"}},
		{"chunks that do not fit", chunks, []string{"503"}},
		{"a body behind another one", body(40<<10) + body(40<<10), []string{"200 40960", "200 40960"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newGuardedServer(t, limit, GateOptions{
				MaxConnections: 10,
			})
			client := s.dial()
			go client.send(c.request)
			for _, want := range c.want {
				if got := client.receive(); got != want && (want != "503" || got != "closed") {
					t.Errorf("got %q, want %q", got, want)
				}
			}
			_ = client.Close()
			s.awaitHeld(0)
			if got := s.dial().send(get).receive(); got != "200 0" {
				t.Errorf("got %q after it", got)
			}
		})
	}
}

// TestStalledRequestsGiveWay guards against requests that stop arriving and shut out others.
func TestStalledRequestsGiveWay(t *testing.T) {
	s := newGuardedServer(t, 100<<10, GateOptions{
		MaxConnections: 10,
	})
	stalled := s.dial().send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 45000\r\n\r\n" + strings.Repeat("b", 44_999))
	head := s.dial().send(longHead("/", 30))
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		if got := s.dial().send(longHead("/", 150) + "\r\n").receive(); got == "200 0" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a request is not served beside one that has stopped arriving")
		}
	}
	if got := stalled.receive(); got != "503" {
		t.Errorf("the request that was cut off got %q", got)
	}
	// One within its allowance takes nothing from others.
	if got := head.send("\r\n").receive(); got != "200 0" {
		t.Errorf("a small request that arrives slowly got %q", got)
	}
	s.awaitHeld(0)
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

// TestAnsweredConnectionsGiveWay guards against connections that have been answered and wait for their clients, and shut out newcomers meanwhile.
func TestAnsweredConnectionsGiveWay(t *testing.T) {
	for want, request := range map[string]string{
		"200": "POST /ignore HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nb",
		"431": "GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("v", 16<<10) + "\r\n\r\n",
	} {
		s := newGuardedServer(t, 1<<20, GateOptions{
			MaxConnections: 2,
		})
		for range 2 {
			if got := s.dial().send(request).receive(); got != want {
				t.Fatalf("got %q, want %s", got, want)
			}
		}
		if got := s.dial().send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").receive(); got != "200 0" {
			t.Errorf("a newcomer beside connections that were answered with %s got %q", want, got)
		}
	}
}

// TestLeaseOutlivesRequest guards against memory that is given to others while attempts still use it.
func TestLeaseOutlivesRequest(t *testing.T) {
	s := newGuardedServer(t, 100<<10, GateOptions{
		MaxConnections: 3,
	})
	client := s.dial().send(longHead("/wait", 100) + "\r\n")
	lease := <-s.entered
	held := s.guard.Held()
	if held == 0 || !lease.TryGrow(1000) || lease.TryGrow(100<<10) {
		t.Errorf("%d bytes held", held)
	}
	lease.Hold()
	close(s.release)
	if got := client.receive(); got != "200 0" {
		t.Fatalf("got %q", got)
	}
	if got := client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").receive(); got != "200 0" {
		t.Fatalf("got %q", got)
	}
	s.awaitHeld(held + 1000)
	lease.Drop()
	s.awaitHeld(0)
	var none *Lease
	none.Hold()
	none.Drop()
	if !none.TryGrow(1) {
		t.Error("a request without a gate has no limit")
	}
}

// TestUnreadResponseEnds guards against clients that keep a response by not reading it.
func TestUnreadResponseEnds(t *testing.T) {
	s := newGuardedServer(t, 100<<10, GateOptions{
		MaxConnections: 1,
	})
	s.dial().send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		if got := s.dial().send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").receive(); got == "200 0" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection is not closed")
		}
	}
}

// TestStreamsAreCounted guards against requests that share a connection and hold more than the guard knows of.
func TestStreamsAreCounted(t *testing.T) {
	s := newGuardedServer(t, 5*streamCost, GateOptions{
		MaxConnections: 1,
		AllowsHTTP2:    true,
	})
	client := NewSingleConnectionClient((&net.Dialer{}).DialContext)
	statuses := make(chan int, 20)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 20 {
		go func() {
			request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/wait", nil)
			response, err := client.Do(request)
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	counts := map[int]int{}
	for range 15 {
		counts[<-statuses]++
	}
	close(s.release)
	for range 5 {
		counts[<-statuses]++
	}
	if counts[http.StatusServiceUnavailable] != 15 || counts[http.StatusOK] != 5 {
		t.Errorf("statuses %v, want 15 refused of 20", counts)
	}
	client.CloseIdleConnections()
	s.awaitHeld(0)
}

// TestStalledStreamsGiveWay guards against requests over one connection that stop arriving and shut out others.
func TestStalledStreamsGiveWay(t *testing.T) {
	s := newGuardedServer(t, 5*streamCost, GateOptions{
		MaxConnections: 10,
		AllowsHTTP2:    true,
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ask := func(client *http.Client, body io.Reader) int {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/", body)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	stalled := NewSingleConnectionClient((&net.Dialer{}).DialContext)
	for range 20 {
		body, writer := io.Pipe()
		defer writer.Close()
		go ask(stalled, body)
	}
	s.awaitHeld(5 * streamCost)
	for other := NewSingleConnectionClient((&net.Dialer{}).DialContext); ask(other, nil) != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("a request is not served beside streams that have stopped")
		}
	}
}
