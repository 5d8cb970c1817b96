package limiter

import (
	"testing"
	"time"
)

func TestInstanceCount(t *testing.T) {
	type report struct {
		at    time.Duration
		count int
		want  int
	}
	cases := []struct {
		name    string
		reports []report
	}{
		{"no report yet", []report{{0, 0, 12}}},
		{"first report", []report{{0, 9, 9}}},
		{"control instance restarts", []report{{0, 9, 9}, {time.Second, 0, 9}, {2 * time.Second, 1, 9}, {3 * time.Second, 3, 9}, {4 * time.Second, 9, 9}}},
		{"instances join", []report{{0, 9, 9}, {time.Second, 11, 11}}},
		{"one instance left for good", []report{{0, 9, 9}, {time.Second, 8, 9}, {14 * time.Second, 8, 9}, {16 * time.Second, 8, 8}}},
		{"partitioned control instance reports too few", []report{{0, 9, 9}, {10 * time.Second, 2, 9}, {11 * time.Second, 9, 9}, {16 * time.Second, 2, 9}}},
		{"largest of the smaller reports", []report{{0, 9, 9}, {14 * time.Second, 8, 9}, {15 * time.Second, 2, 8}}},
	}
	for _, c := range cases {
		ic := NewInstanceCount(12)
		for _, r := range c.reports {
			if got := ic.Update(time.Unix(1000, 0).Add(r.at), r.count); got != r.want {
				t.Errorf("%s: count %d after %s, want %d", c.name, got, r.at, r.want)
			}
		}
	}
}
