package exchanger

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// testCodec implements a small test protocol: the Id header names the request, and the Refused header marks a request that did not run.
type testCodec struct{}

func (testCodec) Encode(call *Call) (*http.Request, error) {
	request := &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Opaque: call.Path,
		},
		Host:          call.Host,
		ContentLength: int64(len(call.Body)),
		Header: http.Header{
			"Id":         {call.ID},
			"User-Agent": {""},
		},
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(strings.NewReader(string(call.Body)))
	}
	return request, nil
}

func (testCodec) AppendFields(lines []byte, replica string, _ time.Duration) []byte {
	return append(lines, "Replica: "+replica+"\r\n"...)
}

func (testCodec) Decode(call *Call, response *http.Response, body []byte) (scatterer.Outcome, bool) {
	if id := response.Header.Get("Id"); id != "" && id != call.ID {
		return scatterer.Outcome{}, false
	}
	if response.Header.Get("Refused") != "" {
		return scatterer.Outcome{
			Kind: scatterer.OutcomeRejected,
		}, true
	}
	return scatterer.Outcome{
		Kind: scatterer.OutcomeReplied,
		Reply: &scatterer.Reply{
			Status: response.StatusCode,
			Body:   body,
		},
	}, true
}

// fakeReplica sends prepared raw responses, one for each request.
type fakeReplica struct {
	socket net.Listener
	mutex  sync.Mutex
	// responses are for the next requests, in order. "close" closes the connection, "hang" sends nothing, the prefix "early " sends the response before the body is read, and the suffix "<end>" closes the connection after the response.
	responses   []string
	connections int
	requests    []string
}

func newFakeReplica(t *testing.T, responses ...string) *fakeReplica {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeReplica{
		socket:    socket,
		responses: responses,
	}
	go f.run()
	t.Cleanup(func() { socket.Close() })
	return f
}

func (f *fakeReplica) run() {
	for {
		conn, err := f.socket.Accept()
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.connections++
		f.mutex.Unlock()
		c := &replicaConnection{
			replica: f,
			conn:    conn,
		}
		go c.run()
	}
}

type replicaConnection struct {
	replica *fakeReplica
	conn    net.Conn
}

func (c *replicaConnection) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := c.replica.nextResponse(request)
		if strings.HasPrefix(response, "early ") {
			fmt.Fprint(c.conn, strings.TrimPrefix(response, "early "))
			// The body must not be fully written by the time the response is noticed.
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch {
		case response == "close":
			return
		case strings.HasPrefix(response, "slow "):
			time.Sleep(300 * time.Millisecond)
			fmt.Fprint(c.conn, strings.TrimPrefix(response, "slow "))
		case response == "hang":
			time.Sleep(10 * time.Second)
			return
		case strings.HasSuffix(response, "<end>"):
			fmt.Fprint(c.conn, strings.TrimSuffix(response, "<end>"))
			return
		default:
			fmt.Fprint(c.conn, response)
		}
	}
}

func (f *fakeReplica) nextResponse(request *http.Request) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, request.Method+" "+request.RequestURI+" "+request.Header.Get("Id")+" "+request.Header.Get("Replica"))
	if len(f.responses) == 0 {
		return "close"
	}
	response := f.responses[0]
	f.responses = f.responses[1:]
	return response
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// withStatus returns a response to request 1 with the status and body.
func withStatus(status, body string) string {
	return strings.Replace(okResponse("1", body), "200 OK", status+" Status", 1)
}

func newExchanger(limit int) *Exchanger {
	return New(testCodec{}, func(Target) int { return limit }, func(Target) bool { return true }, func() {})
}

func (f *fakeReplica) do(e *Exchanger, id string, bodySize int, atMostOnce bool, timeout time.Duration) scatterer.Outcome {
	deadline := time.Now().Add(timeout)
	return e.Do(NewExchange(deadline), &Call{
		ID:         id,
		Method:     "POST",
		Host:       "a.example",
		Path:       "/x/1?q=%20",
		Body:       []byte(strings.Repeat("b", bodySize)),
		AtMostOnce: atMostOnce,
	}, Target{
		Replica: "r1",
		Service: "one",
		Address: f.socket.Addr().String(),
	}, deadline)
}

