package registrar

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// record is the newest known state of one upstream. Its announcement is never modified.
type record struct {
	announcement  *wire.Announcement
	contentDigest uint64
	sequence      uint64
	leaving       bool
	// expired is set once the lease has ended; the record stays as a tombstone.
	expired bool
	// sentAt is when the upstream sent its newest heartbeat, by the local clock.
	sentAt    time.Time
	expiresAt time.Time
}

func newRecord(now time.Time, ann *wire.Announcement, contentDigest uint64) *record {
	rec := &record{
		announcement:  ann,
		contentDigest: contentDigest,
		sequence:      ann.GetSequence(),
		leaving:       ann.GetLeaving(),
	}
	rec.renew(now, ann.GetAgeMs())
	return rec
}

// renew starts the lease at the time when the upstream sent its announcement.
func (r *record) renew(now time.Time, ageMs uint32) {
	r.sentAt = now.Add(-time.Duration(ageMs) * time.Millisecond)
	r.expiresAt = r.sentAt.Add(time.Duration(r.announcement.GetLeaseMs()) * time.Millisecond)
}

// supersedes reports whether the record is newer than another one of the same upstream.
// Within an incarnation, a leaving notice supersedes any heartbeat.
func (r *record) supersedes(other *record) bool {
	incarnation := r.announcement.GetIncarnation()
	if incarnation != other.announcement.GetIncarnation() {
		return incarnation > other.announcement.GetIncarnation()
	}
	if r.leaving != other.leaving {
		return r.leaving
	}
	return r.sequence > other.sequence
}

// extendTombstone extends the tombstone of an upstream that continues to send heartbeats after its leaving notice.
func (r *record) extendTombstone(next *record) {
	sameIncarnation := next.announcement.GetIncarnation() == r.announcement.GetIncarnation()
	if sameIncarnation && r.leaving && next.sequence > r.sequence && next.expiresAt.After(r.expiresAt) {
		r.sentAt = next.sentAt
		r.expiresAt = next.expiresAt
	}
}

// isRenewedBy reports whether the next record only extends the lease of this one.
func (r *record) isRenewedBy(next *record) bool {
	return !r.expired && r.contentDigest == next.contentDigest && r.leaving == next.leaving && r.hasSameLease(next.announcement)
}

func (r *record) hasSameLease(ann *wire.Announcement) bool {
	return r.announcement.GetIncarnation() == ann.GetIncarnation() && r.announcement.GetLeaseMs() == ann.GetLeaseMs()
}

// isShared reports whether peers are sent the record: its lease has not expired or its upstream is leaving.
func (r *record) isShared() bool { return r.leaving || !r.expired }

// exportAnnouncement returns the announcement to send to peers, with its current age.
func (r *record) exportAnnouncement(now time.Time) *wire.Announcement {
	ann := contentOnly(r.announcement)
	ann.Incarnation = r.announcement.GetIncarnation()
	ann.LeaseMs = r.announcement.GetLeaseMs()
	ann.Sequence = r.sequence
	ann.Leaving = r.leaving
	ann.AgeMs = r.ageMs(now)
	return ann
}

func (r *record) exportRenewal(now time.Time) *wire.Renewal {
	return &wire.Renewal{
		Upstream:    r.announcement.GetUpstream(),
		Incarnation: r.announcement.GetIncarnation(),
		Sequence:    r.sequence,
		AgeMs:       r.ageMs(now),
		Content:     r.contentDigest,
	}
}

func (r *record) ageMs(now time.Time) uint32 {
	// Rounds up, so that forwarding never makes an announcement younger.
	return uint32(max(0, (now.Sub(r.sentAt)+time.Millisecond-1)/time.Millisecond))
}

// contentOnly returns the announcement without its incarnation, sequence, lease, age and leaving flag.
func contentOnly(ann *wire.Announcement) *wire.Announcement {
	return &wire.Announcement{
		Upstream:    ann.GetUpstream(),
		Address:     ann.GetAddress(),
		Zone:        ann.GetZone(),
		Slots:       ann.GetSlots(),
		Connections: ann.GetConnections(),
		Holdings:    ann.GetHoldings(),
		Manifests:   ann.GetManifests(),
	}
}

// digestContent returns the hash of the announcement's content.
func (r *Registrar) digestContent(ann *wire.Announcement) uint64 {
	options := proto.MarshalOptions{
		Deterministic: true,
	}
	encoded, err := options.MarshalAppend(r.encodeBuffer[:0], contentOnly(ann))
	if err != nil {
		return 0
	}
	r.encodeBuffer = encoded
	return xxhash.Sum64(encoded)
}
