package registrar

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// tombstoneTTL is how long the record of an upstream is kept after its lease has ended, so that late heartbeats are recognised as stale.
	tombstoneTTL = time.Minute
	// maxLease is the longest lease that an announcement may request.
	maxLease = time.Minute
	// ignoreAfterStall is how long heartbeats are ignored after this process stalled, because their age is unknown.
	ignoreAfterStall = 200 * time.Millisecond
)

// AnnouncementError reports an invalid field of an announcement.
type AnnouncementError struct {
	Field  string
	Value  string
	Reason string
}

// Error returns the field, its value and the reason.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %s %q: %s", e.Field, e.Value, e.Reason)
}

// Replica is an upstream that accepts work.
type Replica struct {
	Upstream    string
	Incarnation uint64
	Address     string
	Zone        string
	Slots       uint32
	Connections uint32
	// Group is the smallest service and shard name that the replica holds. Replicas of the same group have the same owner.
	Group string
}

// Registrar holds the announcements and the routing tables derived from them. It is not safe for concurrent use.
type Registrar struct {
	records   map[string]*record
	index     *index
	manifests *manifestTable
	updates   *updateQueue
	buckets   [bucketCount]bucket
	config    *wire.Config
	// nextExpiry is when Expire next has to check the records.
	nextExpiry time.Time
	// ignoreUntil is when heartbeats are accepted again after a stall.
	ignoreUntil time.Time
	// encodeBuffer is reused to encode announcements for their digest.
	encodeBuffer []byte
}

// New returns an empty table. It routes to no service until Configure is called.
func New() *Registrar {
	return &Registrar{
		records:   map[string]*record{},
		index:     newIndex(),
		manifests: newManifestTable(),
		updates:   newUpdateQueue(),
		config:    &wire.Config{},
	}
}

// Configure sets the declared services, the operator's limits and the drains that the routing tables follow.
func (r *Registrar) Configure(config *wire.Config) {
	previous := r.config
	r.config = config
	if !sameRouting(previous, config) {
		r.rebuildIndex()
	}
}

// Announce applies an announcement received from the upstream itself and reports whether it was newer than the known one.
// A stale announcement is ignored; an invalid one returns an AnnouncementError and changes nothing.
func (r *Registrar) Announce(now time.Time, ann *wire.Announcement) (bool, error) {
	if err := checkIdentity(ann); err != nil {
		return false, err
	}
	digest := r.digestContent(ann)
	if r.isLive(ann, digest) && !r.manifests.hasConflict(ann) {
		return r.apply(now, ann, digest, true), nil
	}
	if err := checkWeights(ann); err != nil {
		return false, err
	}
	if err := r.checkDeclarations(ann); err != nil {
		return false, err
	}
	if err := r.manifests.checkConflicts(ann); err != nil {
		return false, err
	}
	return r.apply(now, ann, digest, true), nil
}

// isLive reports whether the upstream's record has the same content and its lease has not expired.
func (r *Registrar) isLive(ann *wire.Announcement, digest uint64) bool {
	rec, ok := r.records[ann.GetUpstream()]
	return ok && !rec.expired && rec.contentDigest == digest
}

// ApplyRelayed applies an announcement forwarded by a peer, also of services not declared here yet, and reports whether it was newer than the known one.
func (r *Registrar) ApplyRelayed(now time.Time, ann *wire.Announcement) bool {
	if checkIdentity(ann) != nil {
		return false
	}
	digest := r.digestContent(ann)
	rec, ok := r.records[ann.GetUpstream()]
	// An announcement with new content may conflict: after a network partition, both sides must see each other's manifests to converge on one.
	if ok && rec.contentDigest == digest && !r.manifests.allowsRenewal(ann) {
		return false
	}
	if (!ok || rec.contentDigest != digest) && checkWeights(ann) != nil {
		return false
	}
	return r.apply(now, ann, digest, false)
}

// Renew extends the lease of a known announcement. It returns false if no live record matches the renewal, and true for a stale or ignored one.
func (r *Registrar) Renew(now time.Time, renewal *wire.Renewal) bool {
	rec, ok := r.records[renewal.GetUpstream()]
	if !ok || rec.expired || rec.contentDigest != renewal.GetContent() || rec.announcement.GetIncarnation() != renewal.GetIncarnation() {
		return false
	}
	if renewal.GetSequence() <= rec.sequence || rec.leaving || now.Before(r.ignoreUntil) || !r.manifests.allowsRenewal(rec.announcement) {
		return true
	}
	rec.sequence = renewal.GetSequence()
	rec.renew(now, renewal.GetAgeMs())
	r.updates.add(renewal.GetUpstream(), false, false)
	return true
}

// MarkLeaving marks the upstream as leaving, after a reply of this incarnation said so.
func (r *Registrar) MarkLeaving(upstream string, incarnation uint64) {
	rec, ok := r.records[upstream]
	if !ok || rec.leaving || rec.announcement.GetIncarnation() != incarnation {
		return
	}
	r.updateRecord(rec, func() { rec.leaving = true })
	r.updates.add(upstream, true, true)
}

// RecordStall records that this process stalled. Heartbeats received next may have been delayed and are ignored for ignoreAfterStall.
func (r *Registrar) RecordStall(now time.Time) {
	r.ignoreUntil = now.Add(ignoreAfterStall)
}

// Expire removes upstreams whose lease has expired from the routing tables and reports whether there were any. It also deletes old tombstones.
func (r *Registrar) Expire(now time.Time) bool {
	if now.Before(r.nextExpiry) || len(r.records) == 0 {
		return false
	}
	changed := false
	r.nextExpiry = now.Add(maxLease)
	for name, rec := range r.records {
		if !now.Before(rec.expiresAt.Add(tombstoneTTL)) {
			r.updateRecord(rec, func() { delete(r.records, name) })
			continue
		}
		if !rec.expired && !now.Before(rec.expiresAt) {
			r.updateRecord(rec, func() { rec.expired = true })
			changed = true
		}
		r.scheduleExpiry(rec)
	}
	return changed
}

