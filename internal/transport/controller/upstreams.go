package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// upstreamsTimeout is how long a plan waits for the upstream summaries of another control instance.
const upstreamsTimeout = 300 * time.Millisecond

// Upstreams returns the upstream summaries of the entry instances that watch this instance.
func (s *controlService) Upstreams(context.Context, *connect.Request[wire.UpstreamsRequest]) (*connect.Response[wire.UpstreamsResponse], error) {
	return connect.NewResponse(&wire.UpstreamsResponse{
		Summaries: s.controller.watchers.summaries(),
	}), nil
}

// upstreamSummaries collects the summaries of all control instances, since each entry instance watches only one of them.
func (c *Controller) upstreamSummaries(ctx context.Context, members journaler.Members) []*wire.UpstreamSummary {
	summaries := c.watchers.summaries()
	for _, member := range members {
		if member.GetId() != c.id {
			summaries = append(summaries, c.upstreamSummariesFrom(ctx, member.GetAddress())...)
		}
	}
	return summaries
}

func (c *Controller) upstreamSummariesFrom(ctx context.Context, address string) []*wire.UpstreamSummary {
	ctx, cancel := context.WithTimeout(ctx, upstreamsTimeout)
	defer cancel()
	response, err := wireconnect.NewControlServiceClient(c.client, "http://"+address).Upstreams(ctx, connect.NewRequest(&wire.UpstreamsRequest{}))
	if err != nil {
		// A plan without the summaries of an unreachable instance is better than none; the other instances mostly hold the same information.
		return nil
	}
	return response.Msg.GetSummaries()
}
