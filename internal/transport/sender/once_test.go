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

const onceAttempt = 7

// fakeUpstream speaks raw bytes, and counts the requests that it read whole and so may have started.
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

// start reads one whole request.
func (f *fakeUpstream) start(reader *bufio.Reader) bool {
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

// after reads one whole request, then writes the content and closes.
func after(content string) func(*fakeUpstream, net.Conn) {
	return func(f *fakeUpstream, conn net.Conn) {
		if f.start(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, content)
		}
	}
}

// refuse says what an upstream says that starts nothing.
func refuse(f *fakeUpstream, conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	detail, _ := connect.NewErrorDetail(&wire.NotStarted{
		Reason: "leaving",
	})
	value := base64.RawStdEncoding.EncodeToString(detail.Bytes())
	body := fmt.Sprintf(`{"code":"unavailable","details":[{"type":%q,"value":%q}]}`, detail.Type(), value)
	_, _ = io.WriteString(conn, reply("503 Service Unavailable", "application/json", body))
}

func reply(status, kind, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, kind, len(body), body)
}

func encodedReply(attempt uint64) string {
	encoded, _ := proto.Marshal(&wire.RunResponse{
		Attempt: attempt,
		Result:  "restored",
	})
	return string(encoded)
}

func TestOnceTellsNoMoreThanItKnows(t *testing.T) {
	whole := reply("200 OK", "application/proto", encodedReply(onceAttempt))
	redirect := "HTTP/1.1 %s\r\nLocation: /pimentogate.v1.UpstreamService/Run\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		serve   func(*fakeUpstream, net.Conn)
		outcome wire.Outcome
		reason  runner.Reason
		// seenFirst says that the cut may be seen before the first byte, and then counts as not sent.
		seenFirst bool
	}{
		{"whole reply", after(whole), wire.Outcome_OUTCOME_ANSWERED, runner.ReasonNone, false},
		{"cut before the first byte", func(*fakeUpstream, net.Conn) {}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, true},
		{"cut in the middle of the request", cutInRequest, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"cut after the request", after(""), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"cut in the reply's headers", after(whole[:40]), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"cut in the reply's body", after(whole[:len(whole)-3]), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"cut in a chunked reply", after("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\x08\x07\r\n"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"cut at a field of a reply without length", after("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nConnection: close\r\n\r\n\x08\x07"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"only an interim reply", after("HTTP/1.1 103 Early Hints\r\n\r\n"), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"refused before start", refuse, wire.Outcome_OUTCOME_NOT_RUN, runner.ReasonRefused, false},
		{"failed after start", after(reply("503 Service Unavailable", "application/json", `{"code":"unavailable","message":"disk full"}`)), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"plain 503", after(reply("503 Service Unavailable", "text/plain", "overloaded")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"408 before the request", func(_ *fakeUpstream, conn net.Conn) {
			_, _ = io.WriteString(conn, reply("408 Request Timeout", "text/plain", ""))
		}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, true},
		{"redirect 307", after(fmt.Sprintf(redirect, "307 Temporary Redirect")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"redirect 308", after(fmt.Sprintf(redirect, "308 Permanent Redirect")), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"reply for another attempt", after(reply("200 OK", "application/proto", encodedReply(onceAttempt+1))), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"oversized reply", after(reply("200 OK", "application/proto", strings.Repeat("x", maxRunReply+1))), wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
		{"no reply until the deadline", func(f *fakeUpstream, conn net.Conn) {
			f.start(bufio.NewReader(conn))
			_, _ = io.Copy(io.Discard, conn)
		}, wire.Outcome_OUTCOME_UNKNOWN, runner.ReasonLostReply, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newFakeUpstream(t, c.serve)
			answer := dispatchOnce(t, upstream.address(), 0)
			notSent := c.seenFirst && answer.Reason == runner.ReasonNotSent
			if !notSent && (answer.Outcome != c.outcome || answer.Reason != c.reason) {
				t.Errorf("told %v %q, want %v %q", answer.Outcome, answer.Reason, c.outcome, c.reason)
			}
			checkTold(t, upstream, answer)
		})
	}
}

func TestOnceWritesNothing(t *testing.T) {
	silent := func(f *fakeUpstream, conn net.Conn) { f.start(bufio.NewReader(conn)) }
	cases := []struct {
		name   string
		paused time.Duration
		closed bool
		reason runner.Reason
	}{
		{"the deadline passes between decision and write", 2 * time.Second, false, runner.ReasonNotSent},
		{"nobody listens", 0, true, runner.ReasonNotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newFakeUpstream(t, silent)
			if c.closed {
				upstream.socket.Close()
			}
			answer := dispatchOnce(t, upstream.address(), c.paused)
			if answer.Outcome != wire.Outcome_OUTCOME_NOT_RUN || answer.Reason != c.reason {
				t.Errorf("told %v %q, want not-run %q", answer.Outcome, answer.Reason, c.reason)
			}
			checkTold(t, upstream, answer)
		})
	}
}

// dispatchOnce runs a granted request through one dispatch; paused is how much later the clock stands when the first byte is to be written.
func dispatchOnce(t *testing.T, address string, paused time.Duration) runner.Answer {
	t.Helper()
	deadline := time.Now().Add(300 * time.Millisecond)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	run := runner.New(runner.Request{
		ClaimID:  "claim",
		Deadline: deadline,
	}, onceAttempt, []runner.Target{{
		Address: address,
	}})
	run.Start(time.Now())
	step := run.HandleVerdict(time.Now(), &wire.ClaimResponse{
		Verdict: wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	})
	once := newSender().Open(ctx, address)
	defer once.Close()
	end := once.Send(ctx, step.Dispatch.Request, func(now time.Time) bool { return run.MayWrite(now.Add(paused)) })
	return *run.HandleDispatchResult(time.Now(), end).Answer
}

// checkTold compares what a caller is told with what the upstream started.
func checkTold(t *testing.T, upstream *fakeUpstream, answer runner.Answer) {
	t.Helper()
	started, connections := upstream.started.Load(), upstream.connections.Load()
	if started > 1 || connections > 1 {
		t.Errorf("%d requests over %d connections", started, connections)
	}
	if answer.Outcome == wire.Outcome_OUTCOME_NOT_RUN && started > 0 {
		t.Errorf("told not-run, started %d", started)
	}
}

func cutInRequest(_ *fakeUpstream, conn net.Conn) {
	_, _ = io.ReadFull(conn, make([]byte, 20))
}

// TestOnceIsNotResentByTheLibrary shows the trap first: net/http itself sends a request with a key again when its kept connection dies.
func TestOnceIsNotResentByTheLibrary(t *testing.T) {
	keepThenDie := func(f *fakeUpstream, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if f.connections.Load() > 1 {
			f.start(reader)
			return
		}
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, reply("200 OK", "text/plain", ""))
		}
		f.start(reader)
	}
	trap := newFakeUpstream(t, keepThenDie)
	client := &http.Client{
		Transport: &http.Transport{},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		request, err := http.NewRequest(method, "http://"+trap.address(), http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "restore-1")
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	if started := trap.started.Load(); started != 2 {
		t.Errorf("the library's client started the request %d times; the trap is set for 2", started)
	}
	upstream := newFakeUpstream(t, after(""))
	answer := dispatchOnce(t, upstream.address(), 0)
	checkTold(t, upstream, answer)
	if upstream.started.Load() != 1 || answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("started %d times, told %v", upstream.started.Load(), answer.Outcome)
	}
}

