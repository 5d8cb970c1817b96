package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// TestSlownessIsToldFromWork checks that the speeds of replicas are found although the costs of the requests differ twenty-fold and each reply time varies by a factor of 2.5. An estimate by latency alone would follow the last request.
func TestSlownessIsToldFromWork(t *testing.T) {
	const replicas = 90
	random := rand.New(rand.NewPCG(1, 2))
	e := New()
	services, known := make([]Service, replicas), make([]Replica, replicas)
	speeds := make([]float64, replicas)
	for i := range speeds {
		speeds[i] = 0.8 + 0.5*float64(i)/replicas
	}
	speeds[0] = 4
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		cost := 4.5 * math.Pow(20, random.Float64())
		elapsed := make([]time.Duration, replicas)
		for i := range elapsed {
			elapsed[i] = time.Duration(cost * speeds[i] * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
		}
		work := slices.Sorted(slices.Values(elapsed))[replicas/2]
		for i := range elapsed {
			e.RecordReply(now, &services[i], &known[i], work, elapsed[i])
		}
	}
	errorSum := 0.0
	for i := 1; i < replicas; i++ {
		// The service's weight takes up a part of the speed of its only replica.
		errorSum += math.Abs(known[i].Slowness(now)*services[i].Weight()/speeds[i] - 1)
	}
	if mean := errorSum / (replicas - 1); mean > 0.25 {
		t.Errorf("slowness is wrong by %.2f in the mean", mean)
	}
	if slow := known[0].Slowness(now) * services[0].Weight(); slow < 2.5 {
		t.Errorf("a replica four times as slow counts as %.2f", slow)
	}
}

// TestWorkFollowsShift checks that a class whose cost changes is known after ten requests, and that the memory for classes is bounded.
func TestWorkFollowsShift(t *testing.T) {
	e := New()
	for i := range 4 * maxClasses {
		e.RecordWork(start.Add(time.Duration(i)*time.Second), fmt.Sprintf("class-%d", i), time.Millisecond)
	}
	if len(e.classes) > maxClasses {
		t.Errorf("%d classes are kept", len(e.classes))
	}
	for range 50 {
		e.RecordWork(start, "class", 5*time.Millisecond)
	}
	for range 10 {
		e.RecordWork(start, "class", 50*time.Millisecond)
	}
	if work := e.Work("class"); work.Mean < 40*time.Millisecond || work.Spread == 0 {
		t.Errorf("expected work %+v after the shift", work)
	}
}

// TestFailuresDecayToMean checks that what is known of a replica approaches the mean of the fleet as it ages. Otherwise all instances would avoid a replica that has recovered.
func TestFailuresDecayToMean(t *testing.T) {
	e := New()
	var good, bad Replica
	for range 10 {
		e.RecordRejection(start, &bad)
		e.RecordReply(start, &Service{}, &good, 0, 0)
		e.RecordReplies(start, 1)
	}
	for _, c := range []struct {
		after          time.Duration
		minBad, maxBad float64
	}{
		{0, 0.8, 1},
		{8 * time.Second, 0.3, 0.75},
		{40 * time.Second, 0, 0.05},
	} {
		now := start.Add(c.after)
		fleet := e.FleetFailures(now)
		if got := e.Failures(now, &bad, fleet).Rejected; got < c.minBad || got > c.maxBad {
			t.Errorf("after %s: rejects with probability %.2f", c.after, got)
		}
		if got := e.Failures(now, &good, fleet).Rejected; got > 0.35 {
			t.Errorf("after %s: the other rejects with probability %.2f", c.after, got)
		}
	}
}

// TestMerge checks what peers tell of a replica: old and absurd conditions are ignored, repeated ones don't outweigh own observations for good, and nothing is told in circles.
func TestMerge(t *testing.T) {
	cases := map[string]struct {
		condition Condition
		times     int
		min, max  float64
	}{
		"new":       {Condition{Rejected: 0.6}, 1, 0.3, 0.6},
		"repeated":  {Condition{Rejected: 0.6}, 100, 0.4, 0.6},
		"old":       {Condition{Rejected: 0.6, Age: 16 * time.Second}, 1, 0, 0.1},
		"too old":   {Condition{Rejected: 0.6, Age: time.Hour}, 100, 0, 0},
		"in future": {Condition{Rejected: 0.6, Age: -time.Second}, 100, 0, 0},
		"absurd":    {Condition{Rejected: 50}, 1, 0, 0},
		"no number": {Condition{Rejected: math.NaN()}, 1, 0, 0},
		"too much":  {Condition{Rejected: 0.9, Lost: 0.9}, 1, 0, 0},
	}
	for name, c := range cases {
		e := New()
		var r Replica
		for range c.times {
			r.Merge(start, c.condition)
		}
		if got := e.Failures(start, &r, Failures{}).Rejected; got < c.min || got > c.max {
			t.Errorf("%s: rejects with probability %.2f", name, got)
		}
		if _, deviates := r.Condition(start); deviates {
			t.Errorf("%s: what a peer has told is told again", name)
		}
		for range 20 {
			e.RecordReply(start, &Service{}, &r, 0, 0)
		}
		if got := e.Failures(start, &r, Failures{}).Rejected; got > 0.2 {
			t.Errorf("%s: rejects with probability %.2f after 20 replies", name, got)
		}
	}
}
