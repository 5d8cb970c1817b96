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
	spreadPeriod = 100 * time.Millisecond
	// beatRounds, seedRounds and repairRounds are how many rounds lie between two heartbeats, calls to the peers of the settings that are not members, and repairs.
	beatRounds   = 3
	seedRounds   = 9
	repairRounds = 9

	spreadLimit   = 256
	repairLimit   = 256
	repairBuckets = 256
	gossipLimit   = 64
	// fanOut is how many peers one round reaches.
	fanOut          = 8
	exchangeRing    = 64
	exchangeWorkers = 16
	exchangeTimeout = 500 * time.Millisecond
)

// spreader tells the other entry instances what is new about upstreams and members, a bounded batch a round.
type spreader struct {
	gateway *Gateway
	client  *http.Client
	calls   chan exchange
	workers []*exchanger
	mutex   sync.Mutex
	busy    map[string]bool
	// seeds are the peers of the settings, with the instance that last answered there.
	seeds map[string]string
	done  chan struct{}
}

// exchange is one call to a peer.
type exchange struct {
	address string
	batch   batch
	repair  bool
}

// batch is one round's news, built once for every peer.
type batch struct {
	announcements []*wire.Announcement
	renewals      []*wire.Renewal
	builtAt       time.Time
}

func newSpreader(g *Gateway, addresses []string) *spreader {
	s := &spreader{
		gateway: g,
		client:  listener.NewClient(),
		calls:   make(chan exchange, exchangeRing),
		busy:    map[string]bool{},
		seeds:   map[string]string{},
		done:    make(chan struct{}),
	}
	for _, address := range addresses {
		s.seeds[address] = ""
	}
	for range exchangeWorkers {
		s.workers = append(s.workers, &exchanger{
			spreader: s,
			done:     make(chan struct{}),
		})
	}
	return s
}

func (s *spreader) run() {
	defer close(s.done)
	for _, w := range s.workers {
		go w.run()
	}
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-s.gateway.closing:
			s.close()
			return
		case <-ticker.C:
			s.spread(round)
		}
	}
}

// close lets every call that is queued end.
func (s *spreader) close() {
	close(s.calls)
	for _, w := range s.workers {
		<-w.done
	}
	s.client.CloseIdleConnections()
}

func (s *spreader) spread(round int) {
	isBeat := round%beatRounds == 0
	if round%seedRounds == 0 {
		s.callSeeds()
	}
	var news batch
	var targets []tracker.Member
	_ = s.gateway.ask(context.Background(), func(now time.Time) {
		if !isBeat && !s.gateway.machine.Registrar.HasQueuedAnnouncements() {
			return
		}
		news.builtAt = now
		news.announcements, news.renewals = s.gateway.machine.Registrar.DequeueUpdates(now, spreadLimit)
		if isBeat {
			s.gateway.beat(now)
		}
		targets = s.gateway.tracker.Targets(fanOut)
	})
	repaired := rand.IntN(max(1, len(targets)))
	for i, target := range targets {
		s.push(exchange{
			address: target.Address,
			batch:   news,
			repair:  round%repairRounds == 0 && i == repaired,
		})
	}
}

// callSeeds tries the peers of the settings that are not known as members, or have fallen silent.
func (s *spreader) callSeeds() {
	live := map[string]bool{}
	_ = s.gateway.ask(context.Background(), func(time.Time) {
		for _, m := range s.gateway.tracker.Members("") {
			live[m.Instance] = m.State == tracker.StateAlive
		}
	})
	for _, address := range s.silentSeeds(live) {
		s.push(exchange{
			address: address,
			repair:  true,
		})
	}
}

func (s *spreader) silentSeeds(live map[string]bool) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []string
	for address, instance := range s.seeds {
		if !live[instance] {
			list = append(list, address)
		}
	}
	return list
}

// push queues a call, unless one to the same peer is on its way; what it misses is repaired later.
func (s *spreader) push(e exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busy[e.address] {
		return
	}
	select {
	case s.calls <- e:
		s.busy[e.address] = true
	default:
	}
}

// pushLast queues a call even where one to the same peer is on its way, which may have begun too early.
func (s *spreader) pushLast(address string) {
	select {
	case s.calls <- exchange{address: address}:
	default:
	}
}

// settle notes that a call has ended, and which instance answered.
func (s *spreader) settle(address, instance string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, address)
	if _, ok := s.seeds[address]; ok && instance != "" {
		s.seeds[address] = instance
	}
}

// exchanger makes one call at a time, so that a slow peer holds up no other.
type exchanger struct {
	spreader *spreader
	done     chan struct{}
}

func (w *exchanger) run() {
	defer close(w.done)
	for e := range w.spreader.calls {
		w.spreader.settle(e.address, w.repeat(e))
	}
}

// repeat exchanges until the peer has nothing left to repair, and returns its name, or nothing where it did not answer.
func (w *exchanger) repeat(e exchange) string {
	for {
		response := w.exchange(e)
		if response == nil {
			return ""
		}
		if !e.repair {
			return response.GetSender().GetInstance()
		}
		if len(response.GetAnnouncements()) < repairLimit {
			w.spreader.gateway.learned.Store(true)
			return response.GetSender().GetInstance()
		}
		e.batch = batch{}
	}
}

// exchange tells a peer the news, takes what it answers, and returns it, or nil where it did not answer.
func (w *exchanger) exchange(e exchange) *wire.ExchangeResponse {
	g := w.spreader.gateway
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	request := e.batch.request(sentAt)
	_ = g.ask(ctx, func(time.Time) {
		request.Sender = g.tracker.Self()
		request.Members = g.tracker.Gossip(gossipLimit)
		request.Revision = g.machine.Config().GetRevision()
		if e.repair {
			request.Digests = g.machine.Registrar.Digests()
		}
	})
	client := wireconnect.NewPeerServiceClient(w.spreader.client, "http://"+e.address)
	response, err := client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	g.takeAnswer(sentAt, e.address, response.Msg)
	return response.Msg
}

// request ages the batch by the time it has waited here.
func (b *batch) request(now time.Time) *wire.ExchangeRequest {
	waited := uint32(now.Sub(b.builtAt) / time.Millisecond)
	request := &wire.ExchangeRequest{}
	for _, ann := range b.announcements {
		request.Announcements = append(request.Announcements, older(ann, waited))
	}
	for _, renewal := range b.renewals {
		request.Renewals = append(request.Renewals, &wire.Renewal{
			Upstream:    renewal.GetUpstream(),
			Incarnation: renewal.GetIncarnation(),
			Sequence:    renewal.GetSequence(),
			AgeMs:       renewal.GetAgeMs() + waited,
			Content:     renewal.GetContent(),
		})
	}
	return request
}
