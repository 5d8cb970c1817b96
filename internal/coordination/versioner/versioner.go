package versioner

import (
	"math/bits"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Coverage returns covered ÷ total in millionths, rounded down, and whole only when all of it is there.
func Coverage(covered, total uint64) uint32 {
	if total == 0 {
		return 0
	}
	if covered >= total {
		return wire.CoverageWhole
	}
	high, low := bits.Mul64(covered, wire.CoverageWhole)
	quotient, _ := bits.Div64(high, low, total)
	return uint32(quotient)
}

// Total returns the weight of all shards of the manifest.
func Total(manifest *wire.Manifest) uint64 {
	var total uint64
	for _, shard := range manifest.GetShards() {
		total += shard.GetWeight()
	}
	return total
}

// Choice is a version and the coverage its live replicas can reach.
type Choice struct {
	Manifest *wire.Manifest
	Coverage uint32
}

// Choose returns the newest version that can meet the required coverage, else the one that covers most, newest first; manifests come newest first.
func Choose(manifests []*wire.Manifest, required uint32, isLive func(version uint64, shard string) bool) (Choice, bool) {
	var best Choice
	for _, manifest := range manifests {
		coverage := liveCoverage(manifest, isLive)
		if coverage >= required && coverage > 0 {
			return Choice{
				Manifest: manifest,
				Coverage: coverage,
			}, true
		}
		if best.Manifest == nil || coverage > best.Coverage {
			best = Choice{
				Manifest: manifest,
				Coverage: coverage,
			}
		}
	}
	return best, best.Coverage > 0
}

func liveCoverage(manifest *wire.Manifest, isLive func(version uint64, shard string) bool) uint32 {
	var covered uint64
	for _, shard := range manifest.GetShards() {
		if isLive(manifest.GetVersion(), shard.GetShard()) {
			covered += shard.GetWeight()
		}
	}
	return Coverage(covered, Total(manifest))
}
