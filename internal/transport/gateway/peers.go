package gateway

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
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
		Entries: s.gateway.settings.Peers,
	}), nil
}

func (g *Gateway) announce(ctx context.Context, ann *wire.Announcement) error {
	var news bool
	var mistake error
	err := g.ask(ctx, func(now time.Time) {
		news, mistake = g.machine.Registrar.Announce(now, ann)
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	var wrong *registrar.AnnouncementError
	if errors.As(mistake, &wrong) {
		g.log.Info("announcement refused", "upstream", ann.GetUpstream(), "field", wrong.Field, "value", wrong.Value, "reason", wrong.Reason)
		return connect.NewError(connect.CodeInvalidArgument, mistake)
	}
	if news {
		g.spreader.push(ann)
	}
	return nil
}

type peerService struct {
	wireconnect.UnimplementedPeerServiceHandler

	gateway *Gateway
}

// Exchange takes what a peer knows and answers with what it lacks.
func (s *peerService) Exchange(ctx context.Context, request *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	g := s.gateway
	for _, ann := range request.Msg.GetAnnouncements() {
		err := g.ask(ctx, func(now time.Time) {
			_, _ = g.machine.Registrar.Announce(now, ann)
		})
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	response := &wire.ExchangeResponse{}
	err := g.ask(ctx, func(time.Time) {
		if g.machine.Config().GetRevision() > request.Msg.GetRevision() {
			response.Config = g.machine.Config()
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
