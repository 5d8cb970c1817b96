package sender

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const runAttempt = 7

// fakeUpstream reads and writes raw HTTP, and counts the requests that it read completely and so may have started.
type fakeUpstream struct {
	socket      net.Listener
	serve       func(f *fakeUpstream, conn net.Conn)
	connections atomic.Int32
	started     atomic.Int32
}

func newFakeUpstream(t testing.TB, serve func(*fakeUpstream, net.Conn)) *fakeUpstream {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	f := &fakeUpstream{
		socket: socket,
		serve:  serve,
	}
	go f.run()
	return f
}

func (f *fakeUpstream) run() {
	for {
		conn, err := f.socket.Accept()
		if err != nil {
			return
		}
		f.connections.Add(1)
		go func() {
			defer conn.Close()
			f.serve(f, conn)
		}()
	}
}

func (f *fakeUpstream) address() string { return f.socket.Addr().String() }

// readRequest reads one complete request, counts it and reports whether it arrived.
func (f *fakeUpstream) readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return false
	}
	f.started.Add(1)
	return true
}

// respondAfterRequest reads one complete request, writes the content and closes the connection.
func respondAfterRequest(content string) func(*fakeUpstream, net.Conn) {
	return func(f *fakeUpstream, conn net.Conn) {
		if f.readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, content)
		}
	}
}

// refuseRequest responds like an upstream that refuses the request before it starts.
func refuseRequest(f *fakeUpstream, conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	detail, _ := connect.NewErrorDetail(&wire.NotStarted{
		Reason: "leaving",
	})
	value := base64.RawStdEncoding.EncodeToString(detail.Bytes())
	body := fmt.Sprintf(`{"code":"unavailable","details":[{"type":%q,"value":%q}]}`, detail.Type(), value)
	_, _ = io.WriteString(conn, rawResponse("503 Service Unavailable", "application/json", body))
}

