package scatterer

import (
	"fmt"
	"testing"

	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

// TestRunsOfOtherInstance guards against a request that another instance has sent before running on more replicas of a service than its route allows.
func TestRunsOfOtherInstance(t *testing.T) {
	cases := []struct {
		name string
		runs map[string]int
		// arrivals is how many attempts of each shard may be sent, all of which fail.
		arrivals map[string]int
		kind     DecisionKind
	}{
		{"sent nowhere", nil, map[string]int{"shard-0": 2, "shard-1": 2}, Failed},
		{"sent once", map[string]int{"shard-0": 1, "shard-1": 1}, map[string]int{"shard-0": 1, "shard-1": 1}, Failed},
		{"sent as often as allowed", map[string]int{"shard-0": 2, "shard-1": 2}, map[string]int{}, Failed},
		{"one shard", map[string]int{"shard-1": 2}, map[string]int{"shard-0": 2}, Failed},
	}
	for _, c := range cases {
		route := shardedRoute(2, 0.5)
		p := newPolicies(100, route.Shards...)
		j := New(Request{
			Route:     route,
			ArrivedAt: start,
			Runs:      c.runs,
		}, p)
		arrivals := map[string]int{}
		now := start
		for attempts := j.Start(now); len(attempts) > 0; {
			now = now.Add(time.Millisecond)
			arrivals[attempts[0].Service]++
			attempts = append(attempts[1:], j.HandleOutcome(now, attempts[0], outcomeOf(OutcomeBroken))...)
		}
		for _, service := range route.Shards {
			if arrivals[service] != c.arrivals[service] {
				t.Errorf("%s: %d attempts at %s, want %d", c.name, arrivals[service], service, c.arrivals[service])
			}
			if total := j.Runs()[service]; total > route.MaxRuns {
				t.Errorf("%s: %d runs at %s", c.name, total, service)
			}
		}
		if d := j.Decision(); d == nil || d.Kind != c.kind {
			t.Errorf("%s: decision %+v", c.name, d)
		}
	}
}

// TestRunElsewhereIsNotRefused guards against telling a caller that its request has not run although another instance has sent it.
func TestRunElsewhereIsNotRefused(t *testing.T) {
	route := shardedRoute(2, 0.5)
	for _, runs := range []map[string]int{nil, {"shard-0": 1}} {
		j := New(Request{
			Route:     route,
			ArrivedAt: start,
			Runs:      runs,
		}, newPolicies(100))
		j.Start(start)
		want := Refused
		if len(runs) > 0 {
			want = Failed
		}
		if d := j.Decision(); d == nil || d.Kind != want || d.RetryAfter == 0 {
			t.Errorf("runs %v: decision %+v, want %s", runs, d, want)
		}
	}
}

// TestUnsentAttemptIsRetried guards against an attempt after one that a peer did not send counting as a further request in the retry budget.
func TestUnsentAttemptIsRetried(t *testing.T) {
	route := shardedRoute(2, 1)
	j := newJob(route, newPolicies(100, route.Shards...))
	next := j.HandleOutcome(start, j.Start(start)[0], Outcome{
		Kind:  OutcomeUnsent,
		Cause: CausePeerFailed,
	})
	if len(next) != 1 || next[0].Kind != AttemptRetry {
		t.Errorf("%d attempts, want a retry", len(next))
	}
}

// TestReplicasThatTakeNoConnection guards against a request being refused because the first replicas tried have ended, while others would serve it.
func TestReplicasThatTakeNoConnection(t *testing.T) {
	const ended, replicas = 9, 16
	p := newPolicies(10)
	for i := range replicas {
		p.Balancer.Put(balancer.Replica{
			ID:      fmt.Sprintf("one-%d", i),
			Service: "one",
			Zone:    "a",
		})
	}
	j := newJob(singleRoute(false), p)
	attempts := j.Start(start)
	for range ended {
		if len(attempts) != 1 {
			t.Fatalf("decision %+v before all replicas were tried", j.Decision())
		}
		attempts = j.HandleOutcome(start, attempts[0], Outcome{
			Kind:         OutcomeUnsent,
			NoConnection: true,
		})
	}
	if len(attempts) != 1 {
		t.Fatalf("decision %+v, want an attempt at the next replica", j.Decision())
	}
	j.HandleOutcome(start, attempts[0], replied(200))
	if d := j.Decision(); d == nil || d.Kind != Relayed {
		t.Errorf("decision %+v", d)
	}
}
