package subscriber

import (
	"math/rand/v2"
	"time"
)

const (
	// fallbackDelay is how long no control instance has answered until peers are asked. Two calls then still fit into the 4 s within which a change has to be in force.
	fallbackDelay = 1500 * time.Millisecond
	// fallbackInterval is the time between two calls of peers. It bounds the load on peers while all of control is down to one call a second from each entry instance.
	fallbackInterval = time.Second
)

// Peer is another entry instance.
type Peer struct {
	Address string
	Zone    string
}

// Fallback decides when an entry instance asks a peer for the state because no control instance answers it, and which one. All control instances that it knows may have been replaced while it was cut off. It is not safe for concurrent use.
type Fallback struct {
	zone   string
	random *rand.Rand
	// answeredAt is when a control instance last answered, and askedAt when a peer was last asked.
	answeredAt time.Time
	askedAt    time.Time
	// calls counts the calls of peers since then.
	calls int
}

// NewFallback returns the fallback of an entry instance in the availability zone.
func NewFallback(zone string, random *rand.Rand) *Fallback {
	return &Fallback{
		zone:   zone,
		random: random,
	}
}

// RecordAnswer records that a control instance has answered.
func (f *Fallback) RecordAnswer(now time.Time) {
	f.answeredAt = now
	f.calls = 0
}

// IsDue reports whether a peer is to be asked now.
func (f *Fallback) IsDue(now time.Time) bool {
	return !f.answeredAt.IsZero() && now.Sub(f.answeredAt) >= fallbackDelay && now.Sub(f.askedAt) >= fallbackInterval
}

// Next returns the peer to ask now, or false if none is due or known. Every other call goes to a peer of the own availability zone, as far as there is one, because transfers within a zone are cheaper.
func (f *Fallback) Next(now time.Time, peers []Peer) (Peer, bool) {
	if !f.IsDue(now) || len(peers) == 0 {
		return Peer{}, false
	}
	f.askedAt = now
	candidates := peers
	if near := f.inOwnZone(peers); f.calls%2 == 0 && len(near) > 0 {
		candidates = near
	}
	f.calls++
	return candidates[f.random.IntN(len(candidates))], true
}

func (f *Fallback) inOwnZone(peers []Peer) []Peer {
	var near []Peer
	for _, peer := range peers {
		if peer.Zone == f.zone {
			near = append(near, peer)
		}
	}
	return near
}
