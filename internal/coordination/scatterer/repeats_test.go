package scatterer

import (
	"testing"
	"time"
)

// TestScarceBudgetIsKept checks which requests may use a retry budget that is nearly exhausted: not one that has its minimum share of shards, and not one that can't reach it any more. Each repeat of such a request would be missing from one that it could bring to an answer.
func TestScarceBudgetIsKept(t *testing.T) {
	const shards = 10
	cases := map[string]struct {
		// answered shards have a reply, and exhausted ones are rejected with an empty budget. One more is rejected, and its budget is short.
		answered, exhausted int
		minShare            float64
		wantRetries         int
	}{
		"needs the repeat":        {8, 1, 0.9, 1},
		"has its minimum share":   {8, 1, 0.8, 0},
		"can't reach the minimum": {7, 2, 0.9, 0},
		"others may still answer": {5, 1, 0.9, 1},
	}
	for name, c := range cases {
		route := shardedRoute(shards, c.minShare)
		p := newPolicies(4, route.Shards...)
		last := route.Shards[shards-1]
		for range 3 {
			p.RetryBudget(last).TryRepeat(start)
		}
		for i := range c.exhausted {
			for p.RetryBudget(route.Shards[c.answered+i]).TryRepeat(start) {
			}
		}
		j := newJob(route, p)
		attempts := j.Start(start)
		now := start.Add(time.Millisecond)
		for _, a := range attempts[:c.answered] {
			j.HandleOutcome(now, a, replied(200))
		}
		for _, a := range attempts[c.answered : c.answered+c.exhausted] {
			j.HandleOutcome(now, a, outcomeOf(OutcomeRejected))
		}
		if retries := j.HandleOutcome(now, attempts[shards-1], outcomeOf(OutcomeRejected)); len(retries) != c.wantRetries {
			t.Errorf("%s: %d retries, want %d", name, len(retries), c.wantRetries)
		}
	}
}