// BenchmarkDispatch compares ways to have a connection that takes 6 ms to open, with a claim that takes 3 ms to be granted.
func BenchmarkDispatch(b *testing.B) {
	const openTime, claimTime = 6 * time.Millisecond, 3 * time.Millisecond
	answerAll := func(f *fakeUpstream, conn net.Conn) {
		time.Sleep(openTime)
		for reader := bufio.NewReader(conn); f.start(reader); {
			_, _ = io.WriteString(conn, reply("200 OK", "application/proto", encodedReply(onceAttempt)))
		}
	}
	always := func(time.Time) bool { return true }
	ways := []struct {
		name string
		send func(address string)
	}{
		{"fresh after the claim", func(address string) {
			time.Sleep(claimTime)
			once := newSender().Open(b.Context(), address)
			defer once.Close()
			once.Send(b.Context(), &wire.RunRequest{}, always)
		}},
		{"fresh during the claim", func(address string) {
			once := newSender().Open(b.Context(), address)
			defer once.Close()
			time.Sleep(claimTime)
			once.Send(b.Context(), &wire.RunRequest{}, always)
		}},
		{"kept, which cannot tell a dead upstream before writing", func(address string) {
			time.Sleep(claimTime)
			client := wireconnect.NewUpstreamServiceClient(http.DefaultClient, "http://"+address)
			_, _ = client.Run(b.Context(), connect.NewRequest(&wire.RunRequest{}))
		}},
	}
	for _, w := range ways {
		b.Run(w.name, func(b *testing.B) {
			upstream := newFakeUpstream(b, answerAll)
			for b.Loop() {
				w.send(upstream.address())
			}
		})
	}
}

// newSender returns a sender that may open one connection for a run beside that for searches.
func newSender() *Sender {
	return New(make(chan End), func(context.Context, string) int { return 2 })
}
