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

// exchange is one call to a peer. withRepair also requests the announcements that this instance lacks.
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
	s := &gossiper{
		gateway:       g,
		client:        listener.NewClient(),
		queue:         make(chan exchange, exchangeQueueSize),
		inFlight:      map[string]bool{},
		seedInstances: map[string]string{},
		done:          make(chan struct{}),
	}
	for _, address := range addresses {
		s.seedInstances[address] = ""
	}
	for range exchangeWorkerCount {
		s.workers = append(s.workers, &exchangeWorker{
			gossiper: s,
			done:     make(chan struct{}),
		})
	}
	return s
}

func (s *gossiper) run() {
	defer close(s.done)
	for _, w := range s.workers {
		go w.run()
	}
	ticker := time.NewTicker(gossipPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-s.gateway.stopBackground:
			s.close()
			return
		case <-ticker.C:
			s.runRound(round)
		}
	}
}

// close waits until all queued calls have ended.
func (s *gossiper) close() {
	close(s.queue)
	for _, w := range s.workers {
		<-w.done
	}
	s.client.CloseIdleConnections()
}

func (s *gossiper) runRound(round int) {
	isHeartbeat := round%heartbeatRounds == 0
	if round%seedRounds == 0 {
		s.exchangeWithSeeds()
	}
	var updates updateBatch
	var targets []tracker.Member
	_ = s.gateway.runInLoop(context.Background(), func(now time.Time) {
		if !isHeartbeat && !s.gateway.machine.Registrar.HasQueuedAnnouncements() {
			return
		}
		updates.builtAt = now
		updates.announcements, updates.renewals = s.gateway.machine.Registrar.DequeueUpdates(now, updateLimit)
		if isHeartbeat {
			s.gateway.heartbeat(now)
		}
		targets = s.gateway.tracker.Targets(fanout)
	})
	repairIndex := rand.IntN(max(1, len(targets)))
	for i, target := range targets {
		s.enqueue(exchange{
			address:    target.Address,
			updates:    updates,
			withRepair: round%repairRounds == 0 && i == repairIndex,
		})
	}
}

// exchangeWithSeeds queues calls to the configured peers that are not live members.
func (s *gossiper) exchangeWithSeeds() {
	isAlive := map[string]bool{}
	_ = s.gateway.runInLoop(context.Background(), func(time.Time) {
		for _, m := range s.gateway.tracker.Members("") {
			isAlive[m.Instance] = m.State == tracker.StateAlive
		}
	})
	for _, address := range s.unreachableSeeds(isAlive) {
		s.enqueue(exchange{
			address:    address,
			withRepair: true,
		})
	}
}

func (s *gossiper) unreachableSeeds(isAlive map[string]bool) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var addresses []string
	for address, instance := range s.seedInstances {
		if !isAlive[instance] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// enqueue queues a call. It drops the call if one to the same peer is in flight or the queue is full; a later repair
// delivers the lost updates.
func (s *gossiper) enqueue(e exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inFlight[e.address] {
		return
	}
	select {
	case s.queue <- e:
		s.inFlight[e.address] = true
	default:
	}
}

// enqueueFinal queues a call even if one to the same peer is in flight, because that one may have been sent before the
// departure was recorded. It drops the call if the queue is full.
func (s *gossiper) enqueueFinal(address string) {
	select {
	case s.queue <- exchange{address: address}:
	default:
	}
}

// finish records that a call has ended and which instance answered, if any.
func (s *gossiper) finish(address, instance string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.inFlight, address)
	if _, ok := s.seedInstances[address]; ok && instance != "" {
		s.seedInstances[address] = instance
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
