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

const lost = ""

// scripted answers one call after the other, and keeps what it was sent.
type scripted struct {
	mutex   sync.Mutex
	answers []string
	bodies  []runBody
	times   []time.Time
}

// ServeHTTP cuts the connection where an answer is lost; the last answer stays.
func (s *scripted) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	content, _ := io.ReadAll(request.Body)
	var body runBody
	_ = json.Unmarshal(content, &body)
	s.mutex.Lock()
	answer := s.answers[min(len(s.bodies), len(s.answers)-1)]
	s.bodies = append(s.bodies, body)
	s.times = append(s.times, time.Now())
	s.mutex.Unlock()
	if answer == lost {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func TestRunTellsNoMoreThanItKnows(t *testing.T) {
	const (
		answered   = `{"outcome":"answered","result":"done","repeated":true}`
		refused    = `{"outcome":"not-run","reason":"control-unreachable","earlier-calls":"unknown","retry-after-ms":50}`
		none       = `{"outcome":"not-run","reason":"upstream-refused","earlier-calls":"none","retry-after-ms":50}`
		forGood    = `{"outcome":"not-run","reason":"key-conflict","earlier-calls":"unknown"}`
		inProgress = `{"outcome":"unknown","reason":"in-progress","retry-after-ms":50}`
		lostReply  = `{"outcome":"unknown","reason":"lost-reply"}`
		tooLate    = `{"outcome":"not-run","reason":"tenant-limit","earlier-calls":"unknown","retry-after-ms":5000}`
		noneLate   = `{"outcome":"not-run","reason":"upstream-refused","earlier-calls":"none","retry-after-ms":5000}`
		page       = `<html>502 Bad Gateway</html>`
	)
	cases := []struct {
		name    string
		answers []string
		outcome string
		calls   int
	}{
		{"answered at once", []string{answered}, Answered, 1},
		{"the answer lost, then recorded", []string{lost, answered}, Answered, 2},
		{"the answer lost, then in progress, then recorded", []string{lost, inProgress, answered}, Answered, 3},
		{"a balancer's page, then recorded", []string{page, answered}, Answered, 2},
		{"refused, then answered", []string{refused, answered}, Answered, 2},
		{"the first call refused for longer than there is time", []string{tooLate}, NotRun, 1},
		{"the answer lost, then refused: the first may have run", []string{lost, tooLate}, Unknown, 2},
		{"the answer lost, then told that no earlier call ran", []string{lost, noneLate}, NotRun, 2},
		{"in progress, then told that no earlier call ran", []string{inProgress, none, noneLate}, NotRun, 3},
		{"not known for good", []string{lostReply}, Unknown, 1},
		{"refused for good", []string{forGood}, NotRun, 1},
		{"the answer lost, then refused for good", []string{lost, forGood}, Unknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scripted{
				answers: c.answers,
			}
			answer, err := runOnce(t, s, time.Second)
			if err != nil || answer.Outcome != c.outcome || answer.Calls != c.calls {
				t.Errorf("%+v, %v; want %s after %d calls", answer, err, c.outcome, c.calls)
			}
			checkResends(t, s)
		})
	}
}

func runOnce(t *testing.T, handler http.Handler, limit time.Duration) (*RunAnswer, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return New(server.Client(), []string{server.Listener.Addr().String()}).Run(ctx, "tenants", Run{
		Key:     "restore-1",
		KeyTime: time.Unix(1_000_000, 5000),
		Body:    "mailbox",
	})
}

// checkResends wants the same key, time and body in every call, numbered, and no call before its time.
func checkResends(t *testing.T, s *scripted) {
	t.Helper()
	for i, body := range s.bodies {
		first := s.bodies[0]
		if body.Key != first.Key || body.KeyTime != first.KeyTime || body.Body != first.Body {
			t.Errorf("call %d: %+v", i, body)
		}
		if i == 0 {
			continue
		}
		var before RunAnswer
		_ = json.Unmarshal([]byte(s.answers[min(i-1, len(s.answers)-1)]), &before)
		number := s.bodies[i-1].Resend
		if before.Outcome != NotRun {
			number++
		}
		if body.Resend != number {
			t.Errorf("call %d after %q is numbered %d, want %d", i, before.Outcome, body.Resend, number)
		}
		if waited := s.times[i].Sub(s.times[i-1]).Milliseconds(); waited < before.RetryAfterMs {
			t.Errorf("call %d came after %d ms, told to wait %d", i, waited, before.RetryAfterMs)
		}
	}
}

func TestRunWithoutAnAnswerIsUnknown(t *testing.T) {
	answer, err := runOnce(t, &scripted{
		answers: []string{lost},
	}, 200*time.Millisecond)
	if err != nil || answer.Outcome != Unknown || answer.Calls < 2 {
		t.Errorf("%+v, %v", answer, err)
	}
}

func TestMistakesComeAsErrors(t *testing.T) {
	_, err := runOnce(t, &scripted{
		answers: []string{`{"outcome":"not-run","field":"key","reason":"must not be empty"}`},
	}, time.Second)
	var mistake *RequestError
	if !errors.As(err, &mistake) || mistake.Field != "key" {
		t.Errorf("%v", err)
	}
}

func TestQueryAsksAgain(t *testing.T) {
	s := &scripted{
		answers: []string{lost, `{"outcome":"not-run","reason":"overload","retry-after-ms":30}`, `{"outcome":"answered","coverage":1}`},
	}
	server := httptest.NewServer(s)
	defer server.Close()
	answer, err := New(server.Client(), []string{server.Listener.Addr().String()}).Query(t.Context(), "tenants", Query{
		Query: "bakery",
	})
	if err != nil || answer.Outcome != Answered || len(s.times) != 3 {
		t.Errorf("%+v, %v after %d calls", answer, err, len(s.times))
	}
}
