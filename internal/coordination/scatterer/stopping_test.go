package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// TestCanFinish guards against requests that a stopping instance takes and has to cut off, and against refusing those that it can answer.
func TestCanFinish(t *testing.T) {
	const target, work = 80 * time.Millisecond, 100 * time.Millisecond
	cases := []struct {
		name              string
		left              time.Duration
		target, work      time.Duration
		timeout, deadline time.Duration
		once              bool
		want              bool
	}{
		{"much time left", 2 * time.Second, target, work, 4 * time.Second, 4 * time.Second, false, true},
		{"less than the work", 300 * time.Millisecond, target, work, 4 * time.Second, 4 * time.Second, false, false},
		{"less than the target", 100 * time.Millisecond, target, 0, 4 * time.Second, 4 * time.Second, false, false},
		{"may not be sent again", 500 * time.Millisecond, target, work, 4 * time.Second, 4 * time.Second, true, false},
		{"may be sent again", 500 * time.Millisecond, target, work, 4 * time.Second, 4 * time.Second, false, true},
		{"deadline before the end", 50 * time.Millisecond, target, work, 4 * time.Second, 40 * time.Millisecond, true, true},
		{"timeout before the end", 50 * time.Millisecond, target, work, 40 * time.Millisecond, 0, true, true},
		{"nothing is known", 3 * time.Second, 0, 0, 4 * time.Second, 0, false, false},
		{"nothing is known and the timeout is before the end", 5 * time.Second, 0, 0, 4 * time.Second, 0, true, true},
		{"no time left", 0, target, work, 4 * time.Second, 0, false, false},
	}
	now := time.Unix(1000, 0)
	for _, c := range cases {
		request := &Request{
			Route: &matcher.Route{
				Idempotent:    !c.once,
				TargetLatency: c.target,
				Timeout:       c.timeout,
			},
			ArrivedAt: now,
		}
		if c.deadline > 0 {
			request.Deadline = now.Add(c.deadline)
		}
		if got := CanFinish(request, c.work, now, now.Add(c.left)); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
