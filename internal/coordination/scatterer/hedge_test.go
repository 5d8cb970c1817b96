package scatterer

import (
	"testing"
	"time"
)

// TestHedgeMayStillBeInTime checks that a straggler is hedged so early that the reply to the hedge can be part of the answer, also while attempts usually take much of the target latency.
func TestHedgeMayStillBeInTime(t *testing.T) {
	const shards = 10
	route := shardedRoute(shards, 0.95)
	for _, latency := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 45 * time.Millisecond, 50 * time.Millisecond} {
		p := newPolicies(100, route.Shards...)
		for range 300 {
			p.Balancer.RecordSuccess(start, p.Balancer.Find(route.Shards[0]+"-a"), route.Name, latency)
		}
		j := newJob(route, p)
		attempts := j.Start(start)
		for _, a := range attempts[1:] {
			j.HandleOutcome(start.Add(latency), a, replied(200))
		}
		hedges, sentAt := tickUntilSent(j, route.TargetLatency)
		if len(hedges) != 1 {
			t.Fatalf("%s: %d hedges", latency, len(hedges))
		}
		j.HandleOutcome(sentAt.Add(latency), hedges[0], replied(200))
		if d := j.Decision(); d == nil || d.Kind != Gathered || sentAt.Add(latency).After(j.softDeadline) {
			t.Errorf("attempts take %s: hedged after %s, with a soft deadline of %s", latency, sentAt.Sub(start), j.softDeadline.Sub(start))
		}
	}
}

// TestHangingReplicaIsHedgedLate checks that a request to one service whose replica hangs is hedged after the soft deadline as well, if no other replica was free before. A late answer is better than none.
func TestHangingReplicaIsHedgedLate(t *testing.T) {
	route := singleRoute(true)
	p := newPolicies(10, "one")
	j := newJob(route, p)
	first := j.Start(start)[0]
	other := p.Balancer.Find("one-a")
	if first.Replica == other {
		other = p.Balancer.Find("one-b")
	}
	for range other.Slots {
		p.Balancer.RecordStart(start, other)
	}
	if hedges, _ := tickUntilSent(j, j.softDeadline.Sub(start)); len(hedges) > 0 {
		t.Fatalf("hedged at a replica without a free slot: %+v", hedges[0])
	}
	late := j.softDeadline.Add(50 * time.Millisecond)
	j.GiveUp(late)
	j.Tick(late)
	for range other.Slots {
		p.Balancer.RecordEnd(other, start)
	}
	if hedges := j.Tick(late.Add(recheckInterval)); len(hedges) != 1 {
		t.Errorf("%d hedges after the soft deadline, want 1", len(hedges))
	}
}
