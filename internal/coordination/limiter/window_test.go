package limiter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWindow simulates bursts and idle periods in which every request is repeated as often as allowed, and
// checks the limit in each window by a separate count.
func TestWindow(t *testing.T) {
	limit := WindowLimit{
		Ratio:  0.2,
		Burst:  6,
		Length: 10 * time.Second,
	}
	for seed := range uint64(8) {
		events := simulateWindow(limit, rand.New(rand.NewPCG(seed, 1)))
		for i := range events {
			repeats, requests := countWindow(events[:i+1], limit.Length)
			if float64(repeats) > limit.Ratio*float64(slices.Max(requests[:]))+limit.Burst {
				t.Fatalf("seed %d: %d repeats for %v requests", seed, repeats, requests)
			}
		}
	}
}

type windowEvent struct {
	at       time.Time
	isRepeat bool
}

// simulateWindow returns requests at random times, some after an idle period, each repeated as often as the
// window allows.
func simulateWindow(limit WindowLimit, random *rand.Rand) []windowEvent {
	w := NewWindow(limit)
	now := time.Unix(1_000_000, 0)
	var events []windowEvent
	for range 4000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
		if random.IntN(400) == 0 {
			now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
		}
		w.CountRequest(now)
		events = append(events, windowEvent{now, false})
		for w.TryRepeat(now) {
			events = append(events, windowEvent{now, true})
		}
	}
	return events
}

// countWindow counts the repeats in the window that ends with the last event, and the requests that the
// documented limit compares them with: those in the same window, in the one half a window earlier and in the
// one before.
func countWindow(events []windowEvent, length time.Duration) (int, [3]int) {
	var requests [3]int
	repeats := 0
	last := events[len(events)-1].at
	for i := len(events) - 1; i >= 0 && last.Sub(events[i].at) < 2*length; i-- {
		age := last.Sub(events[i].at)
		if events[i].isRepeat {
			if age < length {
				repeats++
			}
			continue
		}
		for k := range requests {
			from := time.Duration(k) * length / 2
			if age >= from && age < from+length {
				requests[k]++
			}
		}
	}
	return repeats, requests
}

func TestWindowExpiresRepeats(t *testing.T) {
	w := NewWindow(WindowLimit{
		Burst:  2,
		Length: 10 * time.Second,
	})
	now := time.Unix(1_000_000, 0)
	for i, want := range []bool{true, true, false} {
		if w.TryRepeat(now) != want {
			t.Errorf("repeat %d of a burst of two: allowed %v", i, !want)
		}
	}
	if w.TryRepeat(now.Add(9 * time.Second)) {
		t.Error("repeat expired before the end of the window")
	}
	if !w.TryRepeat(now.Add(13 * time.Second)) {
		t.Error("repeat still counted long after the end of the window")
	}
}
