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

// Announce applies an upstream's announcement and queues it for the other entry instances.
func (s *announcementService) Announce(ctx context.Context, request *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if err := s.gateway.announce(ctx, request.Msg.GetAnnouncement()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.AnnounceResponse{
		Entries:     s.gateway.settings.Peers,
		Incarnation: s.gateway.knownIncarnation(ctx, request.Msg.GetAnnouncement().GetUpstream()),
	}), nil
}

func (g *Gateway) announce(ctx context.Context, ann *wire.Announcement) error {
	var announceErr error
	err := g.runInLoop(ctx, func(now time.Time) {
		_, announceErr = g.machine.Registrar.Announce(now, ann)
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	var invalid *registrar.AnnouncementError
	if errors.As(announceErr, &invalid) {
		g.log.Info("announcement refused", "upstream", ann.GetUpstream(), "field", invalid.Field, "value", invalid.Value, "reason", invalid.Reason)
		return connect.NewError(connect.CodeInvalidArgument, announceErr)
	}
	return nil
}

// knownIncarnation returns the newest known incarnation of the upstream. An upstream whose clock was set back needs it
// to choose a higher one, because announcements of older incarnations are ignored.
func (g *Gateway) knownIncarnation(ctx context.Context, upstream string) uint64 {
	var incarnation uint64
	_ = g.runInLoop(ctx, func(time.Time) {
		incarnation = g.machine.Registrar.Incarnation(upstream)
	})
	return incarnation
}

type peerService struct {
	wireconnect.UnimplementedPeerServiceHandler

	gateway *Gateway
}

// Exchange applies the updates of a peer, and returns members, the announcements that the peer may lack, and the
// configuration if it is newer than the peer's.
func (s *peerService) Exchange(ctx context.Context, request *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	g := s.gateway
	response := &wire.ExchangeResponse{}
	err := g.runInLoop(ctx, func(now time.Time) {
		g.applyUpdates(now, request.Msg.GetAnnouncements(), request.Msg.GetRenewals())
		g.mergeMembers(now, request.Msg.GetSender(), request.Msg.GetMembers())
		response.Sender = g.tracker.Self()
		response.Remembered = g.tracker.PreviousIncarnation(request.Msg.GetSender().GetInstance(), request.Msg.GetSender().GetIncarnation())
		response.Members = g.tracker.Gossip(memberLimit)
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

// applyUpdates applies the announcements and lease renewals forwarded by a peer.
func (g *Gateway) applyUpdates(now time.Time, announcements []*wire.Announcement, renewals []*wire.Renewal) {
	for _, ann := range announcements {
		g.machine.Registrar.ApplyRelayed(now, ann)
	}
	for _, renewal := range renewals {
		g.machine.Registrar.Renew(now, renewal)
	}
}

// markLeaving records that the target has replied to a non-idempotent request that it is leaving.
func (g *Gateway) markLeaving(target runner.Target) {
	_ = g.runInLoop(context.Background(), func(time.Time) {
		g.machine.Registrar.MarkLeaving(target.Upstream, target.Incarnation)
	})
}
