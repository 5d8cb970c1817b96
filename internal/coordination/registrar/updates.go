package registrar

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxDirectPeers is how many peers one gossip round of the gateway reaches. With more peers, renewals received from a peer are forwarded as well.
const maxDirectPeers = 8

// updateQueue lists the upstreams whose updates are to be sent to peers, oldest first and each once.
type updateQueue struct {
	order      []string
	byUpstream map[string]update
	// fullCount is the number of queued updates that are full.
	fullCount int
	// peerCount is the number of other entry instances.
	peerCount int
}

// update is a queued update of one upstream.
type update struct {
	// full is set if peers are sent the complete announcement rather than a renewal.
	full bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{
		byUpstream: map[string]update{},
	}
}

func (q *updateQueue) add(upstream string, full, direct bool) {
	if !direct && !full && q.peerCount <= maxDirectPeers {
		return
	}
	queued, ok := q.byUpstream[upstream]
	if !ok {
		q.order = append(q.order, upstream)
	}
	if full && !queued.full {
		q.fullCount++
	}
	q.byUpstream[upstream] = update{
		full: full || queued.full,
	}
}

// HasQueuedAnnouncements reports whether announcements are queued. Renewals alone can wait for the next heartbeat.
func (r *Registrar) HasQueuedAnnouncements() bool { return r.updates.fullCount > 0 }

// SetPeerCount sets the number of other entry instances.
func (r *Registrar) SetPeerCount(peers int) { r.updates.peerCount = peers }

// DequeueUpdates removes at most limit updates from the queue and returns them as announcements and renewals.
func (r *Registrar) DequeueUpdates(now time.Time, limit int) ([]*wire.Announcement, []*wire.Renewal) {
	var announcements []*wire.Announcement
	var renewals []*wire.Renewal
	count := min(limit, len(r.updates.order))
	for _, name := range r.updates.order[:count] {
		pending := r.updates.byUpstream[name]
		delete(r.updates.byUpstream, name)
		if pending.full {
			r.updates.fullCount--
		}
		rec, ok := r.records[name]
		switch {
		case !ok || !rec.isShared():
		case pending.full:
			announcements = append(announcements, rec.exportAnnouncement(now))
		default:
			renewals = append(renewals, rec.exportRenewal(now))
		}
	}
	r.updates.order = append(r.updates.order[:0:0], r.updates.order[count:]...)
	return announcements, renewals
}
