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

// variant is one manifest of a version, and how many upstreams bring it.
type variant struct {
	manifest *wire.Manifest
	digest   string
	count    int
}

// manifests are those that leases bring; a version with more than one is contradicted and not used.
type manifests struct {
	variants map[manifestKey][]*variant
	lists    map[string][]*wire.Manifest
}

func newManifests() *manifests {
	return &manifests{
		variants: map[manifestKey][]*variant{},
		lists:    map[string][]*wire.Manifest{},
	}
}

func (m *manifests) add(ann *wire.Announcement) {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		if known := m.find(key, manifest); known != nil {
			known.count++
			continue
		}
		m.variants[key] = append(m.variants[key], &variant{
			manifest: manifest,
			digest:   digestOf(manifest),
			count:    1,
		})
		delete(m.lists, key.service)
	}
}

func (m *manifests) remove(ann *wire.Announcement) {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		known := m.find(key, manifest)
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
		delete(m.lists, key.service)
	}
}

// share returns the announcement with manifests that are known already in place of its own, so that each is kept once.
func (m *manifests) share(ann *wire.Announcement) *wire.Announcement {
	shared := contentOnly(ann)
	shared.Incarnation = ann.GetIncarnation()
	shared.Sequence = ann.GetSequence()
	shared.Leaving = ann.GetLeaving()
	shared.LeaseMs = ann.GetLeaseMs()
	shared.Manifests = nil
	for _, manifest := range ann.GetManifests() {
		if known := m.find(keyOfManifest(manifest), manifest); known != nil {
			manifest = known.manifest
		}
		shared.Manifests = append(shared.Manifests, manifest)
	}
	return shared
}

func (m *manifests) find(key manifestKey, manifest *wire.Manifest) *variant {
	for _, known := range m.variants[key] {
		if known.manifest == manifest || proto.Equal(known.manifest, manifest) {
			return known
		}
	}
	return nil
}

// contradicted reports whether any of the announcement's versions has more than one manifest.
func (m *manifests) contradicted(ann *wire.Announcement) bool {
	return slices.ContainsFunc(ann.GetManifests(), func(manifest *wire.Manifest) bool {
		return len(m.variants[keyOfManifest(manifest)]) > 1
	})
}

// mayRenew reports whether a lease that brings these manifests is prolonged.
func (m *manifests) mayRenew(ann *wire.Announcement) bool {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		known := m.variants[key]
		if len(known) == 1 && known[0].manifest == manifest {
			continue
		}
		if holding := m.holding(key); holding != nil && holding != m.find(key, manifest) {
			return false
		}
	}
	return true
}

// check refuses an announcement that contradicts the manifest most upstreams bring; between as many, the smaller digest holds.
func (m *manifests) check(ann *wire.Announcement) error {
	for _, manifest := range ann.GetManifests() {
		key := keyOfManifest(manifest)
		holding := m.holding(key)
		if holding == nil || holding == m.find(key, manifest) {
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

func (m *manifests) holding(key manifestKey) *variant {
	var best *variant
	for _, v := range m.variants[key] {
		if best == nil || v.count > best.count || (v.count == best.count && v.digest < best.digest) {
			best = v
		}
	}
	return best
}

// usable returns the service's manifests that nothing contradicts, newest version first.
func (m *manifests) usable(service string) []*wire.Manifest {
	if list, ok := m.lists[service]; ok {
		return list
	}
	var list []*wire.Manifest
	for key, variants := range m.variants {
		if key.service == service && len(variants) == 1 {
			list = append(list, variants[0].manifest)
		}
	}
	slices.SortFunc(list, func(a, b *wire.Manifest) int { return cmp.Compare(b.GetVersion(), a.GetVersion()) })
	m.lists[service] = list
	return list
}

func digestOf(manifest *wire.Manifest) string {
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
