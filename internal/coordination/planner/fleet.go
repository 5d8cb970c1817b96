package planner

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Fleet is what the entry instances know of the upstreams.
type Fleet struct {
	upstreams []*wire.UpstreamState
	manifests map[string]*wire.Manifest
	leftOut   uint32
}

// NewFleet merges the summaries of several entry instances.
func NewFleet(summaries []*wire.UpstreamSummary) Fleet {
	f := Fleet{
		manifests: map[string]*wire.Manifest{},
	}
	known := map[string]bool{}
	for _, summary := range summaries {
		f.leftOut = max(f.leftOut, summary.GetLeftOut())
		for _, upstream := range summary.GetUpstreams() {
			if !known[upstream.GetUpstream()] {
				known[upstream.GetUpstream()] = true
				f.upstreams = append(f.upstreams, upstream)
			}
		}
		for _, manifest := range summary.GetManifests() {
			if manifest.GetVersion() > f.manifests[manifest.GetService()].GetVersion() {
				f.manifests[manifest.GetService()] = manifest
			}
		}
	}
	slices.SortFunc(f.upstreams, func(a, b *wire.UpstreamState) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	return f
}

// Strength is what the upstreams can do for one service under a configuration.
type Strength struct {
	// Coverage is the weight of the shards that some upstream answers for, in millionths of the whole, rounded down.
	Coverage uint32
	// FewestReplicas is the number of replicas of the shard that has least of them.
	FewestReplicas int
	Replicas       int
	Slots          uint32
	Connections    uint32
}

// Strength works out what the upstreams that take work can do for the service on its newest version.
func (f Fleet) Strength(config *wire.Config, service *wire.Service) Strength {
	manifest := f.manifests[service.GetName()]
	held := map[string]int{}
	var s Strength
	for _, upstream := range f.upstreams {
		if isDrained(config, upstream) {
			continue
		}
		holds := false
		for _, holding := range upstream.GetHoldings() {
			if holding.GetService() == service.GetName() && holding.GetVersion() == manifest.GetVersion() {
				held[holding.GetShard()]++
				holds = true
			}
		}
		if holds {
			s.add(cataloger.FindUpstream(config, upstream.GetUpstream()), upstream)
		}
	}
	s.cover(service, manifest, held)
	return s
}

func (s *Strength) add(setting *wire.UpstreamSetting, upstream *wire.UpstreamState) {
	s.Replicas++
	s.Slots += limited(upstream.GetSlots(), setting.GetSlots())
	s.Connections += limited(upstream.GetConnections(), setting.GetConnections())
}

// limited returns what was announced, within what operators have set.
func limited(announced, set uint32) uint32 {
	if set == 0 {
		return announced
	}
	return min(announced, set)
}

// cover counts the shards that are both in the manifest and declared; what is not declared is not asked.
func (s *Strength) cover(service *wire.Service, manifest *wire.Manifest, held map[string]int) {
	var total, covered uint64
	s.FewestReplicas = s.Replicas
	for _, shard := range manifest.GetShards() {
		total += shard.GetWeight()
		if !slices.Contains(service.GetShards(), shard.GetShard()) {
			continue
		}
		s.FewestReplicas = min(s.FewestReplicas, held[shard.GetShard()])
		if held[shard.GetShard()] > 0 {
			covered += shard.GetWeight()
		}
	}
	if total > 0 {
		s.Coverage = uint32(covered * wire.CoverageWhole / total)
	}
}

func isDrained(config *wire.Config, upstream *wire.UpstreamState) bool {
	return cataloger.IsZoneDrained(config, upstream.GetZone()) || cataloger.FindUpstream(config, upstream.GetUpstream()).GetDrained()
}
