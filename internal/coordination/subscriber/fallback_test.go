package subscriber

import (
	"testing"
	"time"
)

// TestFallback guards against peers being asked while control answers or more often than needed, and against asking only peers that are cut off as well.
func TestFallback(t *testing.T) {
	peers := []Peer{
		{
			Address: "near",
			Zone:    "a",
		},
		{
			Address: "far",
			Zone:    "b",
		},
	}
	f := NewFallback("a", newRandom())
	start := time.Unix(1000, 0)
	if _, ok := f.Next(start, peers); ok {
		t.Error("a peer is asked before control has ever answered")
	}
	f.RecordAnswer(start)
	asked := map[string]int{}
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(100 * time.Millisecond) {
		peer, ok := f.Next(now, peers)
		if !ok {
			continue
		}
		if now.Sub(start) < fallbackDelay {
			t.Errorf("a peer is asked %s after an answer of control", now.Sub(start))
		}
		asked[peer.Address]++
	}
	if total := asked["near"] + asked["far"]; total < 15 || total > 20 || asked["near"] < total/2 || asked["far"] == 0 {
		t.Errorf("asked %v in 20 s, want one a second and mostly the near one", asked)
	}
	f.RecordAnswer(start.Add(20 * time.Second))
	if _, ok := f.Next(start.Add(21*time.Second), peers); ok {
		t.Error("a peer is asked 1 s after an answer of control")
	}
	if _, ok := f.Next(start.Add(30*time.Second), nil); ok {
		t.Error("a peer is asked though none is known")
	}
}