// Incarnation returns the newest known incarnation of the upstream, or 0 if it is unknown.
func (r *Registrar) Incarnation(upstream string) uint64 {
	rec, ok := r.records[upstream]
	if !ok {
		return 0
	}
	return rec.announcement.GetIncarnation()
}

// Announcements returns the announcements whose lease has not expired or whose upstream is leaving, sorted by upstream name.
func (r *Registrar) Announcements(now time.Time) []*wire.Announcement {
	names := make([]string, 0, len(r.records))
	for name, rec := range r.records {
		if rec.isShared() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	announcements := make([]*wire.Announcement, 0, len(names))
	for _, name := range names {
		announcements = append(announcements, r.records[name].exportAnnouncement(now))
	}
	return announcements
}

// Replicas returns the upstreams that accept work for the shard in the version, sorted by name. Callers must not modify the slice.
func (r *Registrar) Replicas(service string, version uint64, shard string) []*Replica {
	return r.index.replicasByHolding[holdingKey{
		service: service,
		version: version,
		shard:   shard,
	}]
}

// ConnectionLimit returns how many connections the upstream at the address accepts from all entry instances together, or 0 if it is not in the routing tables.
func (r *Registrar) ConnectionLimit(address string) uint32 { return r.index.connectionLimits[address] }

// ServiceReplicas returns the upstreams that accept work for the service in any version, sorted by name. Callers must not modify the slice.
func (r *Registrar) ServiceReplicas(service string) []*Replica {
	return r.index.replicasByService[service]
}

// Manifests returns the manifests of a declared service that have no conflict, newest version first.
func (r *Registrar) Manifests(service string) []*wire.Manifest {
	if !r.isDeclared(service) {
		return nil
	}
	return r.manifests.usable(service)
}

// apply stores an announcement that supersedes the known record and reports whether it did.
// The flag direct marks an announcement that came from the upstream itself rather than from a peer.
func (r *Registrar) apply(now time.Time, ann *wire.Announcement, digest uint64, direct bool) bool {
	next := newRecord(now, ann, digest)
	if !now.Before(next.expiresAt) && !next.leaving {
		return false
	}
	if !now.Before(next.expiresAt.Add(tombstoneTTL)) || (now.Before(r.ignoreUntil) && !next.leaving) {
		return false
	}
	current, ok := r.records[ann.GetUpstream()]
	if !ok {
		next.announcement = r.manifests.internManifests(ann)
		r.insertRecord(next, func() { r.records[ann.GetUpstream()] = next }, direct)
		return true
	}
	if !next.supersedes(current) {
		current.extendTombstone(next)
		return false
	}
	if current.isRenewedBy(next) {
		current.sequence = next.sequence
		current.sentAt = next.sentAt
		current.expiresAt = next.expiresAt
		r.updates.add(ann.GetUpstream(), false, direct)
		return true
	}
	next.announcement = r.manifests.internManifests(ann)
	r.updateRecord(current, func() { *current = *next })
	r.scheduleExpiry(current)
	r.updates.add(ann.GetUpstream(), true, direct)
	return true
}

func (r *Registrar) insertRecord(rec *record, store func(), direct bool) {
	r.updateRecord(rec, store)
	r.scheduleExpiry(rec)
	r.updates.add(rec.announcement.GetUpstream(), true, direct)
}

// updateRecord removes the record from all tables, calls mutate and adds the record back to the tables it still belongs to.
func (r *Registrar) updateRecord(rec *record, mutate func()) {
	name := rec.announcement.GetUpstream()
	if r.records[name] == rec {
		r.removeFromTables(rec)
	}
	mutate()
	if r.records[name] == rec {
		r.addToTables(rec)
	}
}

func (r *Registrar) addToTables(rec *record) {
	r.addToBucket(rec)
	if rec.leaving || rec.expired {
		return
	}
	r.manifests.add(rec.announcement)
	if !r.isDrained(rec.announcement) {
		r.index.add(rec.announcement, r.config)
	}
}

func (r *Registrar) removeFromTables(rec *record) {
	r.removeFromBucket(rec)
	if rec.leaving || rec.expired {
		return
	}
	r.manifests.remove(rec.announcement)
	r.index.remove(rec.announcement)
}

// scheduleExpiry sets nextExpiry earlier if the record's lease or tombstone ends before it.
func (r *Registrar) scheduleExpiry(rec *record) {
	deadline := rec.expiresAt
	if rec.expired {
		deadline = deadline.Add(tombstoneTTL)
	}
	if deadline.Before(r.nextExpiry) {
		r.nextExpiry = deadline
	}
}

// rebuildIndex rebuilds the routing tables after a change of the declared services, limits or drains.
func (r *Registrar) rebuildIndex() {
	r.index = newIndex()
	for _, rec := range r.records {
		if rec.leaving || rec.expired || r.isDrained(rec.announcement) {
			continue
		}
		r.index.add(rec.announcement, r.config)
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

// sameRouting reports whether two configurations lead to the same routing tables.
func sameRouting(a, b *wire.Config) bool {
	routingA := &wire.Config{
		Services:  a.GetServices(),
		Upstreams: a.GetUpstreams(),
		Zones:     a.GetZones(),
	}
	routingB := &wire.Config{
		Services:  b.GetServices(),
		Upstreams: b.GetUpstreams(),
		Zones:     b.GetZones(),
	}
	return proto.Equal(routingA, routingB)
}
