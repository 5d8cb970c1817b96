package registrar

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

type manifestKey struct {
	service string
	version uint64
}

// variant is one manifest of a version, with the number of upstreams that announce it.
type variant struct {
	manifest *wire.Manifest
	// encoding is the deterministic encoding of the manifest, which breaks ties.
	encoding string
	count    int
}

// manifestTable holds the manifests of the upstreams that have a valid lease and are not leaving. A version with more than one manifest has a conflict and is not used.
type manifestTable struct {
	variants map[manifestKey][]*variant
	// usableByService caches the results of usable.
	usableByService map[string][]*wire.Manifest
}

func newManifestTable() *manifestTable {
	return &manifestTable{
		variants:        map[manifestKey][]*variant{},
		usableByService: map[string][]*wire.Manifest{},
	}
}

func (m *manifestTable) add(ann *wire.Announcement) {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		if known := m.findVariant(key, manifest); known != nil {
			known.count++
			continue
		}
		m.variants[key] = append(m.variants[key], &variant{
			manifest: manifest,
			encoding: encodeManifest(manifest),
			count:    1,
		})
		delete(m.usableByService, key.service)
	}
}

func (m *manifestTable) remove(ann *wire.Announcement) {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		known := m.findVariant(key, manifest)
		if known == nil {
			continue
		}
		known.count--
		if known.count > 0 {
			continue
		}
		m.variants[key] = slices.DeleteFunc(m.variants[key], func(v *variant) bool { return v == known })
		if len(m.variants[key]) == 0 {
			delete(m.variants, key)
		}
		delete(m.usableByService, key.service)
	}
}

// internManifests returns a copy of the announcement that refers to known manifests instead of equal ones, so that each is kept in memory once.
func (m *manifestTable) internManifests(ann *wire.Announcement) *wire.Announcement {
	interned := contentOnly(ann)
	interned.Incarnation = ann.GetIncarnation()
	interned.Sequence = ann.GetSequence()
	interned.Leaving = ann.GetLeaving()
	interned.LeaseMs = ann.GetLeaseMs()
	interned.Manifests = nil
	for _, manifest := range ann.GetManifests() {
		if known := m.findVariant(keyOfManifest(manifest), manifest); known != nil {
			manifest = known.manifest
		}
		interned.Manifests = append(interned.Manifests, manifest)
	}
	return interned
}

func (m *manifestTable) findVariant(key manifestKey, manifest *wire.Manifest) *variant {
	for _, known := range m.variants[key] {
		if known.manifest == manifest || proto.Equal(known.manifest, manifest) {
			return known
		}
	}
	return nil
}

// hasConflict reports whether any version in the announcement has more than one manifest.
func (m *manifestTable) hasConflict(ann *wire.Announcement) bool {
	return slices.ContainsFunc(ann.GetManifests(), func(manifest *wire.Manifest) bool {
		return len(m.variants[keyOfManifest(manifest)]) > 1
	})
}

// allowsRenewal reports whether a lease with these manifests may be renewed, which a manifest other than the prevailing one prevents.
func (m *manifestTable) allowsRenewal(ann *wire.Announcement) bool {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		variants := m.variants[key]
		if len(variants) == 1 && variants[0].manifest == manifest {
			continue
		}
		if prevailing := m.prevailingVariant(key); prevailing != nil && prevailing != m.findVariant(key, manifest) {
			return false
		}
	}
	return true
}

// checkConflicts rejects an announcement whose manifest differs from the prevailing one of its version.
func (m *manifestTable) checkConflicts(ann *wire.Announcement) error {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		prevailing := m.prevailingVariant(key)
		if prevailing == nil || prevailing == m.findVariant(key, manifest) {
			continue
		}
		return &AnnouncementError{
			Field:  "manifests",
			Value:  fmt.Sprintf("%s version %d", manifest.GetService(), manifest.GetVersion()),
			Reason: "contradicts the manifest already known for this version",
		}
	}
	return nil
}

// prevailingVariant returns the manifest that is announced by more upstreams than any other, or nil. A tie goes to the smaller encoding, so that all instances agree.
func (m *manifestTable) prevailingVariant(key manifestKey) *variant {
	var best *variant
	for _, v := range m.variants[key] {
		if best == nil || v.count > best.count || (v.count == best.count && v.encoding < best.encoding) {
			best = v
		}
	}
	return best
}

// usable returns the manifests of the service that have no conflict, newest version first.
func (m *manifestTable) usable(service string) []*wire.Manifest {
	if manifests, ok := m.usableByService[service]; ok {
		return manifests
	}
	var manifests []*wire.Manifest
	for key, variants := range m.variants {
		if key.service == service && len(variants) == 1 {
			manifests = append(manifests, variants[0].manifest)
		}
	}
	slices.SortFunc(manifests, func(a, b *wire.Manifest) int { return cmp.Compare(b.GetVersion(), a.GetVersion()) })
	m.usableByService[service] = manifests
	return manifests
}

// encodeManifest returns the deterministic encoding of the manifest.
func encodeManifest(manifest *wire.Manifest) string {
	encoded, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(manifest)
	if err != nil {
		return ""
	}
	return string(encoded)
}

func keyOfManifest(manifest *wire.Manifest) manifestKey {
	return manifestKey{
		service: manifest.GetService(),
		version: manifest.GetVersion(),
	}
}
