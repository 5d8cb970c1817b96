package limiter

import (
	"testing"
	"time"
)

func TestSharers(t *testing.T) {
	type heard struct {
		at    time.Duration
		count int
		want  int
	}
	cases := []struct {
		name  string
		heard []heard
	}{
		{"nothing known yet", []heard{{0, 0, 12}}},
		{"first number", []heard{{0, 9, 9}}},
		{"control restarts and counts anew", []heard{{0, 9, 9}, {time.Second, 0, 9}, {2 * time.Second, 1, 9}, {3 * time.Second, 3, 9}, {4 * time.Second, 9, 9}}},
		{"more come", []heard{{0, 9, 9}, {time.Second, 11, 11}}},
		{"one has gone for good", []heard{{0, 9, 9}, {time.Second, 8, 9}, {14 * time.Second, 8, 9}, {16 * time.Second, 8, 8}}},
		{"a control instance that is cut off hears few", []heard{{0, 9, 9}, {10 * time.Second, 2, 9}, {11 * time.Second, 9, 9}, {16 * time.Second, 2, 9}}},
		{"the greatest of the smaller ones", []heard{{0, 9, 9}, {14 * time.Second, 8, 9}, {15 * time.Second, 2, 8}}},
	}
	for _, c := range cases {
		s := NewSharers(12)
		for _, h := range c.heard {
			if got := s.Hear(time.Unix(1000, 0).Add(h.at), h.count); got != h.want {
				t.Errorf("%s: %d after %s, want %d", c.name, got, h.at, h.want)
			}
		}
	}
}
