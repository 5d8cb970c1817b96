package forwarder

import (
	"context"
	"math/rand/v2"
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

const (
	// refreshDelay is how long the routes and the entry instances must not have changed before connections are opened for them, and maxRefreshDelay the longest wait. While a fleet starts, each instance first knows few others and would take itself for a relay.
	refreshDelay    = 500 * time.Millisecond
	maxRefreshDelay = 3 * time.Second
	// relayCheckInterval is the interval at which the number of relays is adapted to the rate of queries.
	relayCheckInterval = 5 * time.Second
)

// preconnector opens connections to the replicas of its own availability zone that this instance asks itself, and to the relays that it asks for others, before the first request needs them.
type preconnector struct {
	forwarder *Forwarder
	replicas  chan exchanger.Target
	peers     chan string
	// changed receives a value when the routes, the entry instances or the number of relays have changed.
	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

func newPreconnector(f *Forwarder) *preconnector {
	p := &preconnector{
		forwarder: f,
		replicas:  make(chan exchanger.Target, replicaQueueSize),
		peers:     make(chan string, peerQueueSize),
		changed:   make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// addReplica queues a replica for a connection, unless it is lost, has one, or is asked through others.
func (p *preconnector) addReplica(replica balancer.Replica) {
	if replica.Zone != p.forwarder.zone || replica.Lost || !p.forwarder.sendsItself(replica.Service) {
		return
	}
	target := exchanger.Target{
		Replica: replica.ID,
		Service: replica.Service,
		Address: replica.Address,
		Zone:    replica.Zone,
	}
	if p.forwarder.exchanger.IsConnected(target) {
		return
	}
	select {
	case p.replicas <- target:
	default:
		// The first request opens the connection.
	}
}

// sendsItself reports whether this instance sends its own attempts at the service's replicas in its availability zone, rather than through relays. It is not known before the routes are.
func (f *Forwarder) sendsItself(service string) bool {
	table := f.routingTable.Load()
	if table == nil {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !table.IsShardOnly(service) || !f.peers.delegates(time.Now())
}

// noteChange has the connections opened that a change needs.
func (p *preconnector) noteChange() {
	select {
	case p.changed <- struct{}{}:
	default:
		// A change is noted already.
	}
}

// refresh queues the replicas that this instance asks itself and has no connection to, in random order, so that instances that start together do not all connect to the same replica at once.
func (p *preconnector) refresh() {
	f := p.forwarder
	f.mutex.Lock()
	replicas := f.balancer.Replicas()
	f.mutex.Unlock()
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	for _, replica := range replicas {
		p.addReplica(replica)
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
	relayCheck := time.NewTicker(relayCheckInterval)
	defer relayCheck.Stop()
	var refreshDue <-chan time.Time
	var changedAt time.Time
	for {
		select {
		case target := <-p.replicas:
			p.connectReplica(target)
			p.wait()
		case address := <-p.peers:
			p.connectPeer(address)
			p.wait()
		case <-p.changed:
			if refreshDue == nil {
				changedAt = time.Now()
			}
			refreshDue = time.After(min(refreshDelay, time.Until(changedAt.Add(maxRefreshDelay))))
		case <-refreshDue:
			refreshDue = nil
			p.refresh()
		case now := <-relayCheck.C:
			p.forwarder.peers.updateRelays(now)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *preconnector) connectReplica(target exchanger.Target) {
	if !p.forwarder.drains.accepts(target) {
		return
	}
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
