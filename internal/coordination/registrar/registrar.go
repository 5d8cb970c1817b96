package registrar

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// tombstoneAge is how long an upstream that has left or fallen silent is remembered, so that late heartbeats meet it.
	tombstoneAge = time.Minute
	// maxLease is the longest lease an announcement may ask for.
	maxLease = time.Minute
	// stallGuard is how long heartbeats of unknown age are passed over after this instance stood still.
	stallGuard = 200 * time.Millisecond
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
	Incarnation uint64
	Address     string
	Zone        string
	Slots       uint32
	Connections uint32
	// Group is the first shard it holds, by which replicas of one shard come to one owner.
	Group string
}

// Registrar is the table of announcements; it is not safe for concurrent use.
type Registrar struct {
	records   map[string]*record
	index     *index
	manifests *manifests
	news      *news
	buckets   [bucketCount]bucket
	config    *wire.Config
	earliest  time.Time
	deafUntil time.Time
	buffer    []byte
}

// New returns an empty table that uses no service until Configure.
func New() *Registrar {
	return &Registrar{
		records:   map[string]*record{},
		index:     newIndex(),
		manifests: newManifests(),
		news:      newNews(),
		config:    &wire.Config{},
	}
}

// Configure sets the declared services and the drains that the routing tables follow.
func (r *Registrar) Configure(config *wire.Config) {
	previous := r.config
	r.config = config
	if !sameTables(previous, config) {
		r.rebuild()
	}
}

// Announce takes an upstream's own announcement and reports whether it was news; an older one is passed over, a wrong one is an AnnouncementError and changes nothing.
func (r *Registrar) Announce(now time.Time, ann *wire.Announcement) (bool, error) {
	if err := checkIdentity(ann); err != nil {
		return false, err
	}
	content := r.contentOf(ann)
	if r.isLive(ann, content) && !r.manifests.contradicted(ann) {
		return r.take(now, ann, content, true), nil
	}
	if err := r.check(ann); err != nil {
		return false, err
	}
	if err := r.manifests.check(ann); err != nil {
		return false, err
	}
	return r.take(now, ann, content, true), nil
}

// isLive reports whether the same was announced before, under a lease that lasts.
func (r *Registrar) isLive(ann *wire.Announcement, content uint64) bool {
	known, ok := r.records[ann.GetUpstream()]
	return ok && !known.ended && known.content == content
}

// Relay takes an announcement that a peer passed on, also of services not declared here yet, and reports whether it was news.
func (r *Registrar) Relay(now time.Time, ann *wire.Announcement) bool {
	if checkIdentity(ann) != nil {
		return false
	}
	content := r.contentOf(ann)
	known, ok := r.records[ann.GetUpstream()]
	// An upstream that is new here may contradict: both sides of a cut must see each other's manifests to settle on one.
	if ok && known.content == content && !r.manifests.mayRenew(ann) {
		return false
	}
	return r.take(now, ann, content, false)
}

// Renew prolongs the lease of a known announcement, and reports false where it is not known here as it was renewed.
func (r *Registrar) Renew(now time.Time, renewal *wire.Renewal) bool {
	known, ok := r.records[renewal.GetUpstream()]
	if !ok || known.ended || known.content != renewal.GetContent() || known.announcement.GetIncarnation() != renewal.GetIncarnation() {
		return false
	}
	if renewal.GetSequence() <= known.sequence || known.leaving || now.Before(r.deafUntil) || !r.manifests.mayRenew(known.announcement) {
		return true
	}
	known.sequence = renewal.GetSequence()
	known.renew(now, renewal.GetAgeMs())
	r.news.add(renewal.GetUpstream(), false, false)
	return true
}

// MarkLeaving notes that a reply of the incarnation said its upstream is leaving.
func (r *Registrar) MarkLeaving(upstream string, incarnation uint64) {
	known, ok := r.records[upstream]
	if !ok || known.leaving || known.announcement.GetIncarnation() != incarnation {
		return
	}
	r.change(known, func() { known.leaving = true })
	r.news.add(upstream, true, true)
}

// Stalled notes that this instance stood still: what it hears next may have waited as long.
func (r *Registrar) Stalled(now time.Time) {
	r.deafUntil = now.Add(stallGuard)
}

// Expire takes the upstreams whose lease has ended out of the routing tables, and reports whether there were any.
func (r *Registrar) Expire(now time.Time) bool {
	if now.Before(r.earliest) || len(r.records) == 0 {
		return false
	}
	changed := false
	r.earliest = now.Add(maxLease)
	for name, known := range r.records {
		if !now.Before(known.expiresAt.Add(tombstoneAge)) {
			r.change(known, func() { delete(r.records, name) })
			continue
		}
		if !known.ended && !now.Before(known.expiresAt) {
			r.change(known, func() { known.ended = true })
			changed = true
		}
		r.watch(known)
	}
	return changed
}