func rawResponse(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

func encodedRunResponse(attempt uint64) string {
	encoded, _ := proto.Marshal(&wire.RunResponse{
		Attempt: attempt,
		Result:  "restored",
	})
	return string(encoded)
}

func TestOneShotConnReportsOnlyCertainOutcomes(t *testing.T) {
	complete := rawResponse("200 OK", "application/proto", encodedRunResponse(runAttempt))
	redirect := "HTTP/1.1 %s\r\nLocation: /pimentogate.v1.UpstreamService/Run\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		serve   func(*fakeUpstream, net.Conn)
		outcome wire.Outcome
		reason  runner.Reason
		// maySeeCloseFirst is true if the client may see the close before it writes the first byte; the request then counts as not sent.
		maySeeCloseFirst bool
	}{
		{"complete response", respondAfterRequest(complete), wire.Outcome_OUTCOME_ANSWERED, runner.ReasonNone, false},
		{"closed before the first byte", func(*fakeUpstream, net.Conn) {}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, true},
		{"closed in the middle of the request", closeMidRequest, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"closed after the request", respondAfterRequest(""), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"closed in the response's headers", respondAfterRequest(complete[:40]), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"closed in the response's body", respondAfterRequest(complete[:len(complete)-3]), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"closed in a chunked response", respondAfterRequest("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\x08\x07\r\n"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"closed after a field of a response without length", respondAfterRequest("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nConnection: close\r\n\r\n\x08\x07"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"only an interim response", respondAfterRequest("HTTP/1.1 103 Early Hints\r\n\r\n"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"refused before start", refuseRequest, wire.Outcome_OUTCOME_NOT_RUN, runner.ReasonRefused, false},
		{"failed after start", respondAfterRequest(rawResponse("503 Service Unavailable", "application/json", `{"code":"unavailable","message":"disk full"}`)), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"plain 503", respondAfterRequest(rawResponse("503 Service Unavailable", "text/plain", "overloaded")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"408 before the request", func(_ *fakeUpstream, conn net.Conn) {
			_, _ = io.WriteString(conn, rawResponse("408 Request Timeout", "text/plain", ""))
		}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, true},
		{"redirect 307", respondAfterRequest(fmt.Sprintf(redirect, "307 Temporary Redirect")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"redirect 308", respondAfterRequest(fmt.Sprintf(redirect, "308 Permanent Redirect")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"response for another attempt", respondAfterRequest(rawResponse("200 OK", "application/proto", encodedRunResponse(runAttempt+1))), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"oversized response", respondAfterRequest(rawResponse("200 OK", "application/proto", strings.Repeat("x", maxRunResponse+1))), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"no response until the deadline", func(f *fakeUpstream, conn net.Conn) {
			f.readRequest(bufio.NewReader(conn))
			_, _ = io.Copy(io.Discard, conn)
		}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newFakeUpstream(t, c.serve)
			answer := dispatchOnce(t, upstream.address(), 0)
			notSent := c.maySeeCloseFirst && answer.Reason == runner.ReasonNotSent
			if !notSent && (answer.Outcome != c.outcome || answer.Reason != c.reason) {
				t.Errorf("reported %v %q, want %v %q", answer.Outcome, answer.Reason, c.outcome, c.reason)
			}
			checkAnswer(t, upstream, answer)
		})
	}
}

func TestOneShotConnWritesNothing(t *testing.T) {
	readOnly := func(f *fakeUpstream, conn net.Conn) { f.readRequest(bufio.NewReader(conn)) }
	cases := []struct {
		name        string
		clockOffset time.Duration
		isClosed    bool
		reason      runner.Reason
	}{
		{"deadline passes before the first write", 2 * time.Second, false, runner.ReasonNotSent},
		{"connection refused", 0, true, runner.ReasonNotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newFakeUpstream(t, readOnly)
			if c.isClosed {
				upstream.socket.Close()
			}
			answer := dispatchOnce(t, upstream.address(), c.clockOffset)
			if answer.Outcome != wire.Outcome_OUTCOME_NOT_RUN || answer.Reason != c.reason {
				t.Errorf("reported %v %q, want not-run %q", answer.Outcome, answer.Reason, c.reason)
			}
			checkAnswer(t, upstream, answer)
		})
	}
}

// dispatchOnce dispatches a granted request once. clockOffset is added to the time at which the first byte is about to be written.
func dispatchOnce(t *testing.T, address string, clockOffset time.Duration) runner.Answer {
	t.Helper()
	deadline := time.Now().Add(300 * time.Millisecond)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	run := runner.New(runner.Request{
		ClaimID:  "claim",
		Deadline: deadline,
	}, runAttempt, []runner.Target{{
		Address: address,
	}})
	run.Start(time.Now())
	step := run.HandleVerdict(time.Now(), &wire.ClaimResponse{
		Verdict: wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	})
	conn := newSender().OpenOneShot(ctx, address)
	defer conn.Close()
	result := conn.Send(ctx, step.Dispatch.Request, func(now time.Time) bool { return run.MayWrite(now.Add(clockOffset)) })
	return *run.HandleDispatchResult(time.Now(), result).Answer
}

// checkAnswer compares the outcome reported to the caller with the requests that the upstream started.
func checkAnswer(t *testing.T, upstream *fakeUpstream, answer runner.Answer) {
	t.Helper()
	started, connections := upstream.started.Load(), upstream.connections.Load()
	if started > 1 || connections > 1 {
		t.Errorf("%d requests over %d connections", started, connections)
	}
	if answer.Outcome == wire.Outcome_OUTCOME_NOT_RUN && started > 0 {
		t.Errorf("reported not-run, started %d", started)
	}
}

func closeMidRequest(_ *fakeUpstream, conn net.Conn) {
	_, _ = io.ReadFull(conn, make([]byte, 20))
}

// TestOneShotConnIsNotResentByNetHTTP guards against net/http resending a request with an Idempotency-Key when a reused connection is closed.
// It first shows that a standard client does so.
func TestOneShotConnIsNotResentByNetHTTP(t *testing.T) {
	respondOnceThenClose := func(f *fakeUpstream, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if f.connections.Load() > 1 {
			f.readRequest(reader)
			return
		}
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, rawResponse("200 OK", "text/plain", ""))
		}
		f.readRequest(reader)
	}
	keepAliveUpstream := newFakeUpstream(t, respondOnceThenClose)
	client := &http.Client{
		Transport: &http.Transport{},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		request, err := http.NewRequest(method, "http://"+keepAliveUpstream.address(), http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "restore-1")
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	if started := keepAliveUpstream.started.Load(); started != 2 {
		t.Errorf("net/http started the request %d times, want 2", started)
	}
	upstream := newFakeUpstream(t, respondAfterRequest(""))
	answer := dispatchOnce(t, upstream.address(), 0)
	checkAnswer(t, upstream, answer)
	if upstream.started.Load() != 1 || answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("started %d times, reported %v; want once and unknown", upstream.started.Load(), answer.Outcome)
	}
}

// BenchmarkDispatch compares ways to connect for a dispatch, with a connection that takes 6 ms to open and a claim that takes 3 ms to be granted.
func BenchmarkDispatch(b *testing.B) {
	const openTime, claimTime = 6 * time.Millisecond, 3 * time.Millisecond
	respondToAll := func(f *fakeUpstream, conn net.Conn) {
		time.Sleep(openTime)
		for reader := bufio.NewReader(conn); f.readRequest(reader); {
			_, _ = io.WriteString(conn, rawResponse("200 OK", "application/proto", encodedRunResponse(runAttempt)))
		}
	}
	alwaysWrite := func(time.Time) bool { return true }
	variants := []struct {
		name string
		send func(address string)
	}{
		{"new connection after the claim", func(address string) {
			time.Sleep(claimTime)
			conn := newSender().OpenOneShot(b.Context(), address)
			defer conn.Close()
			conn.Send(b.Context(), &wire.RunRequest{}, alwaysWrite)
		}},
		{"new connection during the claim", func(address string) {
			conn := newSender().OpenOneShot(b.Context(), address)
			defer conn.Close()
			time.Sleep(claimTime)
			conn.Send(b.Context(), &wire.RunRequest{}, alwaysWrite)
		}},
		{"reused connection, which can't detect a dead upstream before writing", func(address string) {
			time.Sleep(claimTime)
			client := wireconnect.NewUpstreamServiceClient(http.DefaultClient, "http://"+address)
			_, _ = client.Run(b.Context(), connect.NewRequest(&wire.RunRequest{}))
		}},
	}
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			upstream := newFakeUpstream(b, respondToAll)
			for b.Loop() {
				v.send(upstream.address())
			}
		})
	}
}

// newSender returns a sender that may open one connection for a run besides the one for searches.
func newSender() *Sender {
	return New(make(chan Result), func(context.Context, string) int { return 2 })
}
