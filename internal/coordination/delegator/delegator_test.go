package delegator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRelayCount(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		instances int
		want      int
	}{
		{"nothing known", 0, 0, minRelays},
		{"all of a few instances", 9, 9, 12},
		{"hundreds of instances, few queries each", 0.16, 294, 12},
		{"few queries", 0.16, 73, minRelays},
		{"the aim: all relay", 192, 3700, 12288},
	}
	for _, c := range cases {
		if got := RelayCount(c.perSecond, c.instances); got != c.want {
			t.Errorf("%s: %d relays, want %d", c.name, got, c.want)
		}
	}
}

func TestRate(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	r := NewRate(start)
	if got := r.PerSecond(start); got != 0 {
		t.Errorf("%.2f per second without events", got)
	}
	now := start
	for range 3 * int(rateWindow.Seconds()) {
		now = now.Add(time.Second)
		r.Add(now)
	}
	if got := r.PerSecond(now); got < 0.9 || got > 1.1 {
		t.Errorf("%.2f per second, want 1", got)
	}
	if got := r.PerSecond(now.Add(3 * rateWindow)); got != 0 {
		t.Errorf("%.2f per second after a long silence", got)
	}
}

const (
	simulatedZones  = 6
	simulatedShards = 180
	// idleTimeout is how long replicas keep idle connections.
	idleTimeout = 4 * time.Second
)

// fleet is a fleet of the large deployment: each shard has a replica in three of six availability zones, and few queries come to each of many instances.
type fleet struct {
	random    *rand.Rand
	instances [][]string
	// relays holds the relays of each zone, all instances without a limit.
	relays [][]string
	// isLimited is set if there are fewer relays than instances, and takesTurns if instances are asked one after the other.
	isLimited  bool
	takesTurns bool
	// usedAt holds when an instance last used its connection to the replica of a shard in its zone.
	usedAt   map[string][]time.Time
	attempts int
	cold     int
	turn     int
}

func newFleet(perZone, relays int) *fleet {
	f := &fleet{
		random:    rand.New(rand.NewPCG(1, 2)),
		isLimited: relays < perZone,
		usedAt:    map[string][]time.Time{},
	}
	for zone := range simulatedZones {
		var names []string
		for i := range perZone {
			name := fmt.Sprintf("%d-%d", zone, i)
			names = append(names, name)
			f.usedAt[name] = make([]time.Time, simulatedShards)
		}
		f.instances = append(f.instances, names)
		ranked := slices.SortedFunc(slices.Values(names), func(a, b string) int {
			return cmp.Compare(Weight(fmt.Sprint(zone), b), Weight(fmt.Sprint(zone), a))
		})
		f.relays = append(f.relays, ranked[:min(relays, perZone)])
	}
	return f
}

// choose returns the instance that asks the replicas of a zone for the caller's instance.
func (f *fleet) choose(self string, zone int) string {
	if f.takesTurns {
		f.turn++
		return f.instances[zone][f.turn%len(f.instances[zone])]
	}
	if !f.isLimited && slices.Contains(f.instances[zone], self) {
		return self
	}
	return slices.MinFunc(f.relays[zone], func(a, b string) int { return cmp.Compare(Weight(self, a), Weight(self, b)) })
}

// query sends a query to a random instance.
func (f *fleet) query(now time.Time) {
	zone := f.random.IntN(simulatedZones)
	self := f.instances[zone][f.random.IntN(len(f.instances[zone]))]
	asked := make([]string, simulatedZones)
	for shard := range simulatedShards {
		// The own zone if it has a replica of the shard, otherwise one of the three that have.
		target := zone
		if (shard+zone)%2 > 0 {
			target = (zone + 1 + 2*f.random.IntN(3)) % simulatedZones
		}
		if asked[target] == "" {
			asked[target] = f.choose(self, target)
		}
		used := &f.usedAt[asked[target]][shard]
		f.attempts++
		if now.Sub(*used) > idleTimeout {
			f.cold++
		}
		*used = now
	}
}

// coldShare returns the share of attempts that open a connection.
func (f *fleet) coldShare(queriesPerSecond float64) float64 {
	now := time.Unix(1_000_000, 0)
	for range 3000 {
		now = now.Add(time.Duration(f.random.ExpFloat64() / queriesPerSecond * float64(time.Second)))
		if f.attempts < 1000*simulatedShards {
			f.cold = 0
		}
		f.query(now)
	}
	return float64(f.cold) / float64(f.attempts-1000*simulatedShards)
}

// TestRelaysKeepConnectionsInUse plays the load of the large deployment and compares the share of attempts that have to open a connection: with relays of the chosen number, with a preferred peer of each instance, and with peers in turn.
func TestRelaysKeepConnectionsInUse(t *testing.T) {
	const (
		perZone          = 49
		queriesPerSecond = 48.0
	)
	relays := RelayCount(queriesPerSecond/(perZone*simulatedZones), perZone*simulatedZones)
	chosen := newFleet(perZone, relays).coldShare(queriesPerSecond)
	preferred := newFleet(perZone, perZone).coldShare(queriesPerSecond)
	turns := newFleet(perZone, perZone)
	turns.takesTurns = true
	inTurn := turns.coldShare(queriesPerSecond)
	t.Logf("%d relays a zone: %.3f; a preferred peer: %.3f; in turn: %.3f", relays, chosen, preferred, inTurn)
	// The aim is two new connections for a hundred requests.
	if chosen > 0.02 || chosen > preferred/5 || chosen > inTurn/5 {
		t.Errorf("%.3f of the attempts open a connection, %.3f with a preferred peer, %.3f in turn", chosen, preferred, inTurn)
	}
}