// Incarnation returns the newest incarnation known of the upstream, or 0.
func (r *Registrar) Incarnation(upstream string) uint64 {
	known, ok := r.records[upstream]
	if !ok {
		return 0
	}
	return known.announcement.GetIncarnation()
}

// Announcements returns every announcement held whose lease lasts or which has left, by upstream name.
func (r *Registrar) Announcements(now time.Time) []*wire.Announcement {
	names := make([]string, 0, len(r.records))
	for name, known := range r.records {
		if known.isTold() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	list := make([]*wire.Announcement, 0, len(names))
	for _, name := range names {
		list = append(list, r.records[name].export(now))
	}
	return list
}

// Replicas returns the upstreams that take work for the shard in the version; the slice is not to be changed.
func (r *Registrar) Replicas(service string, version uint64, shard string) []*Replica {
	return r.index.holders[holdingKey{
		service: service,
		version: version,
		shard:   shard,
	}]
}

// ConnectionLimit returns how many connections the upstream at the address takes from all instances together, or 0.
func (r *Registrar) ConnectionLimit(address string) uint32 { return r.index.limits[address] }

// Holders returns every upstream that takes work for the service in any version, by name; the slice is not to be changed.
func (r *Registrar) Holders(service string) []*Replica {
	return r.index.services[service]
}

// Manifests returns the service's manifests that are not contradicted, newest version first.
func (r *Registrar) Manifests(service string) []*wire.Manifest {
	if !r.isDeclared(service) {
		return nil
	}
	return r.manifests.usable(service)
}

// take keeps an announcement that goes before what is known.
func (r *Registrar) take(now time.Time, ann *wire.Announcement, content uint64, direct bool) bool {
	next := newRecord(now, ann, content)
	if !now.Before(next.expiresAt) && !next.leaving {
		return false
	}
	if !now.Before(next.expiresAt.Add(tombstoneAge)) || (now.Before(r.deafUntil) && !next.leaving) {
		return false
	}
	known, ok := r.records[ann.GetUpstream()]
	if !ok {
		next.announcement = r.manifests.share(ann)
		r.keep(next, func() { r.records[ann.GetUpstream()] = next }, direct)
		return true
	}
	if !next.supersedes(known) {
		known.hold(next)
		return false
	}
	if known.isRenewedBy(next) {
		known.sequence = next.sequence
		known.heardAt = next.heardAt
		known.expiresAt = next.expiresAt
		r.news.add(ann.GetUpstream(), false, direct)
		return true
	}
	next.announcement = r.manifests.share(ann)
	r.change(known, func() { *known = *next })
	r.watch(known)
	r.news.add(ann.GetUpstream(), true, direct)
	return true
}

func (r *Registrar) keep(known *record, store func(), direct bool) {
	r.change(known, store)
	r.watch(known)
	r.news.add(known.announcement.GetUpstream(), true, direct)
}

// change takes the record out of every table, changes it, and puts it back where it still belongs.
func (r *Registrar) change(known *record, apply func()) {
	name := known.announcement.GetUpstream()
	if r.records[name] == known {
		r.unlist(known)
	}
	apply()
	if r.records[name] == known {
		r.list(known)
	}
}

func (r *Registrar) list(known *record) {
	r.mix(known)
	if known.leaving || known.ended {
		return
	}
	r.manifests.add(known.announcement)
	if !r.isDrained(known.announcement) {
		r.index.add(known.announcement, r.config)
	}
}

func (r *Registrar) unlist(known *record) {
	r.unmix(known)
	if known.leaving || known.ended {
		return
	}
	r.manifests.remove(known.announcement)
	r.index.remove(known.announcement)
}

// watch makes sure that Expire looks at the record in time.
func (r *Registrar) watch(known *record) {
	end := known.expiresAt
	if known.ended {
		end = end.Add(tombstoneAge)
	}
	if end.Before(r.earliest) {
		r.earliest = end
	}
}

// rebuild fills the routing tables anew, as after a change of what is declared or drained.
func (r *Registrar) rebuild() {
	r.index = newIndex()
	for _, known := range r.records {
		if known.leaving || known.ended || r.isDrained(known.announcement) {
			continue
		}
		r.index.add(known.announcement, r.config)
	}
}

func (r *Registrar) isDeclared(name string) bool {
	return slices.ContainsFunc(r.config.GetServices(), func(s *wire.Service) bool { return s.GetName() == name })
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

// sameTables reports whether two configurations lead to the same routing tables.
func sameTables(a, b *wire.Config) bool {
	left := &wire.Config{
		Services:  a.GetServices(),
		Upstreams: a.GetUpstreams(),
		Zones:     a.GetZones(),
	}
	right := &wire.Config{
		Services:  b.GetServices(),
		Upstreams: b.GetUpstreams(),
		Zones:     b.GetZones(),
	}
	return proto.Equal(left, right)
}
