package planner

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Fleet holds the upstreams and the newest manifests that entry instances reported.
type Fleet struct {
	upstreams []*wire.UpstreamState
	manifests map[string]*wire.Manifest
	// omitted is the largest number of upstreams that any summary left out.
	omitted uint32
}

// NewFleet merges the summaries of several entry instances. Of an upstream in several summaries, the first report is used.
func NewFleet(summaries []*wire.UpstreamSummary) Fleet {
	f := Fleet{
		manifests: map[string]*wire.Manifest{},
	}
	seen := map[string]bool{}
	for _, summary := range summaries {
		f.omitted = max(f.omitted, summary.GetLeftOut())
		for _, upstream := range summary.GetUpstreams() {
			if !seen[upstream.GetUpstream()] {
				seen[upstream.GetUpstream()] = true
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

// ServiceCapacity is the capacity of the upstreams for one service under a configuration.
type ServiceCapacity struct {
	// Coverage is the weight of the declared shards with at least one replica, in millionths of the total weight of the manifest, rounded down.
	Coverage uint32
	// MinReplicas is the lowest number of replicas of any shard that is declared and in the manifest.
	MinReplicas int
	Replicas    int
	Slots       uint32
	Connections uint32
}

// Capacity computes the capacity of the upstreams that are not drained, for the newest version of the service.
func (f Fleet) Capacity(config *wire.Config, service *wire.Service) ServiceCapacity {
	manifest := f.manifests[service.GetName()]
	replicasByShard := map[string]int{}
	var c ServiceCapacity
	for _, upstream := range f.upstreams {
		if isDrained(config, upstream) {
			continue
		}
		isHolder := false
		for _, holding := range upstream.GetHoldings() {
			if holding.GetService() == service.GetName() && holding.GetVersion() == manifest.GetVersion() {
				replicasByShard[holding.GetShard()]++
				isHolder = true
			}
		}
		if isHolder {
			c.addUpstream(cataloger.FindUpstream(config, upstream.GetUpstream()), upstream)
		}
	}
	c.computeCoverage(service, manifest, replicasByShard)
	return c
}

// addUpstream adds an upstream, with the operator's limits applied.
func (c *ServiceCapacity) addUpstream(setting *wire.UpstreamSetting, upstream *wire.UpstreamState) {
	c.Replicas++
	c.Slots += limitAnnounced(upstream.GetSlots(), setting.GetSlots())
	c.Connections += limitAnnounced(upstream.GetConnections(), setting.GetConnections())
}

// limitAnnounced returns the announced value, capped by the operator's limit unless that is 0.
func limitAnnounced(announced, limit uint32) uint32 {
	if limit == 0 {
		return announced
	}
	return min(announced, limit)
}

// computeCoverage sets Coverage and MinReplicas from the replicas of each shard.
// Only shards that are both in the manifest and declared count, since undeclared shards are not queried.
func (c *ServiceCapacity) computeCoverage(service *wire.Service, manifest *wire.Manifest, replicasByShard map[string]int) {
	var total, covered uint64
	c.MinReplicas = c.Replicas
	for _, shard := range manifest.GetShards() {
		total += shard.GetWeight()
		if !slices.Contains(service.GetShards(), shard.GetShard()) {
			continue
		}
		c.MinReplicas = min(c.MinReplicas, replicasByShard[shard.GetShard()])
		if replicasByShard[shard.GetShard()] > 0 {
			covered += shard.GetWeight()
		}
	}
	if total > 0 {
		c.Coverage = uint32(covered * wire.FullCoverage / total)
	}
}

func isDrained(config *wire.Config, upstream *wire.UpstreamState) bool {
	return cataloger.IsZoneDrained(config, upstream.GetZone()) || cataloger.FindUpstream(config, upstream.GetUpstream()).GetDrained()
}
