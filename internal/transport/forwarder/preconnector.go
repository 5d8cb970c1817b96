package forwarder

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// connectInterval is the delay between two connections, so that opening them takes little CPU time. It allows up to 100 connections a second.
	connectInterval = 10 * time.Millisecond
	// connectTimeout limits one attempt to connect.
	connectTimeout = 200 * time.Millisecond
	// replicaQueueSize is how many replicas may wait for a connection. Replicas beyond it are connected by their first request.
	replicaQueueSize = 1024
)

// peerQueueSize is how many peers may wait for a connection, several for each availability zone.
const peerQueueSize = 64

// preconnector opens connections to the replicas of its own availability zone and to peers in other zones before the first request needs them.
type preconnector struct {
	forwarder *Forwarder
	replicas  chan exchanger.Target
	peers     chan string
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

func newPreconnector(f *Forwarder) *preconnector {
	p := &preconnector{
		forwarder: f,
		replicas:  make(chan exchanger.Target, replicaQueueSize),
		peers:     make(chan string, peerQueueSize),
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// addReplica queues a replica for a connection, unless it is lost or in another availability zone.
func (p *preconnector) addReplica(replica balancer.Replica) {
	if replica.Zone != p.forwarder.zone || replica.Lost {
		return
	}
	target := exchanger.Target{
		Replica: replica.ID,
		Service: replica.Service,
		Address: replica.Address,
		Zone:    replica.Zone,
	}
	select {
	case p.replicas <- target:
	default:
		// The first request opens the connection.
	}
}

// addPeer queues a peer for a connection.
func (p *preconnector) addPeer(address string) {
	select {
	case p.peers <- address:
	default:
		// The first relay opens the connection.
	}
}

func (p *preconnector) run() {
	defer close(p.done)
	for {
		select {
		case target := <-p.replicas:
			p.connectReplica(target)
		case address := <-p.peers:
			p.connectPeer(address)
		case <-p.ctx.Done():
			return
		}
		p.wait()
	}
}

func (p *preconnector) connectReplica(target exchanger.Target) {
	ctx, cancel := context.WithTimeout(p.ctx, connectTimeout)
	defer cancel()
	if err := p.forwarder.exchanger.Preconnect(ctx, target); err != nil {
		p.forwarder.log.V(1).Info("failed to preconnect to replica", "replica", target.Replica, "address", target.Address, "cause", err.Error())
	}
}

func (p *preconnector) connectPeer(address string) {
	ctx, cancel := context.WithTimeout(p.ctx, connectTimeout)
	defer cancel()
	if err := p.forwarder.peers.preconnect(ctx, address); err != nil {
		p.forwarder.log.V(1).Info("failed to preconnect to peer", "address", address, "cause", err.Error())
	}
}

func (p *preconnector) wait() {
	select {
	case <-time.After(connectInterval):
	case <-p.ctx.Done():
	}
}

func (p *preconnector) close() {
	p.cancel()
	<-p.done
}
