package allotter

import (
	"slices"
	"testing"
	"time"
)

const (
	// hotShare is the least share of what a hot organisation is owed that it gets on days with faults. While its keeper is gone, its zone has only what other zones lend.
	hotShare = 0.8
	// cutDuration is how long zones or pieces are cut. Refusals grow with it, since a zone that is cut off has only its own share.
	cutDuration = 12 * time.Second
)

// fault is something that happens to a fleet while callers send requests.
type fault struct {
	name string
	// refusedShare is the largest share of refusals of what is owed.
	refusedShare float64
	// play passes the time of the simulation.
	play func(s *simulation)
}

// instanceFaults are those of instances and limits.
func instanceFaults() []fault {
	return []fault{
		{"calm", 1.0 / 200, func(s *simulation) {
			s.lostShare = 0
			s.serve(simDuration)
		}},
		{"keepers killed", 1.0 / 50, func(s *simulation) {
			s.forSome(8*time.Second, 4, func(i *simInstance) { i.isDown = true }, s.restart)
		}},
		{"keepers frozen and woken", 1.0 / 50, func(s *simulation) {
			s.forSome(4*time.Second, 6, func(i *simInstance) { i.isFrozen = true }, func(i *simInstance) { i.isFrozen = false })
		}},
		{"keepers restarted", 1.0 / 50, func(s *simulation) {
			s.forSome(300*time.Millisecond, 12, func(i *simInstance) { i.isDown = true }, s.restart)
		}},
		{"all restarted at once", 1.0 / 50, func(s *simulation) {
			for range 2 {
				s.serve(simDuration / 3)
				s.restartFleet()
			}
			s.serve(simDuration / 3)
		}},
		{"the limit of the hot organisation lowered", 1.0 / 50, func(s *simulation) {
			s.serve(simDuration / 2)
			for _, o := range s.organisations {
				if o.factor > 1 {
					o.limit.Rate /= 4
					o.limit.Burst /= 4
				}
			}
			s.version++
			// Instances learn of it within half a second, and leases of before last as long.
			s.serve(2 * LeaseDuration)
			for _, o := range s.organisations {
				o.admitted = nil
				if o.factor > 1 {
					o.owed = 0
				}
			}
			s.serve(simDuration / 2)
		}},
		{"instances join and leave", 1.0 / 50, func(s *simulation) {
			s.serve(simDuration / 3)
			for range 10 {
				s.addInstance()
			}
			s.serve(simDuration / 3)
			for _, i := range s.instances[40:50] {
				i.isDown = true
			}
			s.serve(simDuration / 3)
		}},
	}
}

// linkFaults are those of links and of lists of instances.
func linkFaults() []fault {
	return []fault{
		{"a zone cut off", 1.0 / 50, func(s *simulation) { s.cutPieces(func(n int) int { return min(n%simZones, 1) }) }},
		{"zones cut from each other", 1.0 / 50, func(s *simulation) { s.cutPieces(func(n int) int { return n % simZones }) }},
		{"a zone in pieces", 1.0 / 50, func(s *simulation) {
			s.cutPieces(func(n int) int {
				if n%simZones != 0 {
					return 0
				}
				return n / simZones % 2
			})
		}},
		{"pieces of a zone that reach all else", 1.0 / 50, func(s *simulation) {
			s.isControlled = func(int) bool { return true }
			s.cut = func(a, b int) bool { return a+b == 3 }
			s.cutPieces(func(n int) int {
				if n%simZones != 0 {
					return 0
				}
				return 1 + n/simZones%2
			})
		}},
		{"instances unknown to others", 1.0 / 50, func(s *simulation) {
			s.serve(simDuration / 3)
			s.hides = func(viewer, listed int) bool { return viewer != listed && (viewer+listed)%4 == 0 }
			s.serve(simDuration / 3)
			s.hides = func(int, int) bool { return false }
			s.serve(simDuration / 3)
		}},
	}
}

// forSome plays rounds in which the fault begins at a few instances and ends after the duration.
func (s *simulation) forSome(duration time.Duration, count int, begin, end func(*simInstance)) {
	const rounds = 6
	for range rounds {
		var chosen []*simInstance
		for range count {
			chosen = append(chosen, s.instances[s.random.IntN(len(s.instances))])
		}
		for _, i := range chosen {
			begin(i)
		}
		s.serve(duration)
		for _, i := range chosen {
			end(i)
		}
		s.serve(max(0, simDuration/rounds-duration))
	}
}

// cutPieces assigns the instances to pieces for a part of the time.
func (s *simulation) cutPieces(pieceOf func(number int) int) {
	s.serve(simDuration / 3)
	for n, i := range s.instances {
		i.piece = pieceOf(n)
	}
	s.serve(cutDuration)
	for _, i := range s.instances {
		i.piece = 0
	}
	s.serve(simDuration*2/3 - cutDuration)
}

// restartFleet restarts all instances within a second, in which control lists those that are back.
func (s *simulation) restartFleet() {
	for _, i := range s.instances {
		i.isDown = true
		i.heardAt = simStart
	}
	s.run(lossDelay)
	order := s.random.Perm(len(s.instances))
	for at, n := range order {
		s.restart(s.instances[n])
		if at%8 == 7 {
			s.serve(100 * time.Millisecond)
		}
	}
}

// fleetResult sums the runs of a fault.
type fleetResult struct {
	owed, refused int
	worstExcess   float64
}

// TestFleetKeepsAllotments guards against more requests than the allotment in any window, and against refusals of what is owed, while callers are uneven, one organisation sends 4 to 7 times its usual rate, and instances, links and lists fail.
func TestFleetKeepsAllotments(t *testing.T) {
	for _, f := range slices.Concat(instanceFaults(), linkFaults()) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			result := fleetResult{
				worstExcess: -1,
			}
			for seed := range uint64(3) {
				f.run(t, seed, &result)
			}
			t.Logf("worst window %+.2f of the allotment with its overage, %d of %d owed requests refused", result.worstExcess, result.refused, result.owed)
			if float64(result.refused) > f.refusedShare*float64(result.owed) {
				t.Errorf("%d of %d owed requests refused, want at most %.4f", result.refused, result.owed, f.refusedShare)
			}
		})
	}
}

// run plays the fault once and checks the windows of all organisations.
func (f *fault) run(t *testing.T, seed uint64, result *fleetResult) {
	t.Helper()
	s := newSimulation(seed)
	s.lostShare = lostShare
	hot := s.organisations[3*seed]
	hot.factor = 4 + float64(seed)*1.5
	hot.inBursts = seed > 0
	f.play(s)
	for _, o := range s.organisations {
		excess := o.worstExcess(s.terms, o.limit)
		result.worstExcess = max(result.worstExcess, excess)
		if excess > 0 {
			t.Errorf("seed %d: %s exceeds its allotment by %.2f", seed, o.limit.Organisation, excess)
		}
		if o != hot {
			result.owed += o.owed
			result.refused += o.refused
		}
	}
	if float64(len(hot.admitted)) < hotShare*float64(hot.owed) {
		t.Errorf("seed %d: %d requests of the hot organisation admitted, %d owed", seed, len(hot.admitted), hot.owed)
	}
}
