package gateway

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/internal/transport/sender"
	"pimentogate.example/pimentogate/pkg/wire"
)

var (
	errNoDeadline = errors.New("a forwarded sub-request needs a deadline")
	errNoReply    = errors.New("the owner has no reply")
)

// Forward takes a peer's sub-request for replicas that this instance owns, and answers with the reply.
func (s *peerService) Forward(ctx context.Context, request *connect.Request[wire.ForwardRequest]) (*connect.Response[wire.ForwardResponse], error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoDeadline)
	}
	if !s.gateway.isReady() {
		// Without the upstreams, a share or time left, its word on what is held would mislead the peer.
		return nil, noReply(gatherer.ForwardResult{
			Failure: gatherer.Failure{
				OwnerLost: true,
			},
		})
	}
	returned, err := s.gateway.serveForwarded(ctx, gatherer.ForwardedRequest{
		ID:        s.gateway.lastQuery.Add(1),
		RequestID: request.Msg.GetRequestId(),
		Upstreams: request.Msg.GetUpstreams(),
		Request:   request.Msg.GetSearch(),
		Deadline:  deadline,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if returned.Reply == nil {
		return nil, noReply(returned)
	}
	return connect.NewResponse(&wire.ForwardResponse{
		Search: returned.Reply,
		WaitUs: uint64(returned.ExpectedWait.Microseconds()),
	}), nil
}

// serveForwarded runs a peer's sub-request to its end, and drops it when the peer no longer waits.
func (g *Gateway) serveForwarded(ctx context.Context, f gatherer.ForwardedRequest) (gatherer.ForwardResult, error) {
	waiting := make(chan gatherer.ForwardResult, 1)
	err := g.ask(ctx, func(now time.Time) {
		g.returning[f.ID] = waiting
		g.machine.AcceptForwarded(now, f)
	})
	if err != nil {
		return gatherer.ForwardResult{}, err
	}
	select {
	case returned := <-waiting:
		return returned, nil
	case <-ctx.Done():
		_ = g.ask(context.Background(), func(now time.Time) {
			delete(g.returning, f.ID)
			g.machine.CancelQuery(now, f.ID)
		})
		return gatherer.ForwardResult{}, ctx.Err()
	case <-g.done:
		return gatherer.ForwardResult{}, errStopping
	}
}

// noReply says why there is none, so that the peer can tell it from a lost owner.
func noReply(returned gatherer.ForwardResult) error {
	refused := connect.NewError(connect.CodeUnavailable, errNoReply)
	detail, err := connect.NewErrorDetail(&wire.NotForwarded{
		NotOwner: returned.Failure.OwnerLost,
		Overload: returned.Failure.OwnerOverloaded,
		NotHeld:  returned.Failure.NotHeld,
		Tried:    returned.Failure.TriedUpstreams,
		WaitUs:   uint64(max(returned.ExpectedWait, returned.Failure.ExpectedWait).Microseconds()),
	})
	if err == nil {
		refused.AddDetail(detail)
	}
	return refused
}

// giveBack hands the end of a forwarded sub-request to the call that waits for it.
func (g *Gateway) giveBack(returned gatherer.ForwardResult) {
	waiting, ok := g.returning[returned.ID]
	if !ok {
		return
	}
	delete(g.returning, returned.ID)
	waiting <- returned
}

// dispatch sends an attempt to its upstream, or to the owner that queues for it.
func (g *Gateway) dispatch(send *gatherer.Send) {
	if send.Owner == nil {
		g.sender.Search(send.Address, send.Request, send.Deadline)
		return
	}
	g.sender.Forward(send.Owner.Address, &wire.ForwardRequest{
		Upstreams: send.Upstreams,
		Search:    send.Request,
		RequestId: send.RequestID,
	}, send.Deadline)
}

// takeForwarded takes the end of a sub-request that was handed to an owner.
func (g *Gateway) takeForwarded(now time.Time, end sender.Result) {
	if end.Reply != nil {
		g.machine.RecordOwnerWait(now, end.Attempt, end.QueueWait)
		g.machine.HandleReply(now, end.Attempt, end.Reply)
		return
	}
	word := end.NotForwarded
	failure := gatherer.Failure{
		NotHeld:         word.GetNotHeld(),
		OwnerOverloaded: word.GetOverload(),
		TriedUpstreams:  word.GetTried(),
		OwnerLost:       word.GetNotOwner() || word == nil && !end.ContextDone,
		ExpectedWait:    time.Duration(word.GetWaitUs()) * time.Microsecond,
	}
	if !end.ContextDone {
		g.log.Info("no reply from owner", "attempt", end.Attempt, "owner-lost", failure.OwnerLost, "overload", failure.OwnerOverloaded,
			"not-held", failure.NotHeld, "error", end.Err.Error())
	}
	g.machine.HandleFailure(now, end.Attempt, failure)
}

// updateOwners lets the living members take part in owning replicas; it runs inside the loop.
func (g *Gateway) updateOwners() {
	if g.tracker.Version() == g.ownersVersion {
		return
	}
	g.ownersVersion = g.tracker.Version()
	var others []router.Instance
	for _, m := range g.tracker.Members("") {
		if m.State != tracker.StateAlive || m.Address == "" {
			continue
		}
		others = append(others, router.Instance{
			Name:    m.Instance,
			Address: m.Address,
		})
	}
	g.machine.Owners.Update(others)
	g.log.Info("owners of replicas", "instances", len(others)+1)
}
