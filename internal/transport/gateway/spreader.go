package gateway

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	spreadPeriod    = 100 * time.Millisecond
	spreadLimit     = 256
	repairLimit     = 256
	repairBuckets   = 256
	repairRounds    = 10
	exchangeTimeout = 500 * time.Millisecond
	peerRing        = 64
)

// spreader hands news about upstreams to the other entry instances, a batch a round.
type spreader struct {
	gateway *Gateway
	peers   []*peer
	done    chan struct{}
}

// batch is one round's news, built once for every peer.
type batch struct {
	announcements []*wire.Announcement
	renewals      []*wire.Renewal
	builtAt       time.Time
	repair        bool
}

// peer is one other entry instance, with a sender of its own so that a slow one holds up no other.
type peer struct {
	gateway *Gateway
	client  wireconnect.PeerServiceClient
	ring    chan batch
	done    chan struct{}
}

func newSpreader(g *Gateway, addresses []string) *spreader {
	s := &spreader{
		gateway: g,
		done:    make(chan struct{}),
	}
	client := listener.NewClient()
	for _, address := range addresses {
		s.peers = append(s.peers, newPeer(g, client, address))
	}
	return s
}

func newPeer(g *Gateway, client *http.Client, address string) *peer {
	return &peer{
		gateway: g,
		client:  wireconnect.NewPeerServiceClient(client, "http://"+address),
		ring:    make(chan batch, peerRing),
		done:    make(chan struct{}),
	}
}

func (s *spreader) run() {
	defer close(s.done)
	for _, p := range s.peers {
		go p.run()
	}
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-s.gateway.stop:
			s.waitPeers()
			return
		case <-ticker.C:
			s.spread(s.collect(), round)
		}
	}
}

func (s *spreader) waitPeers() {
	for _, p := range s.peers {
		<-p.done
	}
}

// collect takes a round's news from the table.
func (s *spreader) collect() batch {
	var b batch
	_ = s.gateway.ask(context.Background(), func(now time.Time) {
		b.announcements, b.renewals = s.gateway.machine.Registrar.Batch(now, spreadLimit)
		b.builtAt = now
	})
	return b
}

// spread queues the news for every peer; one of them is asked to repair what was missed.
func (s *spreader) spread(b batch, round int) {
	for i, p := range s.peers {
		b.repair = round%repairRounds == 0 && i == (round/repairRounds)%len(s.peers)
		select {
		case p.ring <- b:
		default:
		}
	}
}

func (p *peer) run() {
	defer close(p.done)
	for {
		select {
		case <-p.gateway.stop:
			return
		case batch := <-p.ring:
			p.exchange(batch)
		}
	}
}

func (p *peer) exchange(b batch) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	request := b.request(sentAt)
	_ = p.gateway.ask(ctx, func(time.Time) {
		request.Revision = p.gateway.machine.Config().GetRevision()
		if b.repair {
			request.Digests = p.gateway.machine.Registrar.Digests()
		}
	})
	response, err := p.client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return
	}
	p.gateway.takeRepair(sentAt, response.Msg.GetAnnouncements())
	p.gateway.configure(response.Msg.GetConfig())
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

// takeRepair takes a peer's answer, which was made after sentAt and may have taken all the time since.
func (g *Gateway) takeRepair(sentAt time.Time, announcements []*wire.Announcement) {
	if len(announcements) == 0 {
		return
	}
	_ = g.ask(context.Background(), func(now time.Time) {
		waited := uint32(now.Sub(sentAt) / time.Millisecond)
		for _, ann := range announcements {
			g.machine.Registrar.Relay(now, older(ann, waited))
		}
	})
}

func older(ann *wire.Announcement, waitedMs uint32) *wire.Announcement {
	copied := proto.CloneOf(ann)
	copied.AgeMs += waitedMs
	return copied
}
