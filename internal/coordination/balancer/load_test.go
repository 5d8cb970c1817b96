package balancer

import (
	"testing"
	"time"
)

// TestReportedLoad checks what reports of the own zone's replica change. A truthful report of a slow machine or of a full queue must count at once, and a false or old one must not keep a sound replica from its requests.
func TestReportedLoad(t *testing.T) {
	slow := ReplicaLoad{
		IsStated:    true,
		Slots:       2,
		WorkPercent: 500,
	}
	full := ReplicaLoad{
		IsStated: true,
		Running:  2,
		Waiting:  6,
		Slots:    2,
	}
	absurd := ReplicaLoad{
		IsStated:    true,
		Running:     1 << 40,
		Waiting:     -1 << 40,
		Slots:       -1,
		WorkPercent: 1 << 40,
	}
	cases := []struct {
		name string
		load ReplicaLoad
		// replies is the number of replies that carry the report, which take latency.
		replies int
		latency time.Duration
		age     time.Duration
		isUsed  bool
	}{
		{"none", ReplicaLoad{}, 3, 10 * time.Millisecond, 0, true},
		{"slow machine", slow, 1, 50 * time.Millisecond, 0, false},
		{"full queue", full, 1, 10 * time.Millisecond, 0, false},
		{"full queue long ago", full, 1, 10 * time.Millisecond, 6 * time.Second, true},
		{"false report of a slow machine", slow, 20, 10 * time.Millisecond, 0, true},
		{"absurd", absurd, 20, 10 * time.Millisecond, 0, true},
	}
	for _, c := range cases {
		b := newBalancer("a", "b")
		for _, id := range []string{"r0", "r1"} {
			for range 20 {
				b.RecordSuccess(start, b.Find(id), "search", 10*time.Millisecond)
			}
		}
		for range c.replies {
			b.RecordNotice(start, b.Find("r0"), Notice{
				Load: c.load,
			})
			b.RecordSuccess(start, b.Find("r0"), "search", c.latency)
		}
		if got := countPicks(b, start.Add(c.age))["r0"]; got > 50 != c.isUsed {
			t.Errorf("%s: picked %d of 100 times", c.name, got)
		}
	}
}
