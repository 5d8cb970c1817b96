package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// tombstoneAge is how long a leaving notice outlives its lease, so that late heartbeats meet it.
	tombstoneAge = time.Minute
	// maxLease is the longest lease an announcement may ask for.
	maxLease = time.Minute
)

// AnnouncementError is a mistake in an announcement, with the field it is in.
type AnnouncementError struct {
	Field  string
	Value  string
	Reason string
}

// Error names the field, its value and what is wrong with it.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %s %q: %s", e.Field, e.Value, e.Reason)
}

// Replica is an upstream that can be sent work.
type Replica struct {
	Upstream    string
	Address     string
	Zone        string
	Slots       uint32
	Connections uint32
}

type record struct {
	announcement *wire.Announcement
	expiresAt    time.Time
}

type holdingKey struct {
	service string
	version uint64
	shard   string
}

type manifestKey struct {
	service string
	version uint64
}

// Registrar is the table of announcements; it is not safe for concurrent use.
type Registrar struct {
	records   map[string]*record
	holders   map[holdingKey][]*Replica
	manifests map[manifestKey]*wire.Manifest
	config    *wire.Config
}

// New returns an empty table that accepts no service until Configure.
func New() *Registrar {
	return &Registrar{
		records:   map[string]*record{},
		holders:   map[holdingKey][]*Replica{},
		manifests: map[manifestKey]*wire.Manifest{},
		config:    &wire.Config{},
	}
}

// Configure sets the declared services that announcements are checked against.
func (r *Registrar) Configure(config *wire.Config) {
	r.config = config
	r.rebuild()
}

// Announce takes an announcement and reports whether it was news; an older one is passed over, a wrong one is an AnnouncementError and changes nothing.
func (r *Registrar) Announce(now time.Time, ann *wire.Announcement) (bool, error) {
	if err := r.check(ann); err != nil {
		return false, err
	}
	known, ok := r.records[ann.GetUpstream()]
	if ok && !supersedes(ann, known.announcement) {
		return false, nil
	}
	kept := proto.CloneOf(ann)
	if ok && known.announcement.GetLeaving() && ann.GetIncarnation() == known.announcement.GetIncarnation() {
		kept.Leaving = true
	}
	changed := !ok || !sameRouting(kept, known.announcement)
	r.records[ann.GetUpstream()] = &record{
		announcement: kept,
		expiresAt:    now.Add(time.Duration(ann.GetLeaseMs()) * time.Millisecond),
	}
	if changed {
		r.rebuild()
	}
	return true, nil
}

// MarkLeaving notes that a reply said its upstream is leaving.
func (r *Registrar) MarkLeaving(upstream string) {
	known, ok := r.records[upstream]
	if !ok || known.announcement.GetLeaving() {
		return
	}
	known.announcement.Leaving = true
	r.rebuild()
}

// Expire drops the upstreams whose lease has ended, and reports whether there were any.
func (r *Registrar) Expire(now time.Time) bool {
	changed := false
	for name, known := range r.records {
		end := known.expiresAt
		if known.announcement.GetLeaving() {
			end = end.Add(tombstoneAge)
		}
		if now.Before(end) {
			continue
		}
		delete(r.records, name)
		changed = true
	}
	if changed {
		r.rebuild()
	}
	return changed
}

// Announcements returns every announcement held, by upstream name.
func (r *Registrar) Announcements() []*wire.Announcement {
	list := make([]*wire.Announcement, 0, len(r.records))
	for _, known := range r.records {
		list = append(list, known.announcement)
	}
	slices.SortFunc(list, func(a, b *wire.Announcement) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	return list
}

// Replicas returns the upstreams that take work for the shard in the version.
func (r *Registrar) Replicas(service string, version uint64, shard string) []*Replica {
	return r.holders[holdingKey{
		service: service,
		version: version,
		shard:   shard,
	}]
}

// Holders returns every upstream that takes work for the service in any version, by name.
func (r *Registrar) Holders(service string) []*Replica {
	byName := map[string]*Replica{}
	for key, replicas := range r.holders {
		if key.service != service {
			continue
		}
		for _, replica := range replicas {
			byName[replica.Upstream] = replica
		}
	}
	list := make([]*Replica, 0, len(byName))
	for _, replica := range byName {
		list = append(list, replica)
	}
	slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// Manifests returns the service's manifests, newest version first.
func (r *Registrar) Manifests(service string) []*wire.Manifest {
	var list []*wire.Manifest
	for key, manifest := range r.manifests {
		if key.service == service {
			list = append(list, manifest)
		}
	}
	slices.SortFunc(list, func(a, b *wire.Manifest) int { return cmp.Compare(b.GetVersion(), a.GetVersion()) })
	return list
}

// supersedes orders announcements of one upstream; a leaving notice goes before any heartbeat of its incarnation.
func supersedes(next, known *wire.Announcement) bool {
	if next.GetIncarnation() != known.GetIncarnation() {
		return next.GetIncarnation() > known.GetIncarnation()
	}
	if next.GetLeaving() != known.GetLeaving() {
		return next.GetLeaving()
	}
	return next.GetSequence() > known.GetSequence()
}

// sameRouting reports whether two announcements lead to the same routing tables.
func sameRouting(a, b *wire.Announcement) bool {
	left := proto.CloneOf(a)
	right := proto.CloneOf(b)
	left.Sequence = 0
	right.Sequence = 0
	left.LeaseMs = 0
	right.LeaseMs = 0
	return proto.Equal(left, right)
}

func (r *Registrar) rebuild() {
	r.holders = map[holdingKey][]*Replica{}
	r.manifests = map[manifestKey]*wire.Manifest{}
	for _, ann := range r.Announcements() {
		r.index(ann)
	}
}

func (r *Registrar) index(ann *wire.Announcement) {
	for _, manifest := range ann.GetManifests() {
		r.manifests[keyOfManifest(manifest)] = manifest
	}
	if ann.GetLeaving() || r.isDrained(ann) {
		return
	}
	replica := &Replica{
		Upstream:    ann.GetUpstream(),
		Address:     ann.GetAddress(),
		Zone:        ann.GetZone(),
		Slots:       ann.GetSlots(),
		Connections: ann.GetConnections(),
	}
	for _, holding := range ann.GetHoldings() {
		key := holdingKey{
			service: holding.GetService(),
			version: holding.GetVersion(),
			shard:   holding.GetShard(),
		}
		r.holders[key] = append(r.holders[key], replica)
	}
}

func (r *Registrar) isDrained(ann *wire.Announcement) bool {
	for _, zone := range r.config.GetZones() {
		if zone.GetZone() == ann.GetZone() && zone.GetDrained() {
			return true
		}
	}
	for _, upstream := range r.config.GetUpstreams() {
		if upstream.GetUpstream() == ann.GetUpstream() && upstream.GetDrained() {
			return true
		}
	}
	return false
}

func keyOfManifest(manifest *wire.Manifest) manifestKey {
	return manifestKey{
		service: manifest.GetService(),
		version: manifest.GetVersion(),
	}
}
