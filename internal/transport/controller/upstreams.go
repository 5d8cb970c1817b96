package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// upstreamsTimeout is how long a plan waits for what another control instance knows of the upstreams.
const upstreamsTimeout = 300 * time.Millisecond

// Upstreams answers with what the entry instances that watch this instance say of the upstreams.
func (s *controlService) Upstreams(context.Context, *connect.Request[wire.UpstreamsRequest]) (*connect.Response[wire.UpstreamsResponse], error) {
	return connect.NewResponse(&wire.UpstreamsResponse{
		Summaries: s.controller.watchers.summaries(),
	}), nil
}

// upstreams gathers the summaries of all control instances, since each entry instance watches just one.
func (c *Controller) upstreams(ctx context.Context, members journaler.Members) []*wire.UpstreamSummary {
	gathered := c.watchers.summaries()
	for _, member := range members {
		if member.GetId() != c.id {
			gathered = append(gathered, c.upstreamsOf(ctx, member.GetAddress())...)
		}
	}
	return gathered
}

func (c *Controller) upstreamsOf(ctx context.Context, address string) []*wire.UpstreamSummary {
	ctx, cancel := context.WithTimeout(ctx, upstreamsTimeout)
	defer cancel()
	response, err := wireconnect.NewControlServiceClient(c.client, "http://"+address).Upstreams(ctx, connect.NewRequest(&wire.UpstreamsRequest{}))
	if err != nil {
		// A plan without the figures of a silent instance is better than none; the others mostly know the same.
		return nil
	}
	return response.Msg.GetSummaries()
}
