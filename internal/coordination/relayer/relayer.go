package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silentAfter is how long a call may be without any word before its peer is passed over: many times what a part takes.
	silentAfter = 150 * time.Millisecond
	// firstRest is how long a peer is passed over after one failure; it doubles with each further one.
	firstRest = 500 * time.Millisecond
	mostRest  = 4 * time.Second
)

// Peer is another entry instance.
type Peer struct {
	Instance string
	Zone     string
	Address  string

	// waiting are when the calls without any word were begun.
	waiting  []time.Time
	failures int
	restEnds time.Time
}

// Relayer keeps the other entry instances and how they have done; it is not safe for concurrent use.
type Relayer struct {
	self  string
	zone  string
	peers []*Peer
}

// New returns a relayer of the instance that knows no other.
func New(self, zone string) *Relayer {
	return &Relayer{
		self: self,
		zone: zone,
	}
}

// Update takes the entry instances that there are; what is known of those that stay is kept.
func (r *Relayer) Update(list []Peer) {
	var next []*Peer
	for _, heard := range list {
		if heard.Instance == r.self || heard.Zone == r.zone || heard.Address == "" {
			continue
		}
		known := r.find(heard)
		if known == nil {
			known = &Peer{
				Instance: heard.Instance,
				Zone:     heard.Zone,
				Address:  heard.Address,
			}
		}
		next = append(next, known)
	}
	// Each instance prefers another peer of a zone, and the same one each time, so that load is spread and connections are few.
	slices.SortFunc(next, func(a, b *Peer) int { return cmp.Compare(r.rank(a), r.rank(b)) })
	r.peers = next
}

func (r *Relayer) find(heard Peer) *Peer {
	for _, known := range r.peers {
		if known.Instance == heard.Instance && known.Address == heard.Address {
			return known
		}
	}
	return nil
}

func (r *Relayer) rank(p *Peer) uint64 { return xxhash.Sum64String(r.self + " " + p.Instance) }

// Preferred returns the first peer of each availability zone, whether it is sound or not.
func (r *Relayer) Preferred() []*Peer {
	var list []*Peer
	for _, p := range r.peers {
		if !slices.ContainsFunc(list, func(other *Peer) bool { return other.Zone == p.Zone }) {
			list = append(list, p)
		}
	}
	return list
}

// Choose returns the peer of the availability zone to use, or nil where none is sound; those to avoid are taken only where there is no other.
func (r *Relayer) Choose(now time.Time, zone string, avoid []*Peer) *Peer {
	var second *Peer
	for _, p := range r.peers {
		if p.Zone != zone || !p.isSound(now) {
			continue
		}
		if !slices.Contains(avoid, p) {
			return p
		}
		if second == nil {
			second = p
		}
	}
	return second
}

func (p *Peer) isSound(now time.Time) bool {
	if now.Before(p.restEnds) {
		return false
	}
	return len(p.waiting) == 0 || now.Sub(p.waiting[0]) < silentAfter
}

// Began notes a call to the peer.
func (r *Relayer) Began(now time.Time, p *Peer) { p.waiting = append(p.waiting, now) }

// Heard notes the first word on a call that was begun at the time.
func (r *Relayer) Heard(p *Peer, began time.Time) {
	p.failures = 0
	p.drop(began)
}

// Failed notes that a call that was begun at the time brought no word.
func (r *Relayer) Failed(now time.Time, p *Peer, began time.Time) {
	p.drop(began)
	p.restEnds = now.Add(min(firstRest<<min(p.failures, 10), mostRest))
	p.failures++
}

// Ended notes that a call on which nothing was heard was ended here, which speaks against the peer only if it had the time to answer.
func (r *Relayer) Ended(now time.Time, p *Peer, began time.Time) {
	if now.Sub(began) >= silentAfter {
		r.Failed(now, p, began)
		return
	}
	p.drop(began)
}

func (p *Peer) drop(began time.Time) {
	if i := slices.IndexFunc(p.waiting, began.Equal); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
