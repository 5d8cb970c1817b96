package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// connectionReset scripts a call whose connection is aborted without a response.
const connectionReset = ""

// scriptedServer returns the scripted answers in order, repeating the last one, and records the requests.
type scriptedServer struct {
	mutex   sync.Mutex
	answers []string
	bodies  []runBody
	times   []time.Time
}

// ServeHTTP writes the next answer, or aborts the connection.
func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	content, _ := io.ReadAll(request.Body)
	var body runBody
	_ = json.Unmarshal(content, &body)
	s.mutex.Lock()
	answer := s.answers[min(len(s.bodies), len(s.answers)-1)]
	s.bodies = append(s.bodies, body)
	s.times = append(s.times, time.Now())
	s.mutex.Unlock()
	if answer == connectionReset {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// TestRunOutcomeIsConservative checks that Run returns NotRun only if no call can have run, and Unknown if one may have.
func TestRunOutcomeIsConservative(t *testing.T) {
	const (
		answered                          = `{"outcome":"answered","result":"done","repeated":true}`
		refusedEarlierUnknown             = `{"outcome":"not-run","reason":"control-unreachable","earlier-calls":"unknown","retry-after-ms":50}`
		refusedEarlierNone                = `{"outcome":"not-run","reason":"upstream-refused","earlier-calls":"none","retry-after-ms":50}`
		refusedFinally                    = `{"outcome":"not-run","reason":"key-conflict","earlier-calls":"unknown"}`
		inProgress                        = `{"outcome":"unknown","reason":"in-progress","retry-after-ms":50}`
		lostReply                         = `{"outcome":"unknown","reason":"lost-reply"}`
		refusedEarlierUnknownPastDeadline = `{"outcome":"not-run","reason":"tenant-limit","earlier-calls":"unknown","retry-after-ms":5000}`
		refusedEarlierNonePastDeadline    = `{"outcome":"not-run","reason":"upstream-refused","earlier-calls":"none","retry-after-ms":5000}`
		balancerErrorPage                 = `<html>502 Bad Gateway</html>`
	)
	cases := []struct {
		name    string
		answers []string
		outcome string
		calls   int
	}{
		{"answered by the first call", []string{answered}, Answered, 1},
		{"response lost, then answered", []string{connectionReset, answered}, Answered, 2},
		{"response lost, then in progress, then answered", []string{connectionReset, inProgress, answered}, Answered, 3},
		{"error page of a load balancer, then answered", []string{balancerErrorPage, answered}, Answered, 2},
		{"refused with a retry delay, then answered", []string{refusedEarlierUnknown, answered}, Answered, 2},
		{"refused with a retry delay past the deadline", []string{refusedEarlierUnknownPastDeadline}, NotRun, 1},
		{"response lost, then refused without knowledge of earlier calls", []string{connectionReset, refusedEarlierUnknownPastDeadline}, Unknown, 2},
		{"response lost, then refused with no earlier call run", []string{connectionReset, refusedEarlierNonePastDeadline}, NotRun, 2},
		{"in progress, then refused with no earlier call run", []string{inProgress, refusedEarlierNone, refusedEarlierNonePastDeadline}, NotRun, 3},
		{"unknown without a retry delay", []string{lostReply}, Unknown, 1},
		{"refused without a retry delay", []string{refusedFinally}, NotRun, 1},
		{"response lost, then refused without a retry delay", []string{connectionReset, refusedFinally}, Unknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedServer{
				answers: c.answers,
			}
			answer, err := runOnce(t, s, time.Second)
			if err != nil || answer.Outcome != c.outcome || answer.Calls != c.calls {
				t.Errorf("got %+v, error %v; want %s after %d calls", answer, err, c.outcome, c.calls)
			}
			checkResends(t, s)
		})
	}
}

func runOnce(t *testing.T, handler http.Handler, timeout time.Duration) (*RunAnswer, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return New(server.Client(), []string{server.Listener.Addr().String()}).Run(ctx, "tenants", Run{
		Key:     "restore-1",
		KeyTime: time.Unix(1_000_000, 5000),
		Body:    "mailbox",
	})
}

// checkResends checks that every call has the same key, key time and body and the right resend number, and that none comes before its retry delay has passed.
func checkResends(t *testing.T, s *scriptedServer) {
	t.Helper()
	for i, body := range s.bodies {
		first := s.bodies[0]
		if body.Key != first.Key || body.KeyTime != first.KeyTime || body.Body != first.Body {
			t.Errorf("call %d differs from the first: %+v", i, body)
		}
		if i == 0 {
			continue
		}
		var previous RunAnswer
		_ = json.Unmarshal([]byte(s.answers[min(i-1, len(s.answers)-1)]), &previous)
		wantResend := s.bodies[i-1].Resend
		if previous.Outcome != NotRun {
			wantResend++
		}
		if body.Resend != wantResend {
			t.Errorf("call %d after outcome %q has resend number %d, want %d", i, previous.Outcome, body.Resend, wantResend)
		}
		if waitedMs := s.times[i].Sub(s.times[i-1]).Milliseconds(); waitedMs < previous.RetryAfterMs {
			t.Errorf("call %d was sent after %d ms, before its retry delay of %d ms", i, waitedMs, previous.RetryAfterMs)
		}
	}
}

func TestRunWithoutAnAnswerIsUnknown(t *testing.T) {
	answer, err := runOnce(t, &scriptedServer{
		answers: []string{connectionReset},
	}, 200*time.Millisecond)
	if err != nil || answer.Outcome != Unknown || answer.Calls < 2 {
		t.Errorf("got %+v, error %v; want outcome unknown after at least 2 calls", answer, err)
	}
}

func TestInvalidRequestReturnsRequestError(t *testing.T) {
	_, err := runOnce(t, &scriptedServer{
		answers: []string{`{"outcome":"not-run","field":"key","reason":"must not be empty"}`},
	}, time.Second)
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || requestErr.Field != "key" {
		t.Errorf("got error %v, want a RequestError for field key", err)
	}
}

func TestQueryRetries(t *testing.T) {
	s := &scriptedServer{
		answers: []string{connectionReset, `{"outcome":"not-run","reason":"overload","retry-after-ms":30}`, `{"outcome":"answered","coverage":1}`},
	}
	server := httptest.NewServer(s)
	defer server.Close()
	answer, err := New(server.Client(), []string{server.Listener.Addr().String()}).Query(t.Context(), "tenants", Query{
		Query: "bakery",
	})
	if err != nil || answer.Outcome != Answered || len(s.times) != 3 {
		t.Errorf("got %+v, error %v after %d calls; want an answer after 3", answer, err, len(s.times))
	}
}
