package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	gossipPeriod = 100 * time.Millisecond
	// heartbeatRounds, seedRounds and repairRounds are the numbers of rounds between two heartbeats, two calls to the
	// configured peers that are not live members, and two repairs.
	heartbeatRounds = 3
	seedRounds      = 9
	repairRounds    = 9

	// updateLimit, repairLimit and memberLimit are the maximum numbers of updates in a batch, of announcements in the
	// response to a repair, and of members in a message. A repair starts at a random one of repairBuckets buckets.
	updateLimit   = 256
	repairLimit   = 256
	repairBuckets = 256
	memberLimit   = 64
	// fanout is the maximum number of peers called in one round.
	fanout              = 8
	exchangeQueueSize   = 64
	exchangeWorkerCount = 16
	exchangeTimeout     = 500 * time.Millisecond
)

// gossiper sends updates about upstreams and members to the other entry instances, in one bounded batch per round.
type gossiper struct {
	gateway *Gateway
	client  *http.Client
	queue   chan exchange
	workers []*exchangeWorker
	mutex   sync.Mutex
	// inFlight holds the addresses of the peers that have a call queued or in progress.
	inFlight map[string]bool
	// seedInstances maps the address of each configured peer to the instance that last answered there, if any.
	seedInstances map[string]string
	done          chan struct{}
}

// exchange is one call to a peer. withRepair also requests the announcements that this instance may lack.
type exchange struct {
	address    string
	updates    updateBatch
	withRepair bool
}

// updateBatch holds the updates of one round, which are the same for all peers.
type updateBatch struct {
	announcements []*wire.Announcement
	renewals      []*wire.Renewal
	builtAt       time.Time
}

func newGossiper(g *Gateway, addresses []string) *gossiper {
	gs := &gossiper{
		gateway:       g,
		client:        listener.NewClient(),
		queue:         make(chan exchange, exchangeQueueSize),
		inFlight:      map[string]bool{},
		seedInstances: map[string]string{},
		done:          make(chan struct{}),
	}
	for _, address := range addresses {
		gs.seedInstances[address] = ""
	}
	for range exchangeWorkerCount {
		gs.workers = append(gs.workers, &exchangeWorker{
			gossiper: gs,
			done:     make(chan struct{}),
		})
	}
	return gs
}

func (gs *gossiper) run() {
	defer close(gs.done)
	for _, w := range gs.workers {
		go w.run()
	}
	ticker := time.NewTicker(gossipPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-gs.gateway.stopBackground:
			gs.close()
			return
		case <-ticker.C:
			gs.runRound(round)
		}
	}
}

// close closes the queue and waits until all queued calls have ended.
func (gs *gossiper) close() {
	close(gs.queue)
	for _, w := range gs.workers {
		<-w.done
	}
	gs.client.CloseIdleConnections()
}

func (gs *gossiper) runRound(round int) {
	isHeartbeat := round%heartbeatRounds == 0
	if round%seedRounds == 0 {
		gs.exchangeWithSeeds()
	}
	var updates updateBatch
	var targets []tracker.Member
	_ = gs.gateway.runInLoop(context.Background(), func(now time.Time) {
		if !isHeartbeat && !gs.gateway.machine.Registrar.HasQueuedAnnouncements() {
			return
		}
		updates.builtAt = now
		updates.announcements, updates.renewals = gs.gateway.machine.Registrar.DequeueUpdates(now, updateLimit)
		if isHeartbeat {
			gs.gateway.heartbeat(now)
		}
		targets = gs.gateway.tracker.Targets(fanout)
	})
	repairIndex := rand.IntN(max(1, len(targets)))
	for i, target := range targets {
		gs.enqueue(exchange{
			address:    target.Address,
			updates:    updates,
			withRepair: round%repairRounds == 0 && i == repairIndex,
		})
	}
}

// exchangeWithSeeds queues calls to the configured peers that are not live members.
func (gs *gossiper) exchangeWithSeeds() {
	isAlive := map[string]bool{}
	_ = gs.gateway.runInLoop(context.Background(), func(time.Time) {
		for _, m := range gs.gateway.tracker.Members("") {
			isAlive[m.Instance] = m.State == tracker.StateAlive
		}
	})
	for _, address := range gs.unreachableSeeds(isAlive) {
		gs.enqueue(exchange{
			address:    address,
			withRepair: true,
		})
	}
}

