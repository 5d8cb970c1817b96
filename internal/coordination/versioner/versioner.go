package versioner

import (
	"math/bits"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Coverage returns covered ÷ total in millionths, rounded down. It is wire.FullCoverage only if nothing is
// missing, and 0 if total is 0.
func Coverage(covered, total uint64) uint32 {
	if total == 0 {
		return 0
	}
	if covered >= total {
		return wire.FullCoverage
	}
	high, low := bits.Mul64(covered, wire.FullCoverage)
	quotient, _ := bits.Div64(high, low, total)
	return uint32(quotient)
}

// TotalWeight returns the sum of the weights of the manifest's shards.
func TotalWeight(manifest *wire.Manifest) uint64 {
	var total uint64
	for _, shard := range manifest.GetShards() {
		total += shard.GetWeight()
	}
	return total
}

// Choice is an index version and the coverage that its live replicas can provide.
type Choice struct {
	Manifest *wire.Manifest
	Coverage uint32
}

// Choose returns the newest version that can provide the required coverage, or else the one with the highest
// coverage, preferring the newer. It returns false if every version has a coverage of 0. The manifests are
// sorted newest first.
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
	return Coverage(covered, TotalWeight(manifest))
}
