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

// testCodec speaks a small protocol: an answer names its request in "Id", and "Refused" says that it has not run.
type testCodec struct{}

func (testCodec) Encode(call *Call, replica string, _ time.Duration) (*http.Request, error) {
	request := &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Opaque: call.Path,
		},
		Host:          call.Host,
		ContentLength: int64(len(call.Body)),
		Header: http.Header{
			"Id":         {call.ID},
			"Replica":    {replica},
			"User-Agent": {""},
		},
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(strings.NewReader(string(call.Body)))
	}
	return request, nil
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

// fakeReplica answers each connection's requests with the bytes that it was given, one text a request.
type fakeReplica struct {
	socket net.Listener
	mutex  sync.Mutex
	// answers are for the next requests, in order; "close" closes the connection and "hang" says nothing.
	answers     []string
	connections int
	requests    []string
}

func newFakeReplica(t *testing.T, answers ...string) *fakeReplica {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeReplica{
		socket:  socket,
		answers: answers,
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
		c := &fakeConnection{
			replica: f,
			conn:    conn,
		}
		go c.run()
	}
}

type fakeConnection struct {
	replica *fakeReplica
	conn    net.Conn
}

func (c *fakeConnection) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := c.replica.next(request)
		if strings.HasPrefix(answer, "early ") {
			fmt.Fprint(c.conn, strings.TrimPrefix(answer, "early "))
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch {
		case answer == "close":
			return
		case answer == "hang":
			time.Sleep(10 * time.Second)
			return
		case strings.HasSuffix(answer, "<end>"):
			fmt.Fprint(c.conn, strings.TrimSuffix(answer, "<end>"))
			return
		default:
			fmt.Fprint(c.conn, answer)
		}
	}
}

func (f *fakeReplica) next(request *http.Request) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, request.Method+" "+request.RequestURI+" "+request.Header.Get("Id")+" "+request.Header.Get("Replica"))
	if len(f.answers) == 0 {
		return "close"
	}
	answer := f.answers[0]
	f.answers = f.answers[1:]
	return answer
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newExchanger(limit int) *Exchanger {
	return New(testCodec{}, func(Target) int { return limit }, func() {})
}

func (f *fakeReplica) ask(e *Exchanger, id string, body int, once bool, limit time.Duration) scatterer.Outcome {
	deadline := time.Now().Add(limit)
	return e.Do(NewExchange(deadline), &Call{
		ID:     id,
		Method: "POST",
		Host:   "a.example",
		Path:   "/x/1?q=%20",
		Body:   []byte(strings.Repeat("b", body)),
		Once:   once,
	}, Target{
		Replica: "r1",
		Service: "one",
		Address: f.socket.Addr().String(),
	}, deadline)
}

