package collector

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestShouldCollect(t *testing.T) {
	c := New(start)
	steps := []struct {
		name      string
		offset    time.Duration
		inFlight  int
		allocated uint64
		want      bool
	}{
		{"just started", 0, 0, 2 * minGarbage, false},
		{"idle", minIdleTime, 0, 2 * minGarbage, true},
		{"little garbage since", 2 * minIdleTime, 0, 3*minGarbage - 1, false},
		{"enough garbage since", 2 * minIdleTime, 0, 3 * minGarbage, true},
		{"in flight", 3 * minIdleTime, 1, 9 * minGarbage, false},
		{"just answered", 4*minIdleTime - 1, 0, 9 * minGarbage, false},
		{"idle again", 4 * minIdleTime, 0, 9 * minGarbage, true},
	}
	for _, s := range steps {
		if got := c.ShouldCollect(start.Add(s.offset), s.inFlight, s.allocated); got != s.want {
			t.Errorf("%s: collects: %t", s.name, got)
		}
	}
}

// TestQueriesMeetFewCollections plays queries of a small instance, each with a megabyte of garbage, against collections whenever the heap has grown by that much, and checks how many queries are slowed down by one.
func TestQueriesMeetFewCollections(t *testing.T) {
	const (
		queries        = 2000
		tick           = 50 * time.Millisecond
		queryTime      = 40 * time.Millisecond
		collectionTime = 20 * time.Millisecond
		meanPause      = 400 * time.Millisecond
		garbage        = 1 << 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	c := New(start)
	now, nextTick, collectionEnds := start, start, start
	slowed, maxGarbage := 0, uint64(0)
	for query := range uint64(queries) {
		arrival := now.Add(time.Duration(random.ExpFloat64() * float64(meanPause)))
		for ; nextTick.Before(arrival); nextTick = nextTick.Add(tick) {
			inFlight := 0
			if nextTick.Before(now) {
				inFlight = 1
			}
			maxGarbage = max(maxGarbage, query*garbage-c.collectedAt)
			if c.ShouldCollect(nextTick, inFlight, query*garbage) {
				collectionEnds = nextTick.Add(collectionTime)
			}
		}
		if collectionEnds.After(arrival) {
			slowed++
		}
		now = arrival.Add(queryTime)
	}
	// When the heap decides, each megabyte ends in a collection during the query that allocates it.
	if share := float64(slowed) / queries; share > 0.1 {
		t.Errorf("%.2f of the queries meet a collection", share)
	}
	if maxGarbage > 12*garbage {
		t.Errorf("%d bytes of garbage", maxGarbage)
	}
}
