package balancer

import (
	"testing"
	"time"
)

const coldDuration = 10 * time.Second

// newColdBalancer returns a balancer with one replica of a service whose cold replicas bear 4 requests a second, or as many as given.
func newColdBalancer(perSecond float64, bornAt time.Time) *Balancer {
	b := newBalancer()
	b.SetColdPolicy(ColdPolicy{
		Limit: func(string) ColdLimit {
			return ColdLimit{
				PerSecond: perSecond,
				Duration:  coldDuration,
			}
		},
		Overage: 1.5,
	})
	b.Put(Replica{
		ID:      "r0",
		Service: "shard",
		BornMs:  bornAt.UnixMilli(),
	})
	return b
}

// countSends returns how many attempts the balancer starts within a second, with demand at all times.
func countSends(b *Balancer, from time.Time) int {
	count := 0
	for now := from; now.Before(from.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		if r := b.Pick(now, "shard", acceptAny); r != nil {
			b.RecordStart(now, r)
			count++
		}
	}
	return count
}

// TestColdSources guards against a cold replica that gets more requests than its limit because one of the ways in which it is known to be cold is not heard, and against a limit where none is set.
func TestColdSources(t *testing.T) {
	longAgo := start.Add(-time.Hour)
	const unlimited = 200
	cases := []struct {
		name      string
		perSecond float64
		bornAt    time.Time
		setup     func(b *Balancer)
		maxSends  int
	}{
		{"warm", 4, longAgo, func(*Balancer) {}, unlimited},
		{"just started", 4, start.Add(-time.Second), func(*Balancer) {}, 5},
		{"just started, without a limit", 0, start.Add(-time.Second), func(*Balancer) {}, unlimited},
		{"started in the far future by its clock", 4, start.Add(time.Hour), func(*Balancer) {}, unlimited},
		{"response", 4, longAgo, func(b *Balancer) {
			b.RecordNotice(start, b.Find("r0"), Notice{
				ColdFor: 5 * time.Second,
			})
		}, 5},
		{"heartbeat", 4, longAgo, func(b *Balancer) {
			replica := b.Find("r0").Replica
			replica.ColdUntil = start.Add(5 * time.Second)
			b.Put(replica)
		}, 5},
		{"response without a word of it", 4, start.Add(-time.Second), func(b *Balancer) {
			b.RecordNotice(start, b.Find("r0"), Notice{})
		}, 5},
		{"drained until now", 4, longAgo, func(b *Balancer) {
			b.SetDrainedZones(start.Add(-time.Hour), []string{""})
			b.SetDrainedZones(start, nil)
		}, 5},
		{"drained until now, without a limit", 0, longAgo, func(b *Balancer) {
			b.SetDrainedZones(start.Add(-time.Hour), []string{""})
			b.SetDrainedZones(start, nil)
		}, unlimited},
		{"shared by 4", 4, start.Add(-time.Second), func(b *Balancer) { b.SetColdShare(4, 0.5) }, 2},
	}
	for _, c := range cases {
		b := newColdBalancer(c.perSecond, c.bornAt)
		c.setup(b)
		if got := countSends(b, start); got > c.maxSends || got < c.maxSends-2 {
			t.Errorf("%s: %d attempts in a second, want up to %d", c.name, got, c.maxSends)
		}
	}
}

// TestSlowStart guards against the full load on a replica the moment it is warm.
func TestSlowStart(t *testing.T) {
	b := newColdBalancer(4, start)
	var sends []int
	for second := range 18 {
		sends = append(sends, countSends(b, start.Add(time.Duration(second)*time.Second)))
	}
	for second, limit := range map[int]int{5: 5, 11: 9, 13: 17, 15: 33} {
		if got := sends[second]; got > limit || got < limit-2 {
			t.Errorf("%d attempts in second %d, want up to %d", got, second, limit)
		}
	}
	if sends[17] < 150 {
		t.Errorf("%d attempts in a second of a replica that has been warm for long", sends[17])
	}
}

// TestColdRefusalNamesNextPermit checks that a shard whose replicas are all cold says when it accepts an attempt again, and that an attempt for another instance takes a permit too.
func TestColdRefusalNamesNextPermit(t *testing.T) {
	b := newColdBalancer(4, start)
	r := b.Find("r0")
	now, ok := b.NextSend(start, "shard", acceptAny)
	if !ok || !b.TryRelay(now, r) || b.TryRelay(now, r) || b.Pick(now, "shard", acceptAny) != nil {
		t.Fatal("no permit, or more than one at a time")
	}
	if next, _ := b.NextSend(now, "shard", acceptAny); next.Sub(now) != 250*time.Millisecond {
		t.Errorf("the next permit comes after %v, want 250ms", next.Sub(now))
	}
}
