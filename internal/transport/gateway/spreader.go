package gateway

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	spreadRing      = 1024
	spreadPeriod    = 100 * time.Millisecond
	exchangeTimeout = 500 * time.Millisecond
	peerRing        = 64
)

// spreader hands news about upstreams to the other entry instances, a batch a round.
type spreader struct {
	gateway *Gateway
	ring    chan *wire.Announcement
	peers   []*peer
	done    chan struct{}
}

// peer is one other entry instance, with a sender of its own so that a slow one holds up no other.
type peer struct {
	gateway *Gateway
	client  wireconnect.PeerServiceClient
	ring    chan []*wire.Announcement
	done    chan struct{}
}

func newSpreader(g *Gateway, addresses []string) *spreader {
	s := &spreader{
		gateway: g,
		ring:    make(chan *wire.Announcement, spreadRing),
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
		ring:    make(chan []*wire.Announcement, peerRing),
		done:    make(chan struct{}),
	}
}

// push queues an announcement; what does not fit is left to the upstream's next heartbeat.
func (s *spreader) push(ann *wire.Announcement) {
	select {
	case s.ring <- ann:
	default:
	}
}

func (s *spreader) run() {
	defer close(s.done)
	for _, p := range s.peers {
		go p.run()
	}
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.gateway.stop:
			s.waitPeers()
			return
		case <-ticker.C:
			s.spread(s.drain())
		}
	}
}

func (s *spreader) waitPeers() {
	for _, p := range s.peers {
		<-p.done
	}
}

func (s *spreader) drain() []*wire.Announcement {
	var batch []*wire.Announcement
	for {
		select {
		case ann := <-s.ring:
			batch = append(batch, ann)
		default:
			return batch
		}
	}
}

func (s *spreader) spread(batch []*wire.Announcement) {
	for _, p := range s.peers {
		select {
		case p.ring <- batch:
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

func (p *peer) exchange(batch []*wire.Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	request := &wire.ExchangeRequest{
		Announcements: batch,
	}
	_ = p.gateway.ask(ctx, func(time.Time) {
		request.Revision = p.gateway.machine.Config().GetRevision()
	})
	response, err := p.client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return
	}
	p.gateway.configure(response.Msg.GetConfig())
}
