package registrar

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// record is the newest that is known of one upstream; its announcement is never changed.
type record struct {
	announcement *wire.Announcement
	content      uint64
	sequence     uint64
	leaving      bool
	// ended says that the lease is over; the record stays as a tombstone.
	ended     bool
	heardAt   time.Time
	expiresAt time.Time
}

func newRecord(now time.Time, ann *wire.Announcement, content uint64) *record {
	known := &record{
		announcement: ann,
		content:      content,
		sequence:     ann.GetSequence(),
		leaving:      ann.GetLeaving(),
	}
	known.renew(now, ann.GetAgeMs())
	return known
}

// renew starts the lease at the time when the upstream sent its announcement.
func (k *record) renew(now time.Time, ageMs uint32) {
	k.heardAt = now.Add(-time.Duration(ageMs) * time.Millisecond)
	k.expiresAt = k.heardAt.Add(time.Duration(k.announcement.GetLeaseMs()) * time.Millisecond)
}

// supersedes orders announcements of one upstream; a leaving notice goes before any heartbeat of its incarnation.
func (k *record) supersedes(known *record) bool {
	incarnation := k.announcement.GetIncarnation()
	if incarnation != known.announcement.GetIncarnation() {
		return incarnation > known.announcement.GetIncarnation()
	}
	if k.leaving != known.leaving {
		return k.leaving
	}
	return k.sequence > known.sequence
}

// hold keeps the tombstone of an upstream that goes on sending heartbeats after it has left.
func (k *record) hold(next *record) {
	isSame := next.announcement.GetIncarnation() == k.announcement.GetIncarnation()
	if isSame && k.leaving && next.sequence > k.sequence && next.expiresAt.After(k.expiresAt) {
		k.heardAt = next.heardAt
		k.expiresAt = next.expiresAt
	}
}

// isRenewedBy reports whether the next record only prolongs this one's lease.
func (k *record) isRenewedBy(next *record) bool {
	return !k.ended && k.content == next.content && k.leaving == next.leaving && k.isSame(next.announcement)
}

func (k *record) isSame(ann *wire.Announcement) bool {
	return k.announcement.GetIncarnation() == ann.GetIncarnation() && k.announcement.GetLeaseMs() == ann.GetLeaseMs()
}

// isTold reports whether peers are told of the record: leases that last, and those that have left.
func (k *record) isTold() bool { return k.leaving || !k.ended }

// export returns the announcement as it is passed on now.
func (k *record) export(now time.Time) *wire.Announcement {
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
		Content:     k.content,
	}
}

func (k *record) ageMs(now time.Time) uint32 {
	// A part of a millisecond counts as a whole one, so that no relay makes an announcement younger.
	return uint32(max(0, (now.Sub(k.heardAt)+time.Millisecond-1)/time.Millisecond))
}

// contentOnly returns what an announcement says apart from its place in time.
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

// contentOf returns the digest of what an announcement says.
func (r *Registrar) contentOf(ann *wire.Announcement) uint64 {
	options := proto.MarshalOptions{
		Deterministic: true,
	}
	encoded, err := options.MarshalAppend(r.buffer[:0], contentOnly(ann))
	if err != nil {
		return 0
	}
	r.buffer = encoded
	return xxhash.Sum64(encoded)
}
