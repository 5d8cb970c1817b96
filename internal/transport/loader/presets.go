package loader

import (
	"fmt"
	"math"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/assembler"
)

const (
	// interZoneOneWayMs is the one-way delay that stand-ins add to requests and replies.
	interZoneOneWayMs   = 0.5
	stragglerFactor     = 10
	stragglerDurationMs = 300
	// stragglerPhases is the number of phases of a straggler period; a replica straggles in one of them.
	stragglerPhases = 10
	rowsPerShard    = 20
	controlCount    = 3
	zoneCount       = 4
)

// preset holds the sizes of one customer's services.
type preset struct {
	name         string
	summary      string
	clientOneWay time.Duration
	services     []presetService
}

// presetService is one searchable service; each query goes to all of its shards.
type presetService struct {
	name                string
	shards              int
	replicas            int
	slots               uint32
	connections         uint32
	connectionOpeningMs float64
}

func presets() []preset {
	return []preset{
		{
			name:         "kvali-desk",
			summary:      "support desk and billing run: 20 and 30 shards of 2 replicas with 2 slots",
			clientOneWay: 3 * time.Millisecond,
			services: []presetService{
				{name: "support-desk", shards: 20, replicas: 2, slots: 2, connections: 25, connectionOpeningMs: 6},
				{name: "billing-run", shards: 30, replicas: 2, slots: 2, connections: 25, connectionOpeningMs: 6},
			},
		},
		{
			name:         "kvali-panel",
			summary:      "organisation panel and abuse review: 5 and 4 replicas with 2 slots",
			clientOneWay: 3 * time.Millisecond,
			services: []presetService{
				{name: "organisation-panel", shards: 1, replicas: 5, slots: 2, connections: 110, connectionOpeningMs: 1},
				{name: "abuse-review", shards: 1, replicas: 4, slots: 2, connections: 110, connectionOpeningMs: 1},
			},
		},
		{
			name:         "plinovid-dispatch",
			summary:      "dispatch and parts: 20 and 30 shards of 2 replicas with 2 slots",
			clientOneWay: time.Millisecond,
			services: []presetService{
				{name: "dispatch", shards: 20, replicas: 2, slots: 2, connections: 25, connectionOpeningMs: 6},
				{name: "parts", shards: 30, replicas: 2, slots: 2, connections: 25, connectionOpeningMs: 6},
			},
		},
		{
			name:         "plinovid-logging",
			summary:      "field logging and regulator reports: 7 and 4 replicas with 6 slots",
			clientOneWay: time.Millisecond,
			services: []presetService{
				{name: "field-logging", shards: 1, replicas: 7, slots: 6, connections: 50, connectionOpeningMs: 1},
				{name: "regulator-reports", shards: 1, replicas: 4, slots: 6, connections: 50, connectionOpeningMs: 1},
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

// workload describes the work time of upstreams: log-normal, with one replica in ten straggling at a time if stragglers is set.
type workload struct {
	medianMs   float64
	sigma      float64
	stragglers bool
}

// meanMs returns the mean of the log-normal work time.
func (w workload) meanMs() float64 { return w.medianMs * math.Exp(w.sigma*w.sigma/2) }

// queriesPerSecond returns the query rate that keeps every slot of the service busy, as each query takes one slot of every shard. Stragglers are not accounted for.
func (s presetService) queriesPerSecond(w workload) float64 {
	return float64(s.replicas) * float64(s.slots) / (w.meanMs() / 1000)
}

// newSwitchesFunc returns a function that returns the switches of a shard's replica.
func (s presetService) newSwitchesFunc(w workload) func(shard, replica int) checker.Switches {
	return func(shard, replica int) checker.Switches {
		switches := checker.Switches{
			WorkMs:              w.medianMs,
			WorkSigma:           w.sigma,
			ConnectionLimit:     s.connections,
			ConnectionOpeningMs: s.connectionOpeningMs,
			OneWayMs:            interZoneOneWayMs,
		}
		if w.stragglers {
			switches.StragglerFactor = stragglerFactor
			switches.StragglerDurationMs = stragglerDurationMs
			switches.StragglerPeriodMs = stragglerPhases * stragglerDurationMs
			switches.StragglerOffsetMs = int64(s.stragglerPhase(shard, replica) * stragglerDurationMs)
		}
		return switches
	}
}

// stragglerPhase returns the phase in which a replica straggles, chosen so that no two replicas of a shard straggle at the same time.
func (s presetService) stragglerPhase(shard, replica int) int {
	return (shard + replica*stragglerPhases/s.replicas) % stragglerPhases
}

func (s presetService) clusterService(w workload, timeout time.Duration, seed uint64) assembler.Service {
	return assembler.Service{
		Name:         s.name,
		Shards:       s.shards,
		Replicas:     s.replicas,
		Slots:        s.slots,
		Connections:  s.connections,
		RowsPerShard: rowsPerShard,
		TimeoutMs:    uint32(timeout.Milliseconds()),
		Seed:         seed,
		Switches:     s.newSwitchesFunc(w),
	}
}

// scaledBy returns a copy of the preset with the number of shards multiplied by the factor, or the number of replicas for a service with one shard.
func (p preset) scaledBy(factor float64) preset {
	scaled := p
	scaled.services = nil
	for _, s := range p.services {
		if s.shards > 1 {
			s.shards = max(1, int(math.Round(float64(s.shards)*factor)))
		} else {
			s.replicas = max(1, int(math.Round(float64(s.replicas)*factor)))
		}
		scaled.services = append(scaled.services, s)
	}
	return scaled
}

func (p preset) String() string { return fmt.Sprintf("%-18s %s", p.name, p.summary) }
