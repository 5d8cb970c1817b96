package limiter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWindow simulates bursts and lulls in which every request is repeated as often as allowed, and checks
// the limit in each window by a separate count.
func TestWindow(t *testing.T) {
	rate := WindowRate{
		Ratio: 0.2,
		Burst: 6,
		Span:  10 * time.Second,
	}
	for seed := range uint64(8) {
		events := simulateWindow(rate, rand.New(rand.NewPCG(seed, 1)))
		for i := range events {
			repeats, requests := countWindow(events[:i+1], rate.Span)
			if float64(repeats) > rate.Ratio*float64(slices.Max(requests[:]))+rate.Burst {
				t.Fatalf("seed %d: %d repeats for %v requests", seed, repeats, requests)
			}
		}
	}
}

type windowEvent struct {
	at       time.Time
	isRepeat bool
}

// simulateWindow returns requests at random times, some after a lull, each repeated as often as the window
// allows.
func simulateWindow(rate WindowRate, random *rand.Rand) []windowEvent {
	w := NewWindow(rate)
	now := time.Unix(1_000_000, 0)
	var events []windowEvent
	for range 4000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
		if random.IntN(400) == 0 {
			now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
		}
		w.Note(now)
		events = append(events, windowEvent{now, false})
		for w.Spend(now) {
			events = append(events, windowEvent{now, true})
		}
	}
	return events
}

// countWindow counts the repeats in the window that ends with the last event, and the requests that the
// documented limit compares them with: those in the same window, in the one half a window earlier and in the
// one before.
func countWindow(events []windowEvent, span time.Duration) (int, [3]int) {
	var requests [3]int
	repeats := 0
	last := events[len(events)-1].at
	for i := len(events) - 1; i >= 0 && last.Sub(events[i].at) < 2*span; i-- {
		age := last.Sub(events[i].at)
		if events[i].isRepeat {
			if age < span {
				repeats++
			}
			continue
		}
		for k := range requests {
			from := time.Duration(k) * span / 2
			if age >= from && age < from+span {
				requests[k]++
			}
		}
	}
	return repeats, requests
}

func TestWindowExpiresRepeats(t *testing.T) {
	w := NewWindow(WindowRate{
		Burst: 2,
		Span:  10 * time.Second,
	})
	now := time.Unix(1_000_000, 0)
	for i, want := range []bool{true, true, false} {
		if w.Spend(now) != want {
			t.Errorf("repeat %d of a burst of two: allowed %v", i, !want)
		}
	}
	if w.Spend(now.Add(9 * time.Second)) {
		t.Error("repeat expired before the end of the window")
	}
	if !w.Spend(now.Add(13 * time.Second)) {
		t.Error("repeat still counted long after the end of the window")
	}
}
