package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

// limited returns a successful outcome that states a limit of so many requests a second.
func limited(perSecond float64) Outcome {
	outcome := replied(200)
	outcome.Notice = &balancer.Notice{
		RateLimit: limiter.RateLimit{
			IsStated:  true,
			PerSecond: perSecond,
		},
	}
	return outcome
}

// exhaust states a limit of one request in two seconds for the replica and uses up its next permit.
func exhaust(p *Policies, replica string) {
	r := p.Balancer.Find(replica)
	p.Balancer.RecordNotice(start, r, *limited(0.5).Notice)
	p.Balancer.RecordStart(start, r)
}

// TestLimitedReplicaLeavesRestToOthers checks that a replica gets as many attempts as its limit allows, that another one gets the rest, and that a response without a limit lifts it.
func TestLimitedReplicaLeavesRestToOthers(t *testing.T) {
	const perSecond = 2
	p := newPolicies(10, "one")
	replica := p.Balancer.Find("one-a")
	p.Balancer.RecordNotice(start, replica, *limited(perSecond).Notice)
	limitedAttempts := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		j := newJobAt(now, singleRoute(true), p)
		sent := j.Start(now)
		if len(sent) != 1 {
			t.Fatalf("%d attempts, decision %+v", len(sent), j.Decision())
		}
		outcome := replied(200)
		outcome.Notice = &balancer.Notice{}
		if sent[0].Replica == replica {
			limitedAttempts++
			outcome = limited(perSecond)
		}
		j.HandleOutcome(now.Add(time.Millisecond), sent[0], outcome)
	}
	if limitedAttempts < 18 || limitedAttempts > 22 {
		t.Errorf("the limited replica got %d attempts in 10 s, want 20", limitedAttempts)
	}
	p.Balancer.RecordNotice(start.Add(10*time.Second), replica, balancer.Notice{})
	if replica.Notice(start).RateLimit.IsStated {
		t.Error("limit still in force after a response without one")
	}
}

// TestLimitedShardsRefuseAtOnce checks that a request for which too few shards are within their limits is refused before anything is sent, with the time from which enough will be.
func TestLimitedShardsRefuseAtOnce(t *testing.T) {
	services := []string{"shard-0", "shard-1", "shard-2", "shard-3"}
	cases := []struct {
		name         string
		limited      int
		minShare     float64
		wantAttempts int
	}{
		{"one shard at its limit, three needed", 1, 0.75, 3},
		{"two shards at their limit, three needed", 2, 0.75, 0},
		{"one shard at its limit, all needed", 1, 1, 0},
	}
	for _, c := range cases {
		p := newPolicies(10, services...)
		for _, service := range services[:c.limited] {
			exhaust(p, service+"-a")
			exhaust(p, service+"-b")
		}
		route := shardedRoute(len(services), c.minShare)
		j := newJob(route, p)
		if attempts := j.Start(start); len(attempts) != c.wantAttempts {
			t.Errorf("%s: %d attempts, want %d", c.name, len(attempts), c.wantAttempts)
		}
		if c.wantAttempts > 0 {
			continue
		}
		d := j.Decision()
		if d == nil || d.Kind != Refused || d.Reason != ReasonLimited {
			t.Errorf("%s: decision %+v, want a refusal because of the limits", c.name, d)
			continue
		}
		back := start.Add(d.RetryAfter)
		if again := newJobAt(back, route, p); len(again.Start(back)) == 0 {
			t.Errorf("%s: refused again after Retry-After of %s", c.name, d.RetryAfter)
		}
	}
}

// TestLimitedReplicaIsNotHedgedTo checks that a replica at its limit gets no hedge.
func TestLimitedReplicaIsNotHedgedTo(t *testing.T) {
	p := newPolicies(10, "one")
	exhaust(p, "one-b")
	j := newJob(singleRoute(true), p)
	if attempts := j.Start(start); len(attempts) != 1 || attempts[0].Replica.ID != "one-a" {
		t.Fatalf("attempts %v", attempts)
	}
	for ms := range 90 {
		if hedges := j.Tick(start.Add(time.Duration(ms) * time.Millisecond)); len(hedges) != 0 {
			t.Fatalf("hedge to %s after %d ms", hedges[0].Replica.ID, ms)
		}
	}
}
