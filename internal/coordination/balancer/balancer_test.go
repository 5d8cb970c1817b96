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

func all(*State) bool { return true }

// picks returns how often each replica is chosen of a hundred times, each answered before the next.
func picks(b *Balancer, now time.Time) map[string]int {
	counts := map[string]int{}
	for range 100 {
		counts[b.Pick(now, "shard", all).ID]++
	}
	return counts
}

func TestPick(t *testing.T) {
	later := start.Add(time.Millisecond)
	cases := []struct {
		name  string
		zones []string
		play  func(b *Balancer)
		// least is how many of a hundred picks must go to the replica.
		replica string
		least   int
	}{
		{"own zone first", []string{"a", "b"}, func(*Balancer) {}, "r0", 95},
		{"the quicker one", []string{"a", "b"}, func(b *Balancer) {
			for range 20 {
				b.Answered(b.Find("r0"), "search", 50*time.Millisecond)
				b.Answered(b.Find("r1"), "search", 5*time.Millisecond)
			}
		}, "r1", 95},
		{"not the one with work in flight", []string{"a", "b"}, func(b *Balancer) {
			for range 4 {
				b.Sent(start, b.Find("r0"))
			}
		}, "r1", 95},
		{"not the one that stands still", []string{"a", "b"}, func(b *Balancer) {
			b.Answered(b.Find("r0"), "search", 2*time.Millisecond)
			b.Answered(b.Find("r1"), "search", 2*time.Millisecond)
			b.Sent(start.Add(-50*time.Millisecond), b.Find("r0"))
		}, "r1", 95},
		{"not the one that failed", []string{"a", "b"}, func(b *Balancer) { b.Failed(start, b.Find("r0")) }, "r1", 95},
		{"the last one, though it failed", []string{"a"}, func(b *Balancer) { b.Failed(start, b.Find("r0")) }, "r0", 100},
		{"not one that nobody hears", []string{"a", "b"}, func(b *Balancer) {
			lost := b.Find("r0").Replica
			lost.Lost = true
			b.Put(lost)
		}, "r1", 100},
	}
	for _, c := range cases {
		b := newBalancer(c.zones...)
		c.play(b)
		if got := picks(b, later)[c.replica]; got < c.least {
			t.Errorf("%s: %s is picked %d of 100 times", c.name, c.replica, got)
		}
	}
}

// TestRestEndsWithOneAttempt holds that a replica which failed is tried by one attempt at a time, and used again once it has answered.
func TestRestEndsWithOneAttempt(t *testing.T) {
	b := newBalancer("a", "b")
	r := b.Find("r0")
	b.Failed(start, r)
	now := start.Add(firstRest + time.Millisecond)
	if b.Pick(now, "shard", all) != r {
		t.Fatal("not tried after its rest")
	}
	b.Sent(now, r)
	if got := picks(b, now)["r0"]; got > 5 {
		t.Errorf("picked %d of 100 times while the one attempt is out", got)
	}
	b.Ended(r, now)
	b.Answered(r, "search", time.Millisecond)
	if got := picks(b, now)["r0"]; got < 95 {
		t.Errorf("picked %d of 100 times after it had answered", got)
	}
	if b.Pick(now, "shard", func(s *State) bool { return s.ID == "r9" }) != nil {
		t.Error("a replica was picked that is not accepted")
	}
}

func TestReplacedReplicaStartsAnew(t *testing.T) {
	b := newBalancer("a")
	b.Failed(start, b.Find("r0"))
	moved := b.Find("r0").Replica
	moved.Address = "10.0.0.9:1"
	b.Put(moved)
	if b.Find("r0").rests(start) || b.Count("shard") != 1 {
		t.Error("what was seen at the old address counts at the new one")
	}
	b.Remove("r0")
	if b.Count("shard") != 0 || b.Pick(start, "shard", all) != nil {
		t.Error("a removed replica is still there")
	}
}
