package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// latencyQuery returns the latencies of a query's attempts in the order of their replies: most around 20 ms, some of slow replicas and some paused.
func latencyQuery(random *rand.Rand, attempts int, slowShare, pausedShare float64) []time.Duration {
	var latencies []time.Duration
	for range attempts {
		latency := 12*time.Millisecond + time.Duration(random.Int64N(int64(16*time.Millisecond)))
		switch draw := random.Float64(); {
		case draw < slowShare:
			latency += 60 * time.Millisecond
		case draw < slowShare+pausedShare:
			latency += time.Duration(random.Int64N(int64(100 * time.Millisecond)))
		}
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	return latencies
}

// maxSlowDelay is twice the median of latencies of which 0.81 are even from 12 to 28 ms and the others longer, 21.9 ms, and three standard errors of the median of 256 samples, 0.62 ms each.
const maxSlowDelay = 2 * (21900 + 3*620) * time.Microsecond

// TestHedgeDelay checks that stragglers are told from the others: by the nine tenths that answer, whose replies arrive one query after the other with the stragglers last, and by twice the median while many replicas are slow.
func TestHedgeDelay(t *testing.T) {
	cases := map[string]struct {
		slowShare, pausedShare float64
		min, max               time.Duration
	}{
		"pauses":        {0, 0.04, 24 * time.Millisecond, 32 * time.Millisecond},
		"slow replicas": {0.15, 0.04, 24 * time.Millisecond, maxSlowDelay},
	}
	for name, c := range cases {
		b := New("a", rand.New(rand.NewPCG(1, 2)))
		b.Put(Replica{
			ID:      "r",
			Service: "shard",
		})
		r := b.Find("r")
		random := rand.New(rand.NewPCG(3, 4))
		for query := range 60 {
			for _, latency := range latencyQuery(random, 90, c.slowShare, c.pausedShare) {
				b.RecordSuccess(start, r, "class", latency)
			}
			if delay := b.HedgeDelay("class"); query >= 20 && (delay < c.min || delay > c.max) {
				t.Errorf("%s: hedge delay %s after query %d, want %s to %s", name, delay, query, c.min, c.max)
				break
			}
		}
	}
}