// TestAnswers plays what replicas may send; each case is two requests in a row through one exchanger.
func TestAnswers(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole<end>"
	cases := []struct {
		name    string
		answers []string
		// wants are the kind and body of the first and of the second answer.
		wants       [2]string
		connections int
	}{
		{"kept", []string{answer("1", "one"), answer("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"chunked", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", answer("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"told to close", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none", answer("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"no length", []string{unframed, answer("2", "two")}, [2]string{"replied whole", "replied two"}, 2},
		{"cut short", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none<end>", answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"not an answer", []string{"SSH-2.0-nonsense\r\n\r\n<end>", answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"bytes behind the answer", []string{answer("1", "one") + "rest", answer("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"second answer to the same request", []string{answer("1", "one") + answer("1", "again"), answer("2", "two")}, [2]string{"replied one", "replied two"}, 2},
		{"answer to an earlier request first", []string{answer("1", "one"), answer("1", "again") + answer("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"only answers to others", []string{answer("7", "x") + answer("8", "y") + answer("9", "z"), answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"interim answer", []string{"HTTP/1.1 102 Processing\r\n\r\n" + answer("1", "one"), answer("2", "two")}, [2]string{"replied one", "replied two"}, 1},
		{"no answer", []string{"close", answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"silence", []string{"hang", answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"rejected", []string{"HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", answer("2", "two")}, [2]string{"rejected ", "replied two"}, 1},
		{"no body", []string{"HTTP/1.1 204 Empty\r\nId: 1\r\n\r\n", answer("2", "two")}, [2]string{"replied ", "replied two"}, 1},
		{"too large", []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", mostBody+1), answer("2", "two")}, [2]string{"broken ", "replied two"}, 2},
		{"idle connection ended", []string{answer("1", "one") + "<end>", answer("2", "two")}, [2]string{"replied one", "replied two"}, 2},
	}
	for _, c := range cases {
		f := newFakeReplica(t, c.answers...)
		e := newExchanger(4)
		for i, want := range c.wants {
			outcome := f.ask(e, fmt.Sprint(i+1), 3, true, 500*time.Millisecond)
			got := outcome.Kind.String() + " "
			if outcome.Reply != nil {
				got += string(outcome.Reply.Body)
			}
			if got != want {
				t.Errorf("%s, request %d: %q (%s), want %q", c.name, i+1, got, outcome.Cause, want)
			}
			// What follows an answer has to arrive before the next request is a fair question.
			time.Sleep(20 * time.Millisecond)
		}
		if f.connections != c.connections {
			t.Errorf("%s: %d connections, want %d", c.name, f.connections, c.connections)
		}
		if len(f.requests) != 2 || f.requests[1] != "POST /x/1?q=%20 2 r1" {
			t.Errorf("%s: the replica saw %q", c.name, f.requests)
		}
	}
}

// TestEarlyAnswer holds that a connection which is owed the rest of a long body is not used again.
func TestEarlyAnswer(t *testing.T) {
	const long = 8 << 20
	f := newFakeReplica(t, "early "+answer("1", "early"), answer("2", "two"))
	e := newExchanger(4)
	if got := f.ask(e, "1", long, true, time.Second); got.Kind != scatterer.OutcomeReplied || string(got.Reply.Body) != "early" {
		t.Errorf("%+v", got)
	}
	if got := f.ask(e, "2", 3, true, time.Second); got.Kind != scatterer.OutcomeReplied || string(got.Reply.Body) != "two" {
		t.Errorf("%+v", got)
	}
	if f.connections != 2 {
		t.Errorf("%d connections, want 2", f.connections)
	}
}

// TestNothingListens holds that an attempt without a connection is known not to have been sent.
func TestNothingListens(t *testing.T) {
	f := newFakeReplica(t)
	f.socket.Close()
	if got := f.ask(newExchanger(4), "1", 3, true, time.Second); got.Kind != scatterer.OutcomeUnsent {
		t.Errorf("%+v, want unsent", got)
	}
}

// TestConnectionLimit holds that no more connections are open than allowed, and that those who wait get one.
func TestConnectionLimit(t *testing.T) {
	const requests, limit = 20, 2
	var answers []string
	for range requests {
		answers = append(answers, answer("", "x"))
	}
	f := newFakeReplica(t, answers...)
	e := newExchanger(limit)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			if got := f.ask(e, "1", 3, false, 2*time.Second); got.Kind != scatterer.OutcomeReplied {
				t.Errorf("%+v", got)
			}
		})
	}
	group.Wait()
	if f.connections > limit {
		t.Errorf("%d connections, limit %d", f.connections, limit)
	}
}

// TestShortened holds that an attempt that nobody waits for ends by its earlier deadline, and its connection is not used again.
func TestShortened(t *testing.T) {
	f := newFakeReplica(t, "hang")
	e := newExchanger(1)
	x := NewExchange(time.Now().Add(5 * time.Second))
	time.AfterFunc(50*time.Millisecond, func() { x.Shorten(time.Now().Add(50 * time.Millisecond)) })
	began := time.Now()
	outcome := e.Do(x, &Call{
		ID:     "1",
		Method: "GET",
		Path:   "/",
	}, Target{
		Replica: "r1",
		Service: "one",
		Address: f.socket.Addr().String(),
	}, began.Add(5*time.Second))
	if outcome.Kind != scatterer.OutcomeBroken || outcome.Cause != scatterer.CauseCancelled || time.Since(began) > time.Second {
		t.Errorf("%+v after %s", outcome, time.Since(began))
	}
}

// TestWarm holds that a connection that was opened beforehand serves the first request, also where it ended meanwhile, and that a replica with a connection gets no other.
func TestWarm(t *testing.T) {
	for _, ends := range []bool{false, true} {
		f := newFakeReplica(t, answer("1", "x"))
		e := newExchanger(4)
		target := Target{
			Replica: "r1",
			Service: "one",
			Address: f.socket.Addr().String(),
		}
		for range 2 {
			if err := e.Warm(t.Context(), target); err != nil {
				t.Fatal(err)
			}
		}
		if e.Open() != 1 {
			t.Errorf("%d connections open after two calls", e.Open())
		}
		want := 1
		if ends {
			want = 2
			for _, conn := range e.pools.byID["r1"].idle {
				_ = conn.Close()
			}
		}
		if got := f.ask(e, "1", 0, false, time.Second); got.Kind != scatterer.OutcomeReplied {
			t.Errorf("%+v", got)
		}
		if f.connections != want {
			t.Errorf("%d connections were opened, want %d", f.connections, want)
		}
	}
}
