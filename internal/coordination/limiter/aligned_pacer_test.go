package limiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	coldOverage   = 1.5
	coldTolerance = 5
)

// alignedInstance is an entry instance that knows of a number of instances that may be wrong.
type alignedInstance struct {
	pacer     *AlignedPacer
	startsAt  time.Duration
	instances func(elapsed time.Duration) int
	place     int
	// hasPlace is false while the instance does not know the others, so that its place is random.
	hasPlace bool
	// overage and tolerance are how far the replica may be sent more than its rate.
	overage   float64
	tolerance float64
}

func (i *alignedInstance) shareAt(elapsed time.Duration, perSecond float64) AlignedShare {
	instances := i.instances(elapsed)
	phase := float64(i.place%instances) / float64(instances)
	if !i.hasPlace {
		phase = rand.New(rand.NewPCG(uint64(i.place), 1)).Float64()
	}
	return AlignedShare{
		PerSecond: PermitRate(perSecond, i.overage, i.tolerance),
		Instances: instances,
		Phase:     phase,
		Lifetime:  PermitLifetime(perSecond, i.overage, i.tolerance),
	}
}

// alignedDemand is how many requests an instance has at a time.
type alignedDemand func(elapsed time.Duration) bool

// simulateAligned returns how many requests were sent in each step of 20 ms.
func simulateAligned(fleet []*alignedInstance, perSecond float64, duration time.Duration, hasDemand alignedDemand) []int {
	const step = 20 * time.Millisecond
	begin := time.Unix(1_700_000_000, 0)
	sent := make([]int, duration/step)
	for i := range sent {
		elapsed := time.Duration(i) * step
		now := begin.Add(elapsed)
		for _, instance := range fleet {
			if elapsed < instance.startsAt {
				continue
			}
			share := instance.shareAt(elapsed, perSecond)
			if instance.pacer == nil {
				instance.pacer = NewAlignedPacer(now, share)
			}
			instance.pacer.SetShare(now, share)
			if hasDemand(elapsed) && !instance.pacer.NextPermit(now).After(now) {
				instance.pacer.Take(now)
				sent[i]++
			}
		}
	}
	return sent
}

// worstSecond returns the largest sum over a second, and the mean per second.
func worstSecond(sent []int) (int, float64) {
	const window = 50
	sum, worst, total := 0, 0, 0
	for i, n := range sent {
		sum += n
		total += n
		if i >= window {
			sum -= sent[i-window]
		}
		worst = max(worst, sum)
	}
	return worst, float64(total) * window / float64(len(sent))
}

// fleetCase is what the instances of a fleet know of each other.
type fleetCase struct {
	name string
	// known returns the number of instances that an instance knows, and starts when it starts.
	known  func(i int, elapsed time.Duration) int
	starts func(i int) time.Duration
	// hasNoPlaces is set if the instances' places among the others are random.
	hasNoPlaces bool
	// minServed is the smallest share of the rate that steady demand uses.
	minServed float64
	overage   float64
	tolerance float64
}

const (
	fleetSize = 80
	// joiners is how many of them join one after the other, one a second.
	joiners = 10
)

func startsAtOnce(int) time.Duration { return 0 }

// joinDelay returns when the instance joins a fleet that grows.
func joinDelay(i int) time.Duration { return time.Duration(max(0, i-fleetSize+joiners)) * time.Second }

// knownWhileGrowing returns how many instances of a fleet that grows are known to the instance, which takes up to 2 s for each.
func knownWhileGrowing(i int, elapsed time.Duration) int {
	known := 0
	for other := range fleetSize {
		if elapsed >= joinDelay(other)+time.Duration(i%20)*100*time.Millisecond || joinDelay(other) == 0 {
			known++
		}
	}
	return known
}

func (c *fleetCase) newFleet() []*alignedInstance {
	var fleet []*alignedInstance
	for i := range fleetSize {
		fleet = append(fleet, &alignedInstance{
			startsAt:  c.starts(i),
			instances: func(elapsed time.Duration) int { return c.known(i, elapsed) },
			place:     i,
			hasPlace:  !c.hasNoPlaces,
			overage:   c.overage,
			tolerance: c.tolerance,
		})
	}
	return fleet
}

// requireWithinLimit checks the worst second of the fleet at the rate, with steady demand and with bursts of all instances at the same moment after some seconds without any.
func (c *fleetCase) requireWithinLimit(t *testing.T, perSecond float64) {
	t.Helper()
	const duration = 90 * time.Second
	limit := perSecond*c.overage + c.tolerance
	worst, mean := worstSecond(simulateAligned(c.newFleet(), perSecond, duration, func(time.Duration) bool { return true }))
	if float64(worst) > limit {
		t.Errorf("%v per second: %d requests in a second, the replica survives %v", perSecond, worst, limit)
	}
	if mean < c.minServed*perSecond {
		t.Errorf("%v per second: %.1f requests a second served, want at least %.1f", perSecond, mean, c.minServed*perSecond)
	}
	worst, _ = worstSecond(simulateAligned(c.newFleet(), perSecond, duration, func(elapsed time.Duration) bool { return elapsed%(4*time.Second) < 100*time.Millisecond }))
	if float64(worst) > limit {
		t.Errorf("%v per second: %d requests in a second of a burst, the replica survives %v", perSecond, worst, limit)
	}
}

// TestColdReplicaSurvivesFleet guards against more requests in a second at a cold replica than it survives, from 80 entry instances together, while the instances know their number, while it is known wrong, and while it grows. It also checks that demand above the limit is served up to it; each change of the number costs an instance up to an interval.
func TestColdReplicaSurvivesFleet(t *testing.T) {
	cases := []fleetCase{
		{"right", func(int, time.Duration) int { return fleetSize }, startsAtOnce, false, 0.95, coldOverage, coldTolerance},
		{"a tenth is missing from the lists of half", func(i int, _ time.Duration) int { return fleetSize - i%2*8 }, startsAtOnce, false, 0.95, coldOverage, coldTolerance},
		{"number and places assumed", func(int, time.Duration) int { return 100 }, startsAtOnce, true, 0.75, coldOverage, coldTolerance},
		{"an eighth joins", knownWhileGrowing, joinDelay, false, 0.85, coldOverage, coldTolerance},
		// The sum over a second is rounded up to a whole request.
		{"no overage", func(int, time.Duration) int { return fleetSize }, startsAtOnce, false, 0.75, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, perSecond := range []float64{2, 8, 20, 60} {
				c.requireWithinLimit(t, perSecond)
			}
		})
	}
}

// TestChangedShareGivesNoPermit guards against additional requests whenever the number of instances or the place among them changes.
func TestChangedShareGivesNoPermit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	share := AlignedShare{
		PerSecond: 10,
		Instances: 10,
		Lifetime:  100 * time.Millisecond,
	}
	p := NewAlignedPacer(now, share)
	taken := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		share.Phase = float64(now.UnixMilli()%97) / 97
		p.SetShare(now, share)
		if !p.NextPermit(now).After(now) {
			p.Take(now)
			taken++
		}
	}
	if taken > 10 {
		t.Errorf("%d permits in 10 s, want 10 at most", taken)
	}
}
