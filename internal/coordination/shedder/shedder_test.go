package shedder

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// TestShedderMeetsCapacity plays a service that can do a given share of its load, and late answers beyond it.
func TestShedderMeetsCapacity(t *testing.T) {
	for _, capacity := range []float64{0.4, 0.6} {
		sent, late := playShedder(capacity)
		if sent < 0.8*capacity || sent > 1.3*max(capacity, shedBelow) {
			t.Errorf("capacity %.1f: %.2f of the load sent", capacity, sent)
		}
		if late > 0.35*sent {
			t.Errorf("capacity %.1f: %.2f late of %.2f sent", capacity, late, sent)
		}
	}
	if sent, _ := playShedder(1.2); sent < 1 {
		t.Errorf("%.2f of the load sent to a service that could do all", sent)
	}
}

// playShedder returns the shares of the load that were sent and that came late, after some time to settle; what goes beyond the capacity comes late.
func playShedder(capacity float64) (float64, float64) {
	const perSecond, settles, counted = 50, 20, 40
	s := New(rand.New(rand.NewPCG(1, 2)))
	load := Load{
		Service: "shard",
		Class:   "search",
	}
	now, sent, late := start, 0, 0
	for i := range (settles + counted) * perSecond {
		now = now.Add(time.Second / perSecond)
		congested := s.Share(now, load) > capacity
		if !s.Admits(now, load) {
			continue
		}
		s.Observe(now, load, congested)
		if i >= settles*perSecond {
			sent++
		}
		if i >= settles*perSecond && congested {
			late++
		}
	}
	return float64(sent) / (counted * perSecond), float64(late) / (counted * perSecond)
}

func TestLessUrgentIsShedFirst(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 2)))
	urgent := Load{
		Service:  "shard",
		Class:    "urgent",
		Priority: 1,
	}
	other := Load{
		Service:  "shard",
		Class:    "other",
		Priority: 2,
	}
	for range 10 {
		s.Observe(start, urgent, true)
	}
	if s.Share(start, other) > s.Share(start, urgent) {
		t.Error("the less urgent class gets more of a congested service")
	}
	for range 20 {
		s.Observe(start, other, true)
	}
	if s.Share(start, urgent) <= s.Share(start, other) {
		t.Error("the urgent class is held back by the congestion of the other")
	}
	if s.Share(start, other) < lowest {
		t.Error("nothing is sent by which a recovery would be seen")
	}
}

func TestRecoversWithoutAnswers(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 2)))
	load := Load{
		Service: "shard",
		Class:   "search",
	}
	for range 100 {
		s.Observe(start, load, true)
	}
	if got := s.Share(start.Add(time.Minute), load); got < 1 {
		t.Errorf("share %.2f a minute after the last answer", got)
	}
}
