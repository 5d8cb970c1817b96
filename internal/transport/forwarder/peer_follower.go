package forwarder

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/subscriber"
	"pimentogate.example/pimentogate/pkg/wire"
)

// peerFollowerTick is the time between two checks of whether a peer has to be asked for the state.
const peerFollowerTick = 250 * time.Millisecond

// peerFollower asks peers for the state while no control instance answers. The state names the current control instances, which are then polled.
type peerFollower struct {
	directory *directory
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

func newPeerFollower(d *directory) *peerFollower {
	p := &peerFollower{
		directory: d,
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *peerFollower) run() {
	defer close(p.done)
	ticker := time.NewTicker(peerFollowerTick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.follow(now)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *peerFollower) close() {
	p.cancel()
	<-p.done
}

// follow asks a peer if one is due.
func (p *peerFollower) follow(now time.Time) {
	d := p.directory
	peer := d.nextPeer(now)
	if peer == nil {
		return
	}
	before := d.currentVersion()
	err := d.askPeer(p.ctx, peer)
	log := d.forwarder.log.WithValues("peer", peer.GetInstance())
	switch version := d.currentVersion(); {
	case err != nil:
		log.V(1).Info("no state from peer while no control instance answers", "cause", err.Error())
	case version != before:
		log.Info("configuration taken from peer while no control instance answers", "version", version, "before", before)
	}
}

// nextPeer returns the peer to ask for the state, or nil if none is due.
func (d *directory) nextPeer(now time.Time) *wire.EntryInstance {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.initialized || !d.fallback.IsDue(now) {
		return nil
	}
	var peers []subscriber.Peer
	byAddress := map[string]*wire.EntryInstance{}
	for _, entry := range d.entries {
		if entry.GetInstance() == d.instance {
			continue
		}
		byAddress[entry.GetAddress()] = entry
		peers = append(peers, subscriber.Peer{
			Address: entry.GetAddress(),
			Zone:    entry.GetZone(),
		})
	}
	peer, ok := d.fallback.Next(now, peers)
	if !ok {
		return nil
	}
	return byAddress[peer.Address]
}
