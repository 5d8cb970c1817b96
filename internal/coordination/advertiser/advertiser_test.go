package advertiser

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestAdvertises(t *testing.T) {
	isolated := Reachability{
		Reached: 1,
		Known:   4,
	}
	allReached := Reachability{
		Reached: 4,
		Known:   4,
	}
	cases := []struct {
		name             string
		reachability     Reachability
		answered, failed int
		want             bool
	}{
		{"healthy", allReached, 20, 0, true},
		{"replicas down, control reachable", allReached, 0, 20, true},
		{"control down, replicas reachable", Reachability{
			Known: 4,
		}, 20, 2, true},
		{"isolated", isolated, 3, 20, false},
		{"isolated, answers most requests", isolated, 20, 10, true},
		{"isolated, no requests", isolated, 0, 0, true},
		{"half of control reachable", Reachability{
			Reached: 2,
			Known:   4,
		}, 0, 20, true},
		{"single control instance down", Reachability{
			Known: 1,
		}, 0, 20, true},
	}
	for _, c := range cases {
		a := New()
		for range c.answered {
			a.Observe(start, true)
		}
		for range c.failed {
			a.Observe(start, false)
		}
		if got := a.ShouldAdvertise(start.Add(100*time.Millisecond), c.reachability); got != c.want {
			t.Errorf("%s: advertised %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAdvertisesAgain checks that a withdrawn instance is advertised at once when it reaches control
// instances again, and after withdrawalDuration if it stays isolated.
func TestAdvertisesAgain(t *testing.T) {
	isolated := Reachability{
		Known: 4,
	}
	a := New()
	for range 10 {
		a.Observe(start, false)
	}
	now := start.Add(time.Second / 2)
	if a.ShouldAdvertise(now, isolated) {
		t.Fatal("advertised while isolated and failing requests")
	}
	if a.ShouldAdvertise(now.Add(withdrawalDuration/2), isolated) {
		t.Error("advertised again before withdrawalDuration has passed")
	}
	if !a.ShouldAdvertise(now.Add(withdrawalDuration+time.Second), isolated) {
		t.Error("not advertised after withdrawalDuration")
	}
	for range 10 {
		a.Observe(now.Add(withdrawalDuration+time.Second), false)
	}
	if a.ShouldAdvertise(now.Add(withdrawalDuration+time.Second), isolated) {
		t.Error("advertised while it still fails requests")
	}
	if !a.ShouldAdvertise(now.Add(withdrawalDuration+2*time.Second), Reachability{
		Reached: 3,
		Known:   4,
	}) {
		t.Error("not advertised when control is reachable again")
	}
}
