package forwarder

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// warmPause lies between two connections, so that opening them takes little of the processor; a hundred are open within a second.
	warmPause = 10 * time.Millisecond
	// warmLimit bounds one attempt to connect.
	warmLimit = 200 * time.Millisecond
	// warmRing is how many replicas may wait for a connection; those beyond it get theirs with their first request.
	warmRing = 1024
)

// peerRing is how many peers may wait, several for each availability zone.
const peerRing = 64

// warmer opens a connection to each replica of the own availability zone, and to the peers of the others, before the first request needs it.
type warmer struct {
	forwarder *Forwarder
	ring      chan exchanger.Target
	peers     chan string
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

func newWarmer(f *Forwarder) *warmer {
	w := &warmer{
		forwarder: f,
		ring:      make(chan exchanger.Target, warmRing),
		peers:     make(chan string, peerRing),
		done:      make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// add has a connection opened to a replica that has come to be known.
func (w *warmer) add(replica balancer.Replica) {
	if replica.Zone != w.forwarder.zone || replica.Lost {
		return
	}
	target := exchanger.Target{
		Replica: replica.ID,
		Service: replica.Service,
		Address: replica.Address,
		Zone:    replica.Zone,
	}
	select {
	case w.ring <- target:
	default:
		// Its first request opens the connection.
	}
}

// addPeer has a connection opened to a peer that attempts will be carried by.
func (w *warmer) addPeer(address string) {
	select {
	case w.peers <- address:
	default:
		// Its first call opens the connection.
	}
}

func (w *warmer) run() {
	defer close(w.done)
	for {
		select {
		case target := <-w.ring:
			w.warm(target)
		case address := <-w.peers:
			w.warmPeer(address)
		case <-w.ctx.Done():
			return
		}
		w.pause()
	}
}

func (w *warmer) warm(target exchanger.Target) {
	ctx, cancel := context.WithTimeout(w.ctx, warmLimit)
	defer cancel()
	if err := w.forwarder.exchanger.Preconnect(ctx, target); err != nil {
		w.forwarder.log.V(1).Info("replica not connected", "replica", target.Replica, "address", target.Address, "cause", err.Error())
	}
}

func (w *warmer) warmPeer(address string) {
	ctx, cancel := context.WithTimeout(w.ctx, warmLimit)
	defer cancel()
	if err := w.forwarder.relays.warm(ctx, address); err != nil {
		w.forwarder.log.V(1).Info("peer not connected", "address", address, "cause", err.Error())
	}
}

func (w *warmer) pause() {
	select {
	case <-time.After(warmPause):
	case <-w.ctx.Done():
	}
}

func (w *warmer) close() {
	w.cancel()
	<-w.done
}
