package forwarder

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/delegator"
	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// minRelayedAttempts is the minimum number of attempts to one availability zone that justifies a call to a peer there. It does not apply if this instance opens no direct connections to that zone.
const minRelayedAttempts = 2

// minDelegatedAttempts is the minimum number of attempts in the own availability zone that justifies a call to a relay there.
const minDelegatedAttempts = 10

// relayGroupKey identifies attempts that can share one call to a peer.
type relayGroupKey struct {
	zone     string
	deadline time.Time
	// isFirst is set for first attempts, as opposed to retries and hedges.
	isFirst bool
}

// relayAttempts starts relays for the attempts that go through peers and returns those to send directly; the mutex must be held. Relays carry no body, and only text in UTF-8.
func (r *activeRequest) relayAttempts(now time.Time, attempts []*scatterer.Attempt) []*scatterer.Attempt {
	f := r.forwarder
	if !r.request.Route.IsSharded() || f.settings.ListenPeers == "" || len(r.call.Body) > 0 || !isEncodable(r.call) {
		return attempts
	}
	delegates := f.peers.delegates(now)
	groups := map[relayGroupKey][]*scatterer.Attempt{}
	var direct []*scatterer.Attempt
	for _, a := range attempts {
		key := relayGroupKey{
			zone:     a.Replica.Zone,
			deadline: a.Deadline,
			isFirst:  a.Kind == scatterer.AttemptFirst,
		}
		if r.canRelay(key, a.Service, delegates) && !f.sendsCold(now, a.Replica) {
			groups[key] = append(groups[key], a)
		} else {
			direct = append(direct, a)
		}
	}
	avoid := r.peersToAvoid()
	for key, group := range groups {
		if key.zone == f.zone {
			direct = append(direct, r.delegate(now, group, avoid)...)
			continue
		}
		peer := f.peers.relayer.Choose(now, key.zone, avoid)
		if peer == nil || r.hasUnsentBy(peer) || r.hasIsolatedPeer(key.zone) || len(group) < minRelayedAttempts && f.replicaConnections(group[0].Service).OtherZones > 0 {
			direct = append(direct, group...)
			continue
		}
		r.startRelay(now, peer, group)
	}
	return direct
}

// canRelay reports whether attempts of the group at the service may go through peers; the mutex must be held. In the own availability zone only first attempts do, if this instance leaves them to relays.
func (r *activeRequest) canRelay(key relayGroupKey, service string, delegates bool) bool {
	if key.zone == r.forwarder.zone {
		return key.isFirst && delegates
	}
	return key.isFirst || r.forwarder.replicaConnections(service).OtherZones == 0
}

// delegate starts relays for attempts in the own availability zone, divided among several relays, and returns those to send directly; the mutex must be held.
func (r *activeRequest) delegate(now time.Time, group []*scatterer.Attempt, avoid []*relayer.Peer) []*scatterer.Attempt {
	if len(group) < minDelegatedAttempts {
		return group
	}
	peers := r.forwarder.peers.relayer.ChooseLocal(now, delegator.CallCount(len(group)), avoid)
	if len(peers) == 0 {
		return group
	}
	for i, peer := range peers {
		// The parts differ in size by one at most.
		part := group[i*len(group)/len(peers) : (i+1)*len(group)/len(peers)]
		r.startRelay(now, peer, part)
	}
	return nil
}

// peersToAvoid returns the peers that have not responded to a relay of this request yet or have left an attempt unsent. Its retries and hedges prefer other peers.
func (r *activeRequest) peersToAvoid() []*relayer.Peer {
	var peers []*relayer.Peer
	for _, o := range r.relays {
		if !o.hasResponse || o.hasUnsent {
			peers = append(peers, o.peer)
		}
	}
	return peers
}

// hasUnsentBy reports whether the peer has left an attempt of this request unsent.
func (r *activeRequest) hasUnsentBy(peer *relayer.Peer) bool {
	return slices.ContainsFunc(r.relays, func(o *outgoingRelay) bool { return o.peer == peer && o.hasUnsent })
}

// hasIsolatedPeer reports whether a peer of the availability zone has refused a relay of this request because it reaches no replica. The others there may be isolated as well, so that a direct connection is the better bet.
func (r *activeRequest) hasIsolatedPeer(zone string) bool {
	return slices.ContainsFunc(r.relays, func(o *outgoingRelay) bool { return o.isPeerIsolated && o.peer.Zone == zone })
}
