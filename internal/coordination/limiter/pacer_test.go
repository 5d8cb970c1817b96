package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var pacerStart = time.Unix(1_000_000, 0)

// pacedFleet is a set of entry instances that share the limit of one replica.
type pacedFleet struct {
	pacers []*Pacer
	sent   []time.Time
}

func newPacedFleet(now time.Time, perSecond float64, instances int, seed uint64) *pacedFleet {
	f := &pacedFleet{}
	random := rand.New(rand.NewPCG(seed, seed))
	for range instances {
		limit := RateLimit{
			IsStated:  true,
			PerSecond: perSecond,
		}
		f.pacers = append(f.pacers, NewPacer(now, limit, instances, random))
	}
	return f
}

// offer sends one request from the instance if it has a permit.
func (f *pacedFleet) offer(now time.Time, instance int) {
	p := f.pacers[instance]
	if !p.NextPermit(now).After(now) {
		p.Take(now)
		f.sent = append(f.sent, now)
	}
}

// maxInWindow returns the largest number of requests sent within the window.
func (f *pacedFleet) maxInWindow(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// playBursts offers the load of 40 s in which all instances fall silent for 2 s at a time and then all send at once.
func (f *pacedFleet) playBursts(random *rand.Rand) {
	for ms := range 40_000 {
		if ms%10_000 >= 8_000 {
			continue
		}
		now := pacerStart.Add(time.Duration(ms) * time.Millisecond)
		for range 1 + 4*len(f.pacers)/10 {
			f.offer(now, random.IntN(len(f.pacers)))
		}
	}
}

// TestPacersShareLimit checks that instances which know nothing of each other's requests exceed the limit of a replica by no more than half and 5 requests in 4 s, and use at least nine tenths of it under load.
func TestPacersShareLimit(t *testing.T) {
	const (
		window      = 4 * time.Second
		loadSeconds = 32
	)
	for _, instances := range []int{1, 7, 9, 77} {
		for _, perSecond := range []float64{2, 8, 26.1, 150} {
			for seed := range uint64(3) {
				f := newPacedFleet(pacerStart, perSecond, instances, seed)
				f.playBursts(rand.New(rand.NewPCG(seed, 99)))
				name := fmt.Sprintf("%d instances, %v a second, seed %d", instances, perSecond, seed)
				if got, allowed := f.maxInWindow(window), 1.5*perSecond*window.Seconds()+5; float64(got) > allowed {
					t.Errorf("%s: %d requests in %s, allowed %.0f", name, got, window, allowed)
				}
				if got, want := float64(len(f.sent)), 0.9*loadSeconds*perSecond; got < want {
					t.Errorf("%s: %.0f requests, want at least %.0f", name, got, want)
				}
			}
		}
	}
}

// TestPacerFollowsLimit checks that a higher limit takes effect at once and that a limit of 0 still lets a request through from time to time.
func TestPacerFollowsLimit(t *testing.T) {
	limit := RateLimit{
		IsStated: true,
	}
	p := NewPacer(pacerStart, limit, 1, rand.New(rand.NewPCG(1, 1)))
	if next := p.NextPermit(pacerStart); next.After(pacerStart.Add(10 * time.Second)) {
		t.Errorf("permit after %s at a limit of 0", next.Sub(pacerStart))
	}
	limit.PerSecond = 100
	p.SetLimit(pacerStart, limit, 1)
	if next := p.NextPermit(pacerStart); next.After(pacerStart.Add(10 * time.Millisecond)) {
		t.Errorf("permit after %s at a limit of 100", next.Sub(pacerStart))
	}
}
