package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRejectingReplicaGetsLess checks the shares of picks while the replica in the own zone rejects a share of its requests, and after it has recovered. A replica that rejects must not use up the retry budget, must still be tried, and must get its share back.
func TestRejectingReplicaGetsLess(t *testing.T) {
	for name, c := range map[string]struct {
		rejected         float64
		minPicks, maxOfs int
	}{
		"none":         {0, 95, 100},
		"three fifths": {0.6, 1, 30},
		"all":          {1, 1, 30},
	} {
		b := newBalancer("a", "b", "c")
		random := rand.New(rand.NewPCG(3, 4))
		now := start
		picks := func(rejected float64, count int) int {
			own := 0
			for range count {
				now = now.Add(100 * time.Millisecond)
				r := b.Pick(now, "shard", acceptAny)
				isOwn := r.ID == "r0"
				if isOwn {
					own++
				}
				if isOwn && random.Float64() < rejected {
					b.RecordRejection(now, r)
					continue
				}
				b.RecordSuccess(now, r, "search", 10*time.Millisecond)
			}
			return own
		}
		picks(0, 50)
		if own := picks(c.rejected, 200) / 2; own < c.minPicks || own > c.maxOfs {
			t.Errorf("%s: %d %% of picks while it rejects", name, own)
		}
		picks(0, 250)
		if own := picks(0, 100); own < 90 {
			t.Errorf("%s: %d %% of picks after it has recovered", name, own)
		}
	}
}

// TestLastReplicaIsNotExcluded checks that a replica that rejects everything is picked if there is no other.
func TestLastReplicaIsNotExcluded(t *testing.T) {
	b := newBalancer("b")
	for range 100 {
		b.RecordRejection(start, b.Find("r0"))
	}
	if countPicks(b, start)["r0"] != 100 {
		t.Error("the last replica was not picked")
	}
}

// TestCostlyRequestIsNoSlowness checks that a request that is costly everywhere changes no choice, and that it is the class whose expected work grows.
func TestCostlyRequestIsNoSlowness(t *testing.T) {
	b := newBalancer("a", "b")
	for i := range 20 {
		b.Put(Replica{
			ID:      fmt.Sprintf("other-%d", i),
			Service: fmt.Sprintf("other-%d", i),
			Zone:    "a",
		})
	}
	for query := range 20 {
		elapsed := time.Duration(5+85*(query%2)) * time.Millisecond
		replies := []ReplyTime{{
			Replica: b.Find("r0"),
			Elapsed: elapsed,
		}}
		for i := range 20 {
			replies = append(replies, ReplyTime{
				Replica: b.Find(fmt.Sprintf("other-%d", i)),
				Elapsed: elapsed,
			})
		}
		b.RecordReplyTimes(start, "search", replies)
	}
	if got := countPicks(b, start)["r0"]; got < 95 {
		t.Errorf("the replica that had the costly requests is picked %d of 100 times", got)
	}
	if work := b.ExpectedWork("search"); work.Mean < 20*time.Millisecond || work.Spread < 20*time.Millisecond {
		t.Errorf("expected work %+v", work)
	}
}

// TestConditions checks that conditions of replicas that reject are told in bounded messages, that the messages together name all of them, and that an instance that has sent nothing avoids them.
func TestConditions(t *testing.T) {
	const shards = 60
	relay, origin := New("a", rand.New(rand.NewPCG(1, 2))), New("b", rand.New(rand.NewPCG(1, 2)))
	for i := range shards {
		for _, zone := range []string{"a", "b"} {
			for _, b := range []*Balancer{relay, origin} {
				b.Put(Replica{
					ID:      fmt.Sprintf("s%d-%s", i, zone),
					Service: fmt.Sprintf("s%d", i),
					Zone:    zone,
					Slots:   2,
				})
			}
		}
		for range 4 {
			relay.RecordRejection(start, relay.Find(fmt.Sprintf("s%d-a", i)))
			relay.RecordRejection(start, relay.Find(fmt.Sprintf("s%d-b", i)))
		}
	}
	now := start.Add(time.Second)
	for range (shards + maxConditions - 1) / maxConditions {
		conditions := relay.Conditions(now)
		if len(conditions) > maxConditions {
			t.Errorf("%d conditions in one message", len(conditions))
		}
		for _, c := range conditions {
			origin.MergeCondition(now, c)
		}
	}
	for i := range shards {
		cost := origin.Explain(now, origin.Find(fmt.Sprintf("s%d-a", i)), time.Millisecond)
		if cost.Rejected < 0.4 {
			t.Errorf("s%d-a rejects with probability %.2f", i, cost.Rejected)
		}
		if other := origin.Find(fmt.Sprintf("s%d-b", i)); origin.estimator.Failures(now, &other.estimate, origin.fleetFailures(now)).Evidence > 0 {
			t.Error("a condition of a replica in another zone was told")
		}
	}
	late := start.Add(time.Minute)
	if conditions, count := relay.Conditions(late), relay.DeviatingCount(late); len(conditions) > 0 || count > 0 {
		t.Errorf("%d conditions of %d replicas told a minute later", len(conditions), count)
	}
}

// TestDeviatingCount checks that replicas that were removed or deviate no more are forgotten also at an instance that relays nothing.
func TestDeviatingCount(t *testing.T) {
	b := newBalancer("a", "a")
	for _, id := range []string{"r0", "r1"} {
		b.RecordRejection(start, b.Find(id))
	}
	if got := b.DeviatingCount(start); got != 2 {
		t.Errorf("%d replicas deviate, want 2", got)
	}
	b.Remove("r0")
	if got := b.DeviatingCount(start); got != 1 {
		t.Errorf("%d replicas deviate after one was removed, want 1", got)
	}
	if got := b.DeviatingCount(start.Add(time.Minute)); got != 0 {
		t.Errorf("%d replicas deviate a minute later", got)
	}
}
