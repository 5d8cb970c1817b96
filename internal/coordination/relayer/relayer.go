package relayer

import (
	"cmp"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/delegator"
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

// Peer is another entry instance.
type Peer struct {
	Instance string
	Zone     string
	Address  string

	// zoneRank is the place of the peer among the instances of its availability zone, this instance included. The first ones relay for all others.
	zoneRank int
	// unanswered holds the start times of the calls without a response yet, oldest first.
	unanswered   []time.Time
	failures     int
	backoffUntil time.Time
	// isIsolated is set if the peer has said that it reaches no replica.
	isIsolated bool
}

// Relayer tracks the other entry instances and the state of the calls to them. It is not safe for concurrent use.
type Relayer struct {
	self string
	zone string
	// relayCount is the number of relays in each availability zone, and ownRank the place of this instance in its own.
	relayCount int
	ownRank    int
	// peers are ordered by this instance's preference.
	peers []*Peer
}

// New returns a relayer without peers for the entry instance self in the given availability zone.
func New(self, zone string) *Relayer {
	return &Relayer{
		self:       self,
		zone:       zone,
		relayCount: delegator.RelayCount(0, 0),
	}
}

// SetRelayCount sets the number of instances of each availability zone that relay attempts, and reports whether it has changed.
func (r *Relayer) SetRelayCount(count int) bool {
	changed := count != r.relayCount
	r.relayCount = count
	return changed
}

// IsRelay reports whether this instance relays attempts for the others.
func (r *Relayer) IsRelay() bool { return r.ownRank < r.relayCount }

// Update replaces the list of peers and reports whether it has changed. Instances that were known under the same address keep their call state.
func (r *Relayer) Update(peers []Peer) bool {
	var next []*Peer
	changed := false
	for _, listed := range peers {
		if listed.Instance == r.self || listed.Address == "" {
			continue
		}
		known := r.find(listed)
		if known == nil {
			changed = true
			known = &Peer{
				Instance: listed.Instance,
				Zone:     listed.Zone,
				Address:  listed.Address,
			}
		}
		next = append(next, known)
	}
	changed = changed || len(next) != len(r.peers)
	r.peers = next
	r.rankZones()
	// Ranking by a hash of both names gives each instance stable preferred peers, which spreads the load and keeps connections few.
	slices.SortFunc(next, func(a, b *Peer) int {
		return cmp.Compare(delegator.Weight(r.self, a.Instance), delegator.Weight(r.self, b.Instance))
	})
	return changed
}

// rankZones ranks the instances of each availability zone alike at all instances that know the same others.
func (r *Relayer) rankZones() {
	slices.SortFunc(r.peers, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(zoneWeight(b), zoneWeight(a)))
	})
	own := delegator.Weight(r.zone, r.self)
	r.ownRank = 0
	for i, p := range r.peers {
		p.zoneRank = 0
		if i > 0 && r.peers[i-1].Zone == p.Zone {
			p.zoneRank = r.peers[i-1].zoneRank + 1
		}
	}
	for _, p := range r.peers {
		switch {
		case p.Zone != r.zone:
		case zoneWeight(p) > own:
			r.ownRank++
		default:
			p.zoneRank++
		}
	}
}

func zoneWeight(p *Peer) uint64 { return delegator.Weight(p.Zone, p.Instance) }

func (r *Relayer) find(listed Peer) *Peer {
	for _, known := range r.peers {
		if known.Instance == listed.Instance && known.Address == listed.Address {
			return known
		}
	}
	return nil
}

// Preferred returns the first relay of each availability zone, healthy or not. A relay needs none in its own.
func (r *Relayer) Preferred() []*Peer {
	var preferred []*Peer
	for _, p := range r.peers {
		if (p.Zone != r.zone || !r.IsRelay()) && p.zoneRank < r.relayCount && !slices.ContainsFunc(preferred, func(other *Peer) bool { return other.Zone == p.Zone }) {
			preferred = append(preferred, p)
		}
	}
	return preferred
}

// Choose returns the first healthy relay of another availability zone, another healthy peer there if no relay is, or nil if there is none. A peer in avoid is returned only if no other is healthy.
func (r *Relayer) Choose(now time.Time, zone string, avoid []*Peer) *Peer {
	var best *Peer
	var bestRank int
	for _, p := range r.peers {
		if p.Zone == r.zone || p.Zone != zone || !p.isHealthy(now) {
			continue
		}
		if rank := r.preferenceOf(p, avoid); best == nil || rank < bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// ChooseLocal returns up to count different healthy relays of the own availability zone that are not in avoid.
func (r *Relayer) ChooseLocal(now time.Time, count int, avoid []*Peer) []*Peer {
	var chosen []*Peer
	for _, p := range r.peers {
		if len(chosen) < count && p.Zone == r.zone && p.isHealthy(now) && r.preferenceOf(p, avoid) == 0 {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// preferenceOf returns 0 for a relay, 1 for another peer, and 2 for a peer to avoid.
func (r *Relayer) preferenceOf(p *Peer, avoid []*Peer) int {
	switch {
	case slices.Contains(avoid, p):
		return 2
	case p.zoneRank < r.relayCount:
		return 0
	default:
		return 1
	}
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
