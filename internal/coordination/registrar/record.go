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
func (k *record) renew(now time.Time, ageMs uint32) {
	k.sentAt = now.Add(-time.Duration(ageMs) * time.Millisecond)
	k.expiresAt = k.sentAt.Add(time.Duration(k.announcement.GetLeaseMs()) * time.Millisecond)
}

// supersedes reports whether k is newer than another record of the same upstream.
// Within an incarnation, a leaving notice supersedes any heartbeat.
func (k *record) supersedes(other *record) bool {
	incarnation := k.announcement.GetIncarnation()
	if incarnation != other.announcement.GetIncarnation() {
		return incarnation > other.announcement.GetIncarnation()
	}
	if k.leaving != other.leaving {
		return k.leaving
	}
	return k.sequence > other.sequence
}

// extendTombstone extends the tombstone of an upstream that continues to send heartbeats after its leaving notice.
func (k *record) extendTombstone(next *record) {
	sameIncarnation := next.announcement.GetIncarnation() == k.announcement.GetIncarnation()
	if sameIncarnation && k.leaving && next.sequence > k.sequence && next.expiresAt.After(k.expiresAt) {
		k.sentAt = next.sentAt
		k.expiresAt = next.expiresAt
	}
}

// isRenewedBy reports whether the next record only extends the lease of this one.
func (k *record) isRenewedBy(next *record) bool {
	return !k.expired && k.contentDigest == next.contentDigest && k.leaving == next.leaving && k.hasSameLease(next.announcement)
}

func (k *record) hasSameLease(ann *wire.Announcement) bool {
	return k.announcement.GetIncarnation() == ann.GetIncarnation() && k.announcement.GetLeaseMs() == ann.GetLeaseMs()
}

// isShared reports whether peers are sent the record: its lease has not expired or its upstream is leaving.
func (k *record) isShared() bool { return k.leaving || !k.expired }

// exportAnnouncement returns the announcement to send to peers, with its current age.
func (k *record) exportAnnouncement(now time.Time) *wire.Announcement {
	ann := contentOnly(k.announcement)
	ann.Incarnation = k.announcement.GetIncarnation()
	ann.LeaseMs = k.announcement.GetLeaseMs()
	ann.Sequence = k.sequence
	ann.Leaving = k.leaving
	ann.AgeMs = k.ageMs(now)
	return ann
}

func (k *record) exportRenewal(now time.Time) *wire.Renewal {
	return &wire.Renewal{
		Upstream:    k.announcement.GetUpstream(),
		Incarnation: k.announcement.GetIncarnation(),
		Sequence:    k.sequence,
		AgeMs:       k.ageMs(now),
		Content:     k.contentDigest,
	}
}

func (k *record) ageMs(now time.Time) uint32 {
	// Rounds up, so that forwarding never makes an announcement younger.
	return uint32(max(0, (now.Sub(k.sentAt)+time.Millisecond-1)/time.Millisecond))
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
