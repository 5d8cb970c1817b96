package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	round = 300 * time.Millisecond
	limit = 25
	// evenLimit leaves no rest when few instances divide it, so that a share that is one too large shows.
	evenLimit    = 840
	instances    = 8
	maxInstances = 11
	// idleRun is how long after a freeze an upstream has answered and closed every run of the frozen instance.
	idleRun = 20 * time.Second
)

var start = time.Unix(1000, 0)

// instance is one entry instance of a simulated fleet.
type instance struct {
	name     string
	lives    uint64
	tracker  *tracker.Tracker
	share    *Share
	offset   time.Duration
	isUp     bool
	frozenAt time.Time
	held     int
}

func (i *instance) isFrozen() bool { return !i.frozenAt.IsZero() }

// fleet is instances that exchange what they know, over links that may be cut, with clocks that disagree.
type fleet struct {
	now       time.Time
	limit     uint32
	random    *rand.Rand
	instances []*instance
	cuts      map[[2]string]bool
}

func newFleet(seed uint64, limit uint32) *fleet {
	f := &fleet{
		now:    start,
		limit:  limit,
		random: rand.New(rand.NewPCG(seed, seed)),
		cuts:   map[[2]string]bool{},
	}
	for i := range instances {
		f.add(fmt.Sprintf("entry-%d", i))
	}
	return f
}

func (f *fleet) add(name string) {
	i := &instance{
		name:   name,
		offset: time.Duration(f.random.IntN(7200)-3600) * time.Second,
	}
	f.instances = append(f.instances, i)
	f.begin(i)
}

func (f *fleet) begin(i *instance) {
	i.lives++
	i.isUp = true
	i.frozenAt = time.Time{}
	i.held = 0
	self := &wire.Member{
		Instance:    i.name,
		Address:     i.name,
		Zone:        "zone",
		Incarnation: uint64(f.clock(i).UnixNano()),
	}
	i.tracker = tracker.New(self, tracker.DefaultTiming, f.random, true)
	i.share = NewShare(f.clock(i), instances-1)
}

func (f *fleet) clock(i *instance) time.Time { return f.now.Add(i.offset) }

// step lets every instance that runs beat, and call every other that it reaches.
func (f *fleet) step() {
	f.now = f.now.Add(round)
	for _, i := range f.instances {
		if i.isUp && !i.isFrozen() {
			f.beat(i)
		}
	}
	for _, a := range f.instances {
		for _, b := range f.instances {
			f.exchange(a, b)
		}
	}
}

func (f *fleet) beat(i *instance) {
	now := f.clock(i)
	i.tracker.Tick(now)
	f.update(i)
	i.tracker.Beat(1, i.share.View())
}

func (f *fleet) update(i *instance) {
	now := f.clock(i)
	if i.share.Update(now, i.tracker.Self(), i.tracker.Members(""), i.tracker.WasKnown()) {
		i.tracker.Renew()
	}
	i.held = i.share.Of(now, f.limit)
}

func (f *fleet) exchange(a, b *instance) {
	if a == b || !a.isUp || !b.isUp || a.isFrozen() || b.isFrozen() || f.cuts[[2]string{a.name, b.name}] || f.random.IntN(10) == 0 {
		return
	}
	sentAt := f.clock(a)
	f.tell(a, b)
	a.tracker.Settle(b.tracker.Remembered(a.name, a.tracker.Self().GetIncarnation()))
	f.tell(b, a)
	a.tracker.Reach(b.name, b.name, sentAt)
	f.update(b)
	f.update(a)
}

func (f *fleet) tell(from, to *instance) {
	to.tracker.Hear(f.clock(to), from.tracker.Self())
	for _, m := range from.tracker.Gossip(64) {
		to.tracker.Hear(f.clock(to), m)
	}
}

// sum returns how many connections all instances may have open to one upstream.
func (f *fleet) sum() int {
	total := 0
	for _, i := range f.instances {
		switch {
		case !i.isUp:
		case i.isFrozen() && f.now.Sub(i.frozenAt) > idleRun:
			total += min(reserve, i.held)
		default:
			total += i.held
		}
	}
	return total
}

