package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func newBalancer(zones ...string) *Balancer {
	b := New("a", rand.New(rand.NewPCG(1, 2)))
	for i, zone := range zones {
		b.Put(Replica{
			ID:      fmt.Sprintf("r%d", i),
			Service: "shard",
			Address: fmt.Sprintf("10.0.0.%d:1", i),
			Zone:    zone,
			Slots:   2,
		})
	}
	return b
}

func acceptAny(*ReplicaState) bool { return true }

// countPicks returns how often each replica is picked in 100 picks, none of which starts an attempt.
func countPicks(b *Balancer, now time.Time) map[string]int {
	counts := map[string]int{}
	for range 100 {
		counts[b.Pick(now, "shard", acceptAny).ID]++
	}
	return counts
}

func TestPick(t *testing.T) {
	later := start.Add(time.Millisecond)
	cases := []struct {
		name  string
		zones []string
		setup func(b *Balancer)
		// minPicks is how many of 100 picks must go to the replica.
		replica  string
		minPicks int
	}{
		{"prefers own zone", []string{"a", "b"}, func(*Balancer) {}, "r0", 95},
		{"prefers lower latency", []string{"a", "b"}, func(b *Balancer) {
			for range 20 {
				b.RecordSuccess(start, b.Find("r0"), "search", 50*time.Millisecond)
				b.RecordSuccess(start, b.Find("r1"), "search", 5*time.Millisecond)
			}
		}, "r1", 95},
		{"avoids attempts in flight", []string{"a", "b"}, func(b *Balancer) {
			for range 4 {
				b.RecordStart(start, b.Find("r0"))
			}
		}, "r1", 95},
		{"avoids stalled replica", []string{"a", "b"}, func(b *Balancer) {
			b.RecordSuccess(start, b.Find("r0"), "search", 2*time.Millisecond)
			b.RecordSuccess(start, b.Find("r1"), "search", 2*time.Millisecond)
			b.RecordStart(start.Add(-50*time.Millisecond), b.Find("r0"))
		}, "r1", 95},
		{"avoids failed replica", []string{"a", "b"}, func(b *Balancer) { b.RecordFailure(start, b.Find("r0")) }, "r1", 95},
		{"uses failed replica if there is no other", []string{"a"}, func(b *Balancer) { b.RecordFailure(start, b.Find("r0")) }, "r0", 100},
		{"avoids lost replica", []string{"a", "b"}, func(b *Balancer) {
			lost := b.Find("r0").Replica
			lost.Lost = true
			b.Put(lost)
		}, "r1", 100},
	}
	for _, c := range cases {
		b := newBalancer(c.zones...)
		c.setup(b)
		if got := countPicks(b, later)[c.replica]; got < c.minPicks {
			t.Errorf("%s: %s picked %d of 100 times", c.name, c.replica, got)
		}
	}
}

// TestBackoffEndsWithOneAttempt checks that a replica that failed is probed by one attempt at a time, and used again once it has answered.
func TestBackoffEndsWithOneAttempt(t *testing.T) {
	b := newBalancer("a", "b")
	r := b.Find("r0")
	b.RecordFailure(start, r)
	now := start.Add(initialBackoff + time.Millisecond)
	if b.Pick(now, "shard", acceptAny) != r {
		t.Fatal("not probed after its backoff")
	}
	b.RecordStart(now, r)
	if got := countPicks(b, now)["r0"]; got > 5 {
		t.Errorf("picked %d of 100 times while the probe is in flight", got)
	}
	b.RecordEnd(r, now)
	b.RecordSuccess(start, r, "search", time.Millisecond)
	if got := countPicks(b, now)["r0"]; got < 95 {
		t.Errorf("picked %d of 100 times after it had answered", got)
	}
	if b.Pick(now, "shard", func(s *ReplicaState) bool { return s.ID == "r9" }) != nil {
		t.Error("picked a replica that accept rejects")
	}
}

func TestChangedAddressResetsState(t *testing.T) {
	b := newBalancer("a")
	b.RecordFailure(start, b.Find("r0"))
	moved := b.Find("r0").Replica
	moved.Address = "10.0.0.9:1"
	b.Put(moved)
	if b.Find("r0").IsBackingOff(start) || b.ReplicaCount(start, "shard") != 1 {
		t.Error("state of the old address applies to the new one")
	}
	b.Remove("r0")
	if b.ReplicaCount(start, "shard") != 0 || b.Pick(start, "shard", acceptAny) != nil {
		t.Error("removed replica is still present")
	}
}
