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
	stepInterval = 300 * time.Millisecond
	smallLimit   = 25
	// evenLimit is divisible by 1 to 8, so that a share that is one too large exceeds the limit.
	evenLimit        = 840
	initialInstances = 8
	maxInstanceCount = 11
	// frozenConnectionTimeout is the time after a freeze by which an upstream has closed the connections of the
	// frozen instance beyond its reserve.
	frozenConnectionTimeout = 20 * time.Second
)

var start = time.Unix(1000, 0)

// instance is one entry instance of a simulated fleet.
type instance struct {
	name        string
	startCount  uint64
	tracker     *tracker.Tracker
	share       *Share
	clockOffset time.Duration
	isUp        bool
	frozenAt    time.Time
	maxOpen     int
}

func (i *instance) isFrozen() bool { return !i.frozenAt.IsZero() }

// fleet is a set of entry instances that exchange gossip over links that may be cut, with clocks that
// disagree.
type fleet struct {
	now       time.Time
	limit     uint32
	random    *rand.Rand
	instances []*instance
	isCut     map[[2]string]bool
}

func newFleet(seed uint64, limit uint32) *fleet {
	f := &fleet{
		now:    start,
		limit:  limit,
		random: rand.New(rand.NewPCG(seed, seed)),
		isCut:  map[[2]string]bool{},
	}
	for i := range initialInstances {
		f.addInstance(fmt.Sprintf("entry-%d", i))
	}
	return f
}

func (f *fleet) addInstance(name string) {
	i := &instance{
		name:        name,
		clockOffset: time.Duration(f.random.IntN(7200)-3600) * time.Second,
	}
	f.instances = append(f.instances, i)
	f.startInstance(i)
}

func (f *fleet) startInstance(i *instance) {
	i.startCount++
	i.isUp = true
	i.frozenAt = time.Time{}
	i.maxOpen = 0
	self := &wire.Member{
		Instance:    i.name,
		Address:     i.name,
		Zone:        "zone",
		Incarnation: uint64(f.clock(i).UnixNano()),
	}
	i.tracker = tracker.New(self, tracker.DefaultTimeouts, f.random, true)
	i.share = NewShare(f.clock(i), initialInstances-1)
}

func (f *fleet) clock(i *instance) time.Time { return f.now.Add(i.clockOffset) }

// step lets every running instance send a heartbeat and exchange gossip with every instance that it can
// reach.
func (f *fleet) step() {
	f.now = f.now.Add(stepInterval)
	for _, i := range f.instances {
		if i.isUp && !i.isFrozen() {
			f.heartbeat(i)
		}
	}
	for _, a := range f.instances {
		for _, b := range f.instances {
			f.exchange(a, b)
		}
	}
}

func (f *fleet) heartbeat(i *instance) {
	now := f.clock(i)
	i.tracker.Tick(now)
	f.updateShare(i)
	i.tracker.AdvanceHeartbeat(1, i.share.View())
}

func (f *fleet) updateShare(i *instance) {
	now := f.clock(i)
	if i.share.Update(now, i.tracker.Self(), i.tracker.Members(""), i.tracker.WasKnown()) {
		i.tracker.RenewEpoch()
	}
	i.maxOpen = i.share.MaxConnections(now, f.limit)
}

func (f *fleet) exchange(a, b *instance) {
	if a == b || !a.isUp || !b.isUp || a.isFrozen() || b.isFrozen() || f.isCut[[2]string{a.name, b.name}] || f.random.IntN(10) == 0 {
		return
	}
	sentAt := f.clock(a)
	f.sendGossip(a, b)
	a.tracker.ResolveEpoch(b.tracker.PreviousIncarnation(a.name, a.tracker.Self().GetIncarnation()))
	f.sendGossip(b, a)
	a.tracker.RecordContact(b.name, b.name, sentAt)
	f.updateShare(b)
	f.updateShare(a)
}

func (f *fleet) sendGossip(from, to *instance) {
	to.tracker.Merge(f.clock(to), from.tracker.Self())
	for _, m := range from.tracker.Gossip(64) {
		to.tracker.Merge(f.clock(to), m)
	}
}

// totalConnections returns how many connections all instances together may have open to one upstream.
func (f *fleet) totalConnections() int {
	total := 0
	for _, i := range f.instances {
		switch {
		case !i.isUp:
		case i.isFrozen() && f.now.Sub(i.frozenAt) > frozenConnectionTimeout:
			total += min(reservedConnections, i.maxOpen)
		default:
			total += i.maxOpen
		}
	}
	return total
}

