package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

type announcementService struct {
	gateway *Gateway
}

// Announce takes an upstream's announcement and hands it to the other entry instances.
func (s *announcementService) Announce(ctx context.Context, request *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if err := s.gateway.announce(ctx, request.Msg.GetAnnouncement()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.AnnounceResponse{
		Entries:     s.gateway.settings.Peers,
		Incarnation: s.gateway.incarnationOf(ctx, request.Msg.GetAnnouncement().GetUpstream()),
	}), nil
}

func (g *Gateway) announce(ctx context.Context, ann *wire.Announcement) error {
	var mistake error
	err := g.ask(ctx, func(now time.Time) {
		_, mistake = g.machine.Registrar.Announce(now, ann)
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	var wrong *registrar.AnnouncementError
	if errors.As(mistake, &wrong) {
		g.log.Info("announcement refused", "upstream", ann.GetUpstream(), "field", wrong.Field, "value", wrong.Value, "reason", wrong.Reason)
		return connect.NewError(connect.CodeInvalidArgument, mistake)
	}
	return nil
}

// incarnationOf returns the newest incarnation known, by which an upstream whose clock went back finds its place.
func (g *Gateway) incarnationOf(ctx context.Context, upstream string) uint64 {
	var incarnation uint64
	_ = g.ask(ctx, func(time.Time) {
		incarnation = g.machine.Registrar.Incarnation(upstream)
	})
	return incarnation
}

type peerService struct {
	wireconnect.UnimplementedPeerServiceHandler

	gateway *Gateway
}

// Exchange takes what a peer knows and answers with what it lacks.
func (s *peerService) Exchange(ctx context.Context, request *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	g := s.gateway
	response := &wire.ExchangeResponse{}
	err := g.ask(ctx, func(now time.Time) {
		g.learn(now, request.Msg.GetAnnouncements(), request.Msg.GetRenewals())
		g.hear(now, request.Msg.GetSender(), request.Msg.GetMembers())
		response.Sender = g.tracker.Self()
		response.Remembered = g.tracker.PreviousIncarnation(request.Msg.GetSender().GetInstance(), request.Msg.GetSender().GetIncarnation())
		response.Members = g.tracker.Gossip(gossipLimit)
		response.Announcements = g.machine.Registrar.Repair(now, request.Msg.GetDigests(), rand.IntN(repairBuckets), repairLimit)
		if g.machine.Config().GetRevision() > request.Msg.GetRevision() {
			response.Config = g.machine.Config()
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// learn takes what a peer passed on.
func (g *Gateway) learn(now time.Time, announcements []*wire.Announcement, renewals []*wire.Renewal) {
	for _, ann := range announcements {
		g.machine.Registrar.ApplyRelayed(now, ann)
	}
	for _, renewal := range renewals {
		g.machine.Registrar.Renew(now, renewal)
	}
}

// markLeaving notes that a reply to a run said its upstream is leaving.
func (g *Gateway) markLeaving(target runner.Target) {
	_ = g.ask(context.Background(), func(time.Time) {
		g.machine.Registrar.MarkLeaving(target.Upstream, target.Incarnation)
	})
}
