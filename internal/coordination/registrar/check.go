package registrar

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// checkDeclarations validates an announcement against the declared services. Without a configuration, every service is accepted.
func (r *Registrar) checkDeclarations(ann *wire.Announcement) error {
	if r.config.GetRevision() == 0 {
		return nil
	}
	for _, manifest := range ann.GetManifests() {
		if err := r.checkManifest(manifest); err != nil {
			return err
		}
	}
	for _, holding := range ann.GetHoldings() {
		if err := r.checkHolding(ann, holding); err != nil {
			return err
		}
	}
	return nil
}

// checkIdentity validates the name, address, zone, slots and lease, which do not depend on the configuration.
func checkIdentity(ann *wire.Announcement) error {
	if ann.GetUpstream() == "" {
		return &AnnouncementError{
			Field:  "upstream",
			Reason: "must not be empty",
		}
	}
	if ann.GetAddress() == "" {
		return &AnnouncementError{
			Field:  "address",
			Reason: "must not be empty",
		}
	}
	if ann.GetZone() == "" {
		return &AnnouncementError{
			Field:  "zone",
			Reason: "must not be empty",
		}
	}
	if ann.GetSlots() == 0 {
		return &AnnouncementError{
			Field:  "slots",
			Value:  "0",
			Reason: "must be above 0",
		}
	}
	if ann.GetLeaseMs() == 0 || ann.GetLeaseMs() > uint32(maxLease/time.Millisecond) {
		return &AnnouncementError{
			Field:  "lease-ms",
			Value:  fmt.Sprint(ann.GetLeaseMs()),
			Reason: "must be above 0 and at most " + maxLease.String(),
		}
	}
	return nil
}

func (r *Registrar) checkManifest(manifest *wire.Manifest) error {
	if len(manifest.GetShards()) == 0 {
		return &AnnouncementError{
			Field:  "manifests",
			Value:  fmt.Sprintf("%s version %d", manifest.GetService(), manifest.GetVersion()),
			Reason: "must name its shards",
		}
	}
	for _, shard := range manifest.GetShards() {
		if err := r.checkDeclared(manifest.GetService(), shard.GetShard()); err != nil {
			return err
		}
		if shard.GetWeight() == 0 {
			return &AnnouncementError{
				Field:  "weight",
				Value:  shard.GetShard(),
				Reason: "must be above 0",
			}
		}
	}
	return nil
}

// checkWeights rejects manifests whose weights cannot give a correct coverage, whether or not their services are declared.
func checkWeights(ann *wire.Announcement) error {
	for _, manifest := range ann.GetManifests() {
		if err := checkManifestWeights(manifest); err != nil {
			return err
		}
	}
	return nil
}

func checkManifestWeights(manifest *wire.Manifest) error {
	var total uint64
	seen := make(map[string]bool, len(manifest.GetShards()))
	for _, shard := range manifest.GetShards() {
		if seen[shard.GetShard()] {
			return &AnnouncementError{
				Field:  "manifests",
				Value:  shard.GetShard(),
				Reason: "is named twice",
			}
		}
		seen[shard.GetShard()] = true
		if shard.GetWeight() > math.MaxUint64-total {
			return &AnnouncementError{
				Field:  "weight",
				Value:  shard.GetShard(),
				Reason: "makes the sum of the weights too large",
			}
		}
		total += shard.GetWeight()
	}
	return nil
}

func (r *Registrar) checkHolding(ann *wire.Announcement, holding *wire.Holding) error {
	if err := r.checkDeclared(holding.GetService(), holding.GetShard()); err != nil {
		return err
	}
	manifest := r.manifestFor(ann, holding)
	if manifest == nil {
		return &AnnouncementError{
			Field:  "holdings",
			Value:  fmt.Sprintf("%s version %d", holding.GetService(), holding.GetVersion()),
			Reason: "has no manifest",
		}
	}
	listed := slices.ContainsFunc(manifest.GetShards(), func(s *wire.ShardWeight) bool {
		return s.GetShard() == holding.GetShard()
	})
	if !listed {
		return &AnnouncementError{
			Field:  "holdings",
			Value:  holding.GetShard(),
			Reason: "is not in its version's manifest",
		}
	}
	return nil
}

func (r *Registrar) manifestFor(ann *wire.Announcement, holding *wire.Holding) *wire.Manifest {
	for _, manifest := range ann.GetManifests() {
		if manifest.GetService() == holding.GetService() && manifest.GetVersion() == holding.GetVersion() {
			return manifest
		}
	}
	prevailing := r.manifests.prevailingVariant(manifestKey{
		service: holding.GetService(),
		version: holding.GetVersion(),
	})
	if prevailing == nil {
		return nil
	}
	return prevailing.manifest
}

func (r *Registrar) checkDeclared(name, shard string) error {
	for _, service := range r.config.GetServices() {
		if service.GetName() != name {
			continue
		}
		if slices.Contains(service.GetShards(), shard) {
			return nil
		}
		return &AnnouncementError{
			Field:  "shard",
			Value:  shard,
			Reason: "is not declared for service " + name,
		}
	}
	return &AnnouncementError{
		Field:  "service",
		Value:  name,
		Reason: "is not declared",
	}
}
