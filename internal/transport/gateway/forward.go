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

// Forward handles a sub-request that a peer forwards for replicas owned by this instance, and returns the upstream's
// reply.
func (s *peerService) Forward(ctx context.Context, request *connect.Request[wire.ForwardRequest]) (*connect.Response[wire.ForwardResponse], error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoDeadline)
	}
	if !s.gateway.isReady() {
		// An instance that has no announcements or connections yet, or is shutting down, could mislead the peer about
		// which versions are held.
		return nil, newNoReplyError(gatherer.ForwardResult{
			Failure: gatherer.Failure{
				OwnerLost: true,
			},
		})
	}
	result, err := s.gateway.runForwarded(ctx, gatherer.ForwardedRequest{
		ID:        s.gateway.lastQueryID.Add(1),
		RequestID: request.Msg.GetRequestId(),
		Upstreams: request.Msg.GetUpstreams(),
		Request:   request.Msg.GetSearch(),
		Deadline:  deadline,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if result.Reply == nil {
		return nil, newNoReplyError(result)
	}
	return connect.NewResponse(&wire.ForwardResponse{
		Search: result.Reply,
		WaitUs: uint64(result.ExpectedWait.Microseconds()),
	}), nil
}

// runForwarded runs a peer's sub-request and returns its result. It cancels the sub-request when ctx ends.
func (g *Gateway) runForwarded(ctx context.Context, f gatherer.ForwardedRequest) (gatherer.ForwardResult, error) {
	results := make(chan gatherer.ForwardResult, 1)
	err := g.runInLoop(ctx, func(now time.Time) {
		g.pendingForwards[f.ID] = results
		g.machine.AcceptForwarded(now, f)
	})
	if err != nil {
		return gatherer.ForwardResult{}, err
	}
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		_ = g.runInLoop(context.Background(), func(now time.Time) {
			delete(g.pendingForwards, f.ID)
			g.machine.CancelQuery(now, f.ID)
		})
		return gatherer.ForwardResult{}, ctx.Err()
	case <-g.loopDone:
		return gatherer.ForwardResult{}, errStopping
	}
}

// newNoReplyError returns an error with the reason why there is no reply. The detail lets the peer distinguish it
// from a failed owner.
func newNoReplyError(result gatherer.ForwardResult) error {
	noReplyErr := connect.NewError(connect.CodeUnavailable, errNoReply)
	detail, err := connect.NewErrorDetail(&wire.NotForwarded{
		NotOwner: result.Failure.OwnerLost,
		Overload: result.Failure.OwnerOverloaded,
		NotHeld:  result.Failure.NotHeld,
		Tried:    result.Failure.TriedUpstreams,
		WaitUs:   uint64(max(result.ExpectedWait, result.Failure.ExpectedWait).Microseconds()),
	})
	if err == nil {
		noReplyErr.AddDetail(detail)
	}
	return noReplyErr
}

// deliverForwardResult passes the result of a forwarded sub-request to the waiting call, if any.
func (g *Gateway) deliverForwardResult(result gatherer.ForwardResult) {
	results, ok := g.pendingForwards[result.ID]
	if !ok {
		return
	}
	delete(g.pendingForwards, result.ID)
	results <- result
}

// sendAttempt sends an attempt to its upstream, or forwards it to the owner that queues requests for the upstream.
func (g *Gateway) sendAttempt(send *gatherer.Send) {
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

// handleForwardedResult processes the result of a sub-request that was forwarded to an owner.
func (g *Gateway) handleForwardedResult(now time.Time, result sender.Result) {
	if result.Reply != nil {
		g.machine.RecordOwnerWait(now, result.Attempt, result.QueueWait)
		g.machine.HandleReply(now, result.Attempt, result.Reply)
		return
	}
	notForwarded := result.NotForwarded
	failure := gatherer.Failure{
		NotHeld:         notForwarded.GetNotHeld(),
		OwnerOverloaded: notForwarded.GetOverload(),
		TriedUpstreams:  notForwarded.GetTried(),
		OwnerLost:       notForwarded.GetNotOwner() || notForwarded == nil && !result.ContextDone,
		ExpectedWait:    time.Duration(notForwarded.GetWaitUs()) * time.Microsecond,
	}
	if !result.ContextDone {
		g.log.Info("no reply from owner", "attempt", result.Attempt, "owner-lost", failure.OwnerLost, "overload", failure.OwnerOverloaded,
			"not-held", failure.NotHeld, "error", result.Err.Error())
	}
	g.machine.HandleFailure(now, result.Attempt, failure)
}

// updateOwners distributes the ownership of replicas over this instance and the members that are alive. It must be
// called in the event loop.
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
	g.log.Info("replica owners updated", "instances", len(others)+1)
}