func (f *fleet) setLink(a, b string, isCut bool) {
	f.isCut[[2]string{a, b}] = isCut
	f.isCut[[2]string{b, a}] = isCut
}

// injectFault applies one random change: a crash, leave, restart, freeze, resume, link cut, repair, zone
// partition or new instance.
func (f *fleet) injectFault() {
	i := f.instances[f.random.IntN(len(f.instances))]
	other := f.instances[f.random.IntN(len(f.instances))]
	switch f.random.IntN(10) {
	case 0:
		i.isUp = false
	case 1:
		i.tracker.Leave()
		f.broadcast(i)
		i.isUp = false
	case 2, 3:
		if !i.isUp {
			f.startInstance(i)
		}
	case 4:
		if i.isUp && !i.isFrozen() {
			i.frozenAt = f.now
		}
	case 5:
		i.frozenAt = time.Time{}
	case 6:
		f.setLink(i.name, other.name, true)
	case 7:
		f.isCut = map[[2]string]bool{}
	case 8:
		f.splitZones()
	case 9:
		if len(f.instances) < maxInstanceCount {
			f.addInstance(fmt.Sprintf("entry-%d", len(f.instances)))
		}
	}
}

func (f *fleet) broadcast(from *instance) {
	if !from.isUp || from.isFrozen() {
		return
	}
	for _, to := range f.instances {
		if to != from && to.isUp && !to.isFrozen() && !f.isCut[[2]string{from.name, to.name}] {
			f.sendGossip(from, to)
		}
	}
}

func (f *fleet) splitZones() {
	for a, from := range f.instances {
		for b, to := range f.instances {
			f.setLink(from.name, to.name, a%4 != b%4)
		}
	}
}

// TestLimitIsNeverExceeded checks the sum of all shares after each step while instances crash, leave,
// restart, freeze and lose links.
func TestLimitIsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(seed, evenLimit)
			for step := range 600 {
				if step%(1+int(seed)) == 0 {
					f.injectFault()
				}
				f.step()
				if total := f.totalConnections(); total > evenLimit {
					t.Fatalf("step %d: %d connections for a limit of %d: %s", step, total, evenLimit, f.describe())
				}
			}
		})
	}
}

func (f *fleet) describe() string {
	text := ""
	for _, i := range f.instances {
		text += fmt.Sprintf("%s: up %t, frozen %t, max connections %d, divisor %d, absent %d; ", i.name, i.isUp, i.isFrozen(), i.maxOpen, i.share.divisor, i.share.absentInstances)
	}
	return text
}

// TestShareIsUsable checks the shares that a fleet converges to with and without faults.
func TestShareIsUsable(t *testing.T) {
	cases := []struct {
		name  string
		event func(f *fleet)
		steps int
		want  map[string]int
	}{
		{"new fleet", func(*fleet) {}, 10, map[string]int{"entry-0": 3, "entry-7": 3}},
		{"instance joined", func(f *fleet) { f.addInstance("entry-8") }, 10, map[string]int{"entry-0": 2, "entry-8": 2}},
		{"restarted after a crash", func(f *fleet) { f.startInstance(f.instances[2]) }, 10, map[string]int{"entry-0": 3, "entry-2": 3}},
		{"restarted while another is down", func(f *fleet) {
			f.instances[1].isUp = false
			f.startInstance(f.instances[2])
		}, 10, map[string]int{"entry-0": 3, "entry-2": 3}},
		{"three crashed for good", func(f *fleet) {
			for _, i := range f.instances[:3] {
				i.isUp = false
			}
		}, 150, map[string]int{"entry-3": 4, "entry-7": 4}},
		{"partitioned into four zones", (*fleet).splitZones, 150, map[string]int{"entry-0": 1, "entry-7": 1}},
		{"partitioned and repaired", func(f *fleet) {
			f.splitZones()
			for range 150 {
				f.step()
			}
			f.isCut = map[[2]string]bool{}
		}, 20, map[string]int{"entry-0": 3, "entry-7": 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, smallLimit)
			for range 20 {
				f.step()
			}
			c.event(f)
			for range c.steps {
				f.step()
			}
			for _, i := range f.instances {
				if want, ok := c.want[i.name]; ok && i.maxOpen != want {
					t.Errorf("%s: share of limit %d is %d, want %d: %s", i.name, smallLimit, i.maxOpen, want, f.describe())
				}
			}
		})
	}
}