// TestResponses sends two requests in a row through one exchanger for each kind of response a replica may send. It guards against answers that belong to no request, or whose status is none.
func TestResponses(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole<end>"
	cases := []struct {
		name      string
		responses []string
		// wants are the outcome and body of the first and the second response.
		wants       [2]string
		connections int
	}{
		{"connection reused", []string{okResponse("1", "one"), okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"chunked", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"Connection: close", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none", okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"no content length", []string{unframed, okResponse("2", "two")}, [2]string{"replied whole", "replied two"}, 2},
		{"cut short", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none<end>", okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"not HTTP", []string{"SSH-2.0-nonsense\r\n\r\n<end>", okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"bytes after the response", []string{okResponse("1", "one") + "rest", okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"second response to the same request", []string{okResponse("1", "one") + okResponse("1", "again"), okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"response to an earlier request first", []string{okResponse("1", "one"), okResponse("1", "again") + okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"only responses to other requests", []string{okResponse("7", "x") + okResponse("8", "y") + okResponse("9", "z"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"interim response", []string{"HTTP/1.1 102 Processing\r\n\r\n" + okResponse("1", "one"), okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"several interim responses", []string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse("1", "one"), okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"status 000", []string{withStatus("000", "x"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 000 without a body", []string{withStatus("000", ""), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 000 before a response", []string{withStatus("000", "") + okResponse("1", "one"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 000 whose body is a response", []string{withStatus("000", okResponse("1", "one")), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 099 whose body is a response", []string{withStatus("099", okResponse("1", "one")), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"another protocol", []string{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + okResponse("1", "one"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 600", []string{withStatus("600", "x"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 999", []string{withStatus("999", "x"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status of four digits", []string{withStatus("2000", "x"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"negative status", []string{withStatus("-20", "x"), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"status 599", []string{withStatus("599", "x"), okResponse("2", "two")}, [2]string{"replied x", "replied two"}, 1},
		{"later version", []string{strings.Replace(okResponse("1", "one"), "HTTP/1.1", "HTTP/3.0", 1), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"closed without response", []string{"close", okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"no response until the deadline", []string{"hang", okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"rejected", []string{"HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", okResponse("2", "two")}, [2]string{"rejected ", "replied two"}, 1},
		{"no body", []string{"HTTP/1.1 204 Empty\r\nId: 1\r\n\r\n", okResponse("2", "two")}, [2]string{"replied ", "replied two"}, 1},
		{"too large", []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", maxBodySize+1), okResponse("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"idle connection closed", []string{okResponse("1", "one") + "<end>", okResponse("2", "two")}, [2]string{"replied one", "replied two"}, 2},
	}
	for _, c := range cases {
		f := newFakeReplica(t, c.responses...)
		e := newExchanger(4)
		for i, want := range c.wants {
			outcome := f.do(e, fmt.Sprint(i+1), 3, true, 500*time.Millisecond)
			got := outcome.Kind.String() + " "
			if outcome.Reply != nil {
				got += string(outcome.Reply.Body)
			}
			if got != want {
				t.Errorf("%s, request %d: %q (%s), want %q", c.name, i+1, got, outcome.Cause, want)
			}
			// Bytes or a close that follow the response must arrive before the next request.
			time.Sleep(20 * time.Millisecond)
		}
		if f.connections != c.connections {
			t.Errorf("%s: %d connections, want %d", c.name, f.connections, c.connections)
		}
		if len(f.requests) != 2 || f.requests[1] != "POST /x/1?q=%20 2 r1" {
			t.Errorf("%s: the replica received %q", c.name, f.requests)
		}
	}
}

// TestBrokenOffResponse guards against a response that breaks off, in its head or its body, and is taken for a whole one: it sends each beginning of each kind of response and closes the connection.
func TestBrokenOffResponse(t *testing.T) {
	const (
		head         = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: 3e1b.07\r\n"
		unframedHead = head + "Connection: close\r\n\r\n"
	)
	cases := []struct {
		name, response string
		// wholeFrom is the length from which the response may be whole; 0 stands for its own.
		wholeFrom int
	}{
		{"length", head + "Content-Length: 12\r\n\r\ntwelve bytes", 0},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\n\r\ntwelve bytes", 0},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n", 0},
		{"end of the connection", unframedHead + "twelve bytes", len(unframedHead)},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", 0},
		{"no body", "HTTP/1.1 204 No Content\r\nId: 1\r\nStamp: 3e1b.07\r\n\r\n", 0},
	}
	for _, c := range cases {
		if c.wholeFrom == 0 {
			c.wholeFrom = len(c.response)
		}
		for length := range len(c.response) + 1 {
			f := newFakeReplica(t, c.response[:length]+"<end>")
			outcome := f.do(newExchanger(1), "1", 0, false, 2*time.Second)
			if isWhole := outcome.Kind == scatterer.OutcomeReplied; isWhole != (length >= c.wholeFrom) {
				t.Errorf("%s: %q is %s", c.name, c.response[:length], outcome.Kind)
			}
		}
	}
}

// TestEarlyResponse checks that a connection isn't reused if the response arrives before the long request body is fully written.
func TestEarlyResponse(t *testing.T) {
	const bodySize = 8 << 20
	f := newFakeReplica(t, "early "+okResponse("1", "early"), okResponse("2", "two"))
	e := newExchanger(4)
	if got := f.do(e, "1", bodySize, true, time.Second); got.Kind != scatterer.OutcomeReplied || string(got.Reply.Body) != "early" {
		t.Errorf("first request: got %+v, want the early response", got)
	}
	if got := f.do(e, "2", 3, true, time.Second); got.Kind != scatterer.OutcomeReplied || string(got.Reply.Body) != "two" {
		t.Errorf("second request: got %+v, want its own response", got)
	}
	if f.connections != 2 {
		t.Errorf("%d connections, want 2", f.connections)
	}
}

// TestConnectionRefused checks that an attempt without a connection is reported as unsent.
func TestConnectionRefused(t *testing.T) {
	f := newFakeReplica(t)
	f.socket.Close()
	if got := f.do(newExchanger(4), "1", 3, true, time.Second); got.Kind != scatterer.OutcomeUnsent {
		t.Errorf("%+v, want unsent", got)
	}
}

// TestConnectionLimit checks that no more connections are opened than the limit, and that waiting requests get one.
func TestConnectionLimit(t *testing.T) {
	const requests, limit = 20, 2
	var responses []string
	for range requests {
		responses = append(responses, okResponse("", "x"))
	}
	f := newFakeReplica(t, responses...)
	e := newExchanger(limit)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			if got := f.do(e, "1", 3, false, 2*time.Second); got.Kind != scatterer.OutcomeReplied {
				t.Errorf("request was not answered: %+v", got)
			}
		})
	}
	group.Wait()
	if f.connections > limit {
		t.Errorf("%d connections, limit %d", f.connections, limit)
	}
}

// TestAbandonedAttempt checks that an abandoned attempt ends by its earlier deadline.
func TestAbandonedAttempt(t *testing.T) {
	f := newFakeReplica(t, "hang")
	e := newExchanger(1)
	x := NewExchange(time.Now().Add(5 * time.Second))
	time.AfterFunc(50*time.Millisecond, func() { x.Abandon(time.Now().Add(50 * time.Millisecond)) })
	start := time.Now()
	outcome := e.Do(x, &Call{
		ID:     "1",
		Method: "GET",
		Path:   "/",
	}, Target{
		Replica: "r1",
		Service: "one",
		Address: f.socket.Addr().String(),
	}, start.Add(5*time.Second))
	if outcome.Kind != scatterer.OutcomeBroken || outcome.Cause != scatterer.CauseCancelled || time.Since(start) > time.Second {
		t.Errorf("got %+v after %s, want a cancelled attempt within 1 s", outcome, time.Since(start))
	}
}

// TestPreconnect checks that a replica gets a single connection in advance, that the first request uses it, and that the request gets a new one if that connection was closed meanwhile.
func TestPreconnect(t *testing.T) {
	for _, isClosed := range []bool{false, true} {
		f := newFakeReplica(t, okResponse("1", "x"))
		e := newExchanger(4)
		target := Target{
			Replica: "r1",
			Service: "one",
			Address: f.socket.Addr().String(),
		}
		for range 2 {
			if err := e.Preconnect(t.Context(), target); err != nil {
				t.Fatal(err)
			}
		}
		if e.OpenConnections() != 1 {
			t.Errorf("%d connections open after two calls of Preconnect, want 1", e.OpenConnections())
		}
		want := 1
		if isClosed {
			want = 2
			for _, conn := range e.pools.byID["r1"].idle {
				_ = conn.Close()
			}
		}
		if got := f.do(e, "1", 0, false, time.Second); got.Kind != scatterer.OutcomeReplied {
			t.Errorf("first request was not answered: %+v", got)
		}
		if f.connections != want {
			t.Errorf("%d connections opened, want %d", f.connections, want)
		}
	}
}

// TestWithdrawnAfterConnection guards against an attempt that is sent again after it was withdrawn, because its first connection turned out to be closed before a byte was written.
func TestWithdrawnAfterConnection(t *testing.T) {
	cases := []struct {
		name string
		// withdraws is when the attempt is withdrawn: while it has its first connection, or while it waits for the second one.
		withdrawsFirst, withdrawsSecond bool
		wantsSecond                     bool
	}{
		{"not withdrawn", false, false, true},
		{"while it has the first connection", true, false, false},
		{"while it waits for the second connection", false, true, false},
	}
	for _, c := range cases {
		near, far := net.Pipe()
		x := NewExchange(time.Now().Add(time.Second))
		isSent := x.attach(near)
		if c.withdrawsFirst && x.Withdraw(true) {
			t.Errorf("%s: withdrawn although it had a connection", c.name)
		}
		isSent = isSent && x.resetUnsent()
		if c.withdrawsSecond && !x.Withdraw(true) {
			t.Errorf("%s: not withdrawn although nothing was sent", c.name)
		}
		isSent = isSent && x.attach(near)
		if isSent != c.wantsSecond {
			t.Errorf("%s: sent again %t, want %t", c.name, isSent, c.wantsSecond)
		}
		_ = near.Close()
		_ = far.Close()
	}
}