func (f *fleet) cut(a, b string, isCut bool) {
	f.cuts[[2]string{a, b}] = isCut
	f.cuts[[2]string{b, a}] = isCut
}

// disturb does one thing at random.
func (f *fleet) disturb() {
	i := f.instances[f.random.IntN(len(f.instances))]
	other := f.instances[f.random.IntN(len(f.instances))]
	switch f.random.IntN(10) {
	case 0:
		i.isUp = false
	case 1:
		i.tracker.Leave()
		f.tellAll(i)
		i.isUp = false
	case 2, 3:
		if !i.isUp {
			f.begin(i)
		}
	case 4:
		if i.isUp && !i.isFrozen() {
			i.frozenAt = f.now
		}
	case 5:
		i.frozenAt = time.Time{}
	case 6:
		f.cut(i.name, other.name, true)
	case 7:
		f.cuts = map[[2]string]bool{}
	case 8:
		f.splitZones()
	case 9:
		if len(f.instances) < maxInstances {
			f.add(fmt.Sprintf("entry-%d", len(f.instances)))
		}
	}
}

func (f *fleet) tellAll(from *instance) {
	if !from.isUp || from.isFrozen() {
		return
	}
	for _, to := range f.instances {
		if to != from && to.isUp && !to.isFrozen() && !f.cuts[[2]string{from.name, to.name}] {
			f.tell(from, to)
		}
	}
}

func (f *fleet) splitZones() {
	for a, from := range f.instances {
		for b, to := range f.instances {
			f.cut(from.name, to.name, a%4 != b%4)
		}
	}
}

// TestLimitIsNeverPassed disturbs a fleet with kills, leaves, restarts, freezes and cuts, and adds up the shares after each round.
func TestLimitIsNeverPassed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(seed, evenLimit)
			for n := range 600 {
				if n%(1+int(seed)) == 0 {
					f.disturb()
				}
				f.step()
				if sum := f.sum(); sum > evenLimit {
					t.Fatalf("round %d: %d connections for a limit of %d: %s", n, sum, evenLimit, f.describe())
				}
			}
		})
	}
}

func (f *fleet) describe() string {
	text := ""
	for _, i := range f.instances {
		text += fmt.Sprintf("%s up %t frozen %t held %d divisor %d absent %d; ", i.name, i.isUp, i.isFrozen(), i.held, i.share.divisor, i.share.absent)
	}
	return text
}

// TestShareIsUsable expects the shares that undisturbed fleets and those in trouble come to.
func TestShareIsUsable(t *testing.T) {
	cases := []struct {
		name   string
		event  func(f *fleet)
		rounds int
		want   map[string]int
	}{
		{"formed", func(*fleet) {}, 10, map[string]int{"entry-0": 3, "entry-7": 3}},
		{"joined", func(f *fleet) { f.add("entry-8") }, 10, map[string]int{"entry-0": 2, "entry-8": 2}},
		{"restarted after a crash", func(f *fleet) { f.begin(f.instances[2]) }, 10, map[string]int{"entry-0": 3, "entry-2": 3}},
		{"restarted while another is down", func(f *fleet) {
			f.instances[1].isUp = false
			f.begin(f.instances[2])
		}, 10, map[string]int{"entry-0": 3, "entry-2": 3}},
		{"three lost for good", func(f *fleet) {
			for _, i := range f.instances[:3] {
				i.isUp = false
			}
		}, 150, map[string]int{"entry-3": 4, "entry-7": 4}},
		{"cut into four zones", (*fleet).splitZones, 150, map[string]int{"entry-0": 1, "entry-7": 1}},
		{"cut and healed", func(f *fleet) {
			f.splitZones()
			for range 150 {
				f.step()
			}
			f.cuts = map[[2]string]bool{}
		}, 20, map[string]int{"entry-0": 3, "entry-7": 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, limit)
			for range 20 {
				f.step()
			}
			c.event(f)
			for range c.rounds {
				f.step()
			}
			for _, i := range f.instances {
				if want, ok := c.want[i.name]; ok && i.held != want {
					t.Errorf("%s: share of %d is %d, want %d: %s", i.name, limit, i.held, want, f.describe())
				}
			}
		})
	}
}