func (gs *gossiper) unreachableSeeds(isAlive map[string]bool) []string {
	gs.mutex.Lock()
	defer gs.mutex.Unlock()
	var addresses []string
	for address, instance := range gs.seedInstances {
		if !isAlive[instance] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// enqueue queues a call. It drops the call if one to the same peer is in flight or the queue is full; a later repair
// delivers the lost updates.
func (gs *gossiper) enqueue(e exchange) {
	gs.mutex.Lock()
	defer gs.mutex.Unlock()
	if gs.inFlight[e.address] {
		return
	}
	select {
	case gs.queue <- e:
		gs.inFlight[e.address] = true
	default:
	}
}

// enqueueFinal queues a call even if one to the same peer is in flight, because that one may have been sent before the
// departure was recorded. It drops the call if the queue is full.
func (gs *gossiper) enqueueFinal(address string) {
	select {
	case gs.queue <- exchange{address: address}:
	default:
	}
}

// finish records that a call has ended and which instance answered, if any.
func (gs *gossiper) finish(address, instance string) {
	gs.mutex.Lock()
	defer gs.mutex.Unlock()
	delete(gs.inFlight, address)
	if _, ok := gs.seedInstances[address]; ok && instance != "" {
		gs.seedInstances[address] = instance
	}
}

// exchangeWorker makes one call at a time. Several workers run in parallel, so that a slow peer does not delay the
// others.
type exchangeWorker struct {
	gossiper *gossiper
	done     chan struct{}
}

func (w *exchangeWorker) run() {
	defer close(w.done)
	for e := range w.gossiper.queue {
		w.gossiper.finish(e.address, w.exchangeUntilRepaired(e))
	}
}

// exchangeUntilRepaired makes the call, repeats a repair until the peer has no more announcements to send, and returns
// the name of the peer's instance, or an empty string if it did not answer.
func (w *exchangeWorker) exchangeUntilRepaired(e exchange) string {
	for {
		response := w.exchange(e)
		if response == nil {
			return ""
		}
		if !e.withRepair {
			return response.GetSender().GetInstance()
		}
		if len(response.GetAnnouncements()) < repairLimit {
			w.gossiper.gateway.hasSyncedWithPeer.Store(true)
			return response.GetSender().GetInstance()
		}
		e.updates = updateBatch{}
	}
}

// exchange sends the updates to a peer, applies the response and returns it, or nil if the call failed.
func (w *exchangeWorker) exchange(e exchange) *wire.ExchangeResponse {
	g := w.gossiper.gateway
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	request := e.updates.newRequest(sentAt)
	_ = g.runInLoop(ctx, func(time.Time) {
		request.Sender = g.tracker.Self()
		request.Members = g.tracker.Gossip(memberLimit)
		request.Revision = g.machine.Config().GetRevision()
		if e.withRepair {
			request.Digests = g.machine.Registrar.Digests()
		}
	})
	client := wireconnect.NewPeerServiceClient(w.gossiper.client, "http://"+e.address)
	response, err := client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	g.handleExchangeResponse(sentAt, e.address, response.Msg)
	return response.Msg
}

// newRequest returns a request with the updates of the batch, aged by the time since the batch was built.
func (b *updateBatch) newRequest(now time.Time) *wire.ExchangeRequest {
	elapsedMs := uint32(now.Sub(b.builtAt) / time.Millisecond)
	request := &wire.ExchangeRequest{}
	for _, ann := range b.announcements {
		request.Announcements = append(request.Announcements, withAddedAge(ann, elapsedMs))
	}
	for _, renewal := range b.renewals {
		request.Renewals = append(request.Renewals, &wire.Renewal{
			Upstream:    renewal.GetUpstream(),
			Incarnation: renewal.GetIncarnation(),
			Sequence:    renewal.GetSequence(),
			AgeMs:       renewal.GetAgeMs() + elapsedMs,
			Content:     renewal.GetContent(),
		})
	}
	return request
}
