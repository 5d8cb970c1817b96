package refuter

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// arrival is a heartbeat that arrives so long after the crash.
type arrival struct {
	after    time.Duration
	sequence uint64
}

// TestHeartbeatsThatRefuteCrashes guards against a crash that is refuted by heartbeats which were sent before it and arrive late, and against one that is never refuted although the replica runs.
func TestHeartbeatsThatRefuteCrashes(t *testing.T) {
	const interval = 1200 * time.Millisecond
	cases := []struct {
		name     string
		bornMs   int64
		arrivals []arrival
		// want is the index of the arrival that refutes the crash, or -1.
		want int
	}{
		{"runs on", 5, []arrival{{interval, 11}, {2 * interval, 12}, {3 * interval, 13}}, 2},
		{"every other heartbeat reaches another instance", 5, []arrival{{2 * interval, 12}, {4 * interval, 14}}, 1},
		{"sent before the crash, late", 5, []arrival{{time.Second, 9}, {1900 * time.Millisecond, 10}}, -1},
		{"one that is very late", 5, []arrival{{8 * time.Second, 10}}, -1},
		{"two that were held up together", 5, []arrival{{8 * time.Second, 9}, {8*time.Second + 50*time.Millisecond, 10}}, -1},
		{"the same twice", 5, []arrival{{3 * time.Second, 10}, {5 * time.Second, 10}}, -1},
		{"sent before the first", 5, []arrival{{3 * time.Second, 10}, {5 * time.Second, 9}}, -1},
		{"far apart", 5, []arrival{{3 * time.Second, 9}, {14 * time.Second, 10}}, -1},
		{"no start time", 0, []arrival{{3 * time.Second, 9}, {5 * time.Second, 10}}, -1},
	}
	for _, c := range cases {
		r := New()
		got := -1
		for i, a := range c.arrivals {
			if r.Observe(start.Add(a.after), Heartbeat{
				Incarnation: Incarnation{
					Replica: "a",
					BornMs:  c.bornMs,
				},
				Sequence:   a.sequence,
				SinceCrash: a.after,
			}) {
				got = i
				break
			}
		}
		if got != c.want {
			t.Errorf("%s: refuted by heartbeat %d, want %d", c.name, got, c.want)
		}
	}
}

// TestObservedReplicasAreBounded guards against memory that grows with the replicas that have ever been suspected.
func TestObservedReplicasAreBounded(t *testing.T) {
	r := New()
	for i := range int64(2 * maxReplicas) {
		r.Observe(start, Heartbeat{
			Incarnation: Incarnation{
				Replica: "a",
				BornMs:  i + 1,
			},
			SinceCrash: time.Minute,
		})
	}
	if len(r.first) != maxReplicas {
		t.Errorf("%d replicas, want %d", len(r.first), maxReplicas)
	}
	r.Observe(start.Add(2*maxInterval), Heartbeat{
		Incarnation: Incarnation{
			Replica: "b",
			BornMs:  1,
		},
		SinceCrash: time.Minute,
	})
	if len(r.first) != 1 {
		t.Errorf("%d replicas once the others are old, want 1", len(r.first))
	}
}
