package shedder

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// TestShedderMeetsCapacity simulates a service with the capacity for a given share of its load, which answers late beyond that.
func TestShedderMeetsCapacity(t *testing.T) {
	for _, capacity := range []float64{0.4, 0.6} {
		sent, late := simulateShedder(capacity)
		if sent < 0.8*capacity || sent > 1.3*max(capacity, shedThreshold) {
			t.Errorf("capacity %.1f: %.2f of the load sent", capacity, sent)
		}
		if late > 0.35*sent {
			t.Errorf("capacity %.1f: %.2f late of %.2f sent", capacity, late, sent)
		}
	}
	if sent, _ := simulateShedder(1.2); sent < 1 {
		t.Errorf("%.2f of the load sent to a service with capacity for all of it", sent)
	}
}

// simulateShedder returns the shares of the load that were sent and that were late, after a settling period. Answers beyond the capacity are late.
func simulateShedder(capacity float64) (float64, float64) {
	const requestsPerSecond, settleSeconds, countedSeconds = 50, 20, 40
	s := New(rand.New(rand.NewPCG(1, 2)))
	traffic := Traffic{
		Service: "shard",
		Class:   "search",
	}
	now, sent, late := start, 0, 0
	for i := range (settleSeconds + countedSeconds) * requestsPerSecond {
		now = now.Add(time.Second / requestsPerSecond)
		congested := s.AdmittedShare(now, traffic) > capacity
		if !s.Admit(now, traffic) {
			continue
		}
		s.Observe(now, traffic, congested)
		if i >= settleSeconds*requestsPerSecond {
			sent++
		}
		if i >= settleSeconds*requestsPerSecond && congested {
			late++
		}
	}
	return float64(sent) / (countedSeconds * requestsPerSecond), float64(late) / (countedSeconds * requestsPerSecond)
}

func TestLessUrgentIsShedFirst(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 2)))
	urgent := Traffic{
		Service:  "shard",
		Class:    "urgent",
		Priority: 1,
	}
	lessUrgent := Traffic{
		Service:  "shard",
		Class:    "other",
		Priority: 2,
	}
	for range 10 {
		s.Observe(start, urgent, true)
	}
	if s.AdmittedShare(start, lessUrgent) > s.AdmittedShare(start, urgent) {
		t.Error("less urgent class has a larger share of a congested service")
	}
	for range 20 {
		s.Observe(start, lessUrgent, true)
	}
	if s.AdmittedShare(start, urgent) <= s.AdmittedShare(start, lessUrgent) {
		t.Error("congestion of the less urgent class limits the urgent class")
	}
	if s.AdmittedShare(start, lessUrgent) < minShare {
		t.Error("too little is sent to observe a recovery")
	}
}

func TestRecoversWithoutAnswers(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 2)))
	traffic := Traffic{
		Service: "shard",
		Class:   "search",
	}
	for range 100 {
		s.Observe(start, traffic, true)
	}
	if got := s.AdmittedShare(start.Add(time.Minute), traffic); got < 1 {
		t.Errorf("share %.2f a minute after the last answer", got)
	}
}
