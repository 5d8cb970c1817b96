package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// responseTimeout is how long a call may stay unanswered before its peer is skipped. It is many times the time that a partial result takes.
	responseTimeout = 150 * time.Millisecond
	// initialBackoff is how long a peer is skipped after its first failure; it doubles with each further failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// isolationBackoff is how long a peer that reaches no replica is skipped. Its zone often has others like it, which are met one after the other.
	isolationBackoff = 2 * time.Second
)

// Peer is an entry instance in another availability zone.
type Peer struct {
	Instance string
	Zone     string
	Address  string

	// unanswered holds the start times of the calls without a response yet, oldest first.
	unanswered   []time.Time
	failures     int
	backoffUntil time.Time
	// isIsolated is set if the peer has said that it reaches no replica.
	isIsolated bool
}

// Relayer tracks the entry instances of other availability zones and the state of their calls. It is not safe for concurrent use.
type Relayer struct {
	self  string
	zone  string
	peers []*Peer
}

// New returns a relayer without peers for the entry instance self in the given availability zone.
func New(self, zone string) *Relayer {
	return &Relayer{
		self: self,
		zone: zone,
	}
}

// Update replaces the list of peers. Instances that were known under the same address keep their call state.
func (r *Relayer) Update(peers []Peer) {
	var next []*Peer
	for _, listed := range peers {
		if listed.Instance == r.self || listed.Zone == r.zone || listed.Address == "" {
			continue
		}
		known := r.find(listed)
		if known == nil {
			known = &Peer{
				Instance: listed.Instance,
				Zone:     listed.Zone,
				Address:  listed.Address,
			}
		}
		next = append(next, known)
	}
	// Ranking by a hash of both names gives each instance a stable preferred peer per zone, which spreads the load and keeps connections few.
	slices.SortFunc(next, func(a, b *Peer) int { return cmp.Compare(r.rank(a), r.rank(b)) })
	r.peers = next
}

func (r *Relayer) find(listed Peer) *Peer {
	for _, known := range r.peers {
		if known.Instance == listed.Instance && known.Address == listed.Address {
			return known
		}
	}
	return nil
}

func (r *Relayer) rank(p *Peer) uint64 { return xxhash.Sum64String(r.self + " " + p.Instance) }

// Preferred returns the first peer of each availability zone, healthy or not.
func (r *Relayer) Preferred() []*Peer {
	var preferred []*Peer
	for _, p := range r.peers {
		if !slices.ContainsFunc(preferred, func(other *Peer) bool { return other.Zone == p.Zone }) {
			preferred = append(preferred, p)
		}
	}
	return preferred
}

// Choose returns the first healthy peer of the availability zone, or nil if there is none. A peer in avoid is returned only if no other is healthy.
func (r *Relayer) Choose(now time.Time, zone string, avoid []*Peer) *Peer {
	var fallback *Peer
	for _, p := range r.peers {
		if p.Zone != zone || !p.isHealthy(now) {
			continue
		}
		if !slices.Contains(avoid, p) {
			return p
		}
		if fallback == nil {
			fallback = p
		}
	}
	return fallback
}

// isHealthy reports whether the peer is not in backoff and its oldest unanswered call is within responseTimeout.
func (p *Peer) isHealthy(now time.Time) bool {
	if now.Before(p.backoffUntil) {
		return false
	}
	return len(p.unanswered) == 0 || now.Sub(p.unanswered[0]) < responseTimeout
}

// RecordStart records the start of a call to the peer.
func (r *Relayer) RecordStart(now time.Time, p *Peer) { p.unanswered = append(p.unanswered, now) }

// RecordResponse records the first response to the call started at startedAt.
func (r *Relayer) RecordResponse(p *Peer, startedAt time.Time) {
	p.failures = 0
	p.isIsolated = false
	p.removeUnanswered(startedAt)
}

// RecordFailure records that the call started at startedAt ended without a response, and backs off from the peer.
func (r *Relayer) RecordFailure(now time.Time, p *Peer, startedAt time.Time) {
	p.removeUnanswered(startedAt)
	p.backoffUntil = now.Add(min(initialBackoff<<min(p.failures, 10), maxBackoff))
	p.failures++
}

// RecordIsolation records that the peer has refused the call started at startedAt because it reaches no replica. It skips the peer and reports whether this is news.
func (r *Relayer) RecordIsolation(now time.Time, p *Peer, startedAt time.Time) bool {
	p.removeUnanswered(startedAt)
	p.backoffUntil = now.Add(isolationBackoff)
	isNews := !p.isIsolated
	p.isIsolated = true
	return isNews
}

// RecordCancellation records that the caller cancelled an unanswered call. It counts as a failure only if the peer had responseTimeout to answer.
func (r *Relayer) RecordCancellation(now time.Time, p *Peer, startedAt time.Time) {
	if now.Sub(startedAt) >= responseTimeout {
		r.RecordFailure(now, p, startedAt)
		return
	}
	p.removeUnanswered(startedAt)
}

func (p *Peer) removeUnanswered(startedAt time.Time) {
	if i := slices.IndexFunc(p.unanswered, startedAt.Equal); i >= 0 {
		p.unanswered = slices.Delete(p.unanswered, i, i+1)
	}
}
