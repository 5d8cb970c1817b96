package loader

import (
	"fmt"
	"math"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/assembler"
)

const (
	betweenZonesMs      = 0.5
	stragglerFactor     = 10
	stragglerDurationMs = 300
	// stragglerTurns is how many replicas share one straggler's time.
	stragglerTurns = 10
	rowsPerShard   = 20
	loadControls   = 3
	loadZones      = 4
)

// preset is a customer's sizes.
type preset struct {
	name         string
	summary      string
	clientOneWay time.Duration
	services     []presetService
}

// presetService is one searchable service: each query touches all of its shards.
type presetService struct {
	name        string
	shards      int
	replicas    int
	slots       uint32
	connections uint32
	openingMs   float64
}

func presets() []preset {
	return []preset{
		{
			name:         "kvali-desk",
			summary:      "support desk and billing run: 20 and 30 shards of 2 replicas with 2 slots",
			clientOneWay: 3 * time.Millisecond,
			services: []presetService{
				{name: "support-desk", shards: 20, replicas: 2, slots: 2, connections: 25, openingMs: 6},
				{name: "billing-run", shards: 30, replicas: 2, slots: 2, connections: 25, openingMs: 6},
			},
		},
		{
			name:         "kvali-panel",
			summary:      "organisation panel and abuse review: 5 and 4 replicas with 2 slots",
			clientOneWay: 3 * time.Millisecond,
			services: []presetService{
				{name: "organisation-panel", shards: 1, replicas: 5, slots: 2, connections: 110, openingMs: 1},
				{name: "abuse-review", shards: 1, replicas: 4, slots: 2, connections: 110, openingMs: 1},
			},
		},
		{
			name:         "plinovid-dispatch",
			summary:      "dispatch and parts: 20 and 30 shards of 2 replicas with 2 slots",
			clientOneWay: time.Millisecond,
			services: []presetService{
				{name: "dispatch", shards: 20, replicas: 2, slots: 2, connections: 25, openingMs: 6},
				{name: "parts", shards: 30, replicas: 2, slots: 2, connections: 25, openingMs: 6},
			},
		},
		{
			name:         "plinovid-logging",
			summary:      "field logging and regulator reports: 7 and 4 replicas with 6 slots",
			clientOneWay: time.Millisecond,
			services: []presetService{
				{name: "field-logging", shards: 1, replicas: 7, slots: 6, connections: 50, openingMs: 1},
				{name: "regulator-reports", shards: 1, replicas: 4, slots: 6, connections: 50, openingMs: 1},
			},
		},
	}
}

func presetNames() []string {
	var names []string
	for _, p := range presets() {
		names = append(names, p.name)
	}
	return names
}

func findPreset(name string) (preset, bool) {
	for _, p := range presets() {
		if p.name == name {
			return p, true
		}
	}
	return preset{}, false
}

// work is how long upstreams work: log-normal, with one replica in ten straggling at a time where that is on.
type work struct {
	medianMs   float64
	sigma      float64
	stragglers bool
}

func (w work) meanMs() float64 { return w.medianMs * math.Exp(w.sigma*w.sigma/2) }

// capacity is how many queries a second keep every slot of the service at work; each query takes a slot of every shard.
func (s presetService) capacity(w work) float64 {
	return float64(s.replicas) * float64(s.slots) / (w.meanMs() / 1000)
}

func (s presetService) switches(w work) func(shard, replica int) checker.Switches {
	return func(shard, replica int) checker.Switches {
		switches := checker.Switches{
			WorkMs:              w.medianMs,
			WorkSigma:           w.sigma,
			ConnectionLimit:     s.connections,
			ConnectionOpeningMs: s.openingMs,
			OneWayMs:            betweenZonesMs,
		}
		if w.stragglers {
			switches.StragglerFactor = stragglerFactor
			switches.StragglerDurationMs = stragglerDurationMs
			switches.StragglerPeriodMs = stragglerTurns * stragglerDurationMs
			switches.StragglerOffsetMs = int64(s.turn(shard, replica) * stragglerDurationMs)
		}
		return switches
	}
}

// turn spreads the stragglers' times so that two replicas of one shard never meet.
func (s presetService) turn(shard, replica int) int {
	return (shard + replica*stragglerTurns/s.replicas) % stragglerTurns
}

func (s presetService) assembly(w work, timeout time.Duration, seed uint64) assembler.Service {
	return assembler.Service{
		Name:        s.name,
		Shards:      s.shards,
		Replicas:    s.replicas,
		Slots:       s.slots,
		Connections: s.connections,
		Rows:        rowsPerShard,
		TimeoutMs:   uint32(timeout.Milliseconds()),
		Seed:        seed,
		Switches:    s.switches(w),
	}
}

// scale makes the preset's services smaller or larger in shards, or in replicas where there is one shard.
func (p preset) scale(share float64) preset {
	scaled := p
	scaled.services = nil
	for _, s := range p.services {
		if s.shards > 1 {
			s.shards = max(1, int(math.Round(float64(s.shards)*share)))
		} else {
			s.replicas = max(1, int(math.Round(float64(s.replicas)*share)))
		}
		scaled.services = append(scaled.services, s)
	}
	return scaled
}

func (p preset) String() string { return fmt.Sprintf("%-18s %s", p.name, p.summary) }
