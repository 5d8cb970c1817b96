package forwarder

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// leastRelayed is how many attempts to one availability zone are worth a call of their own to a peer there.
const leastRelayed = 2

// groupKey is what the attempts of one call to a peer have in common.
type groupKey struct {
	zone     string
	deadline time.Time
	// first says that they are first attempts.
	first bool
}

// divide takes out of the sends those that peers are to carry, and returns the rest; the mutex is held.
func (r *run) divide(now time.Time, sends []*scatterer.Attempt) []*scatterer.Attempt {
	f := r.forwarder
	if !r.request.Route.IsSharded() || f.settings.ListenPeers == "" {
		return sends
	}
	groups := map[groupKey][]*scatterer.Attempt{}
	var direct []*scatterer.Attempt
	for _, a := range sends {
		key := groupKey{
			zone:     a.Replica.Zone,
			deadline: a.Deadline,
			first:    a.Kind == scatterer.AttemptFirst,
		}
		if key.zone != f.zone && (key.first || f.reach(a.Service).OtherZones == 0) {
			groups[key] = append(groups[key], a)
		} else {
			direct = append(direct, a)
		}
	}
	for key, group := range groups {
		peer := f.relays.relayer.Choose(now, key.zone, r.passedOver())
		if peer == nil || r.isUnsentBy(peer) || len(group) < leastRelayed && f.reach(group[0].Service).OtherZones > 0 {
			direct = append(direct, group...)
			continue
		}
		r.relay(now, peer, group)
	}
	return direct
}

// passedOver returns the peers that have not answered for any attempt of this request yet, or have not sent one, so that its repeats go through others.
func (r *run) passedOver() []*relayer.Peer {
	var list []*relayer.Peer
	for _, g := range r.relayed {
		if !g.heard || g.unsent {
			list = append(list, g.peer)
		}
	}
	return list
}

// isUnsentBy reports whether the peer has not sent an attempt of this request that it was to carry.
func (r *run) isUnsentBy(peer *relayer.Peer) bool {
	return slices.ContainsFunc(r.relayed, func(g *relayRun) bool { return g.peer == peer && g.unsent })
}
