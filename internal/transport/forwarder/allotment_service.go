package forwarder

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/allotter"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Allot grants tokens of organisations whose allotment this instance keeps. An instance that is stopping continues to, since it holds the zone's tokens.
func (s *relayService) Allot(ctx context.Context, request *connect.Request[wire.AllotRequest]) (*connect.Response[wire.AllotResponse], error) {
	a := s.forwarder.allotments
	defer s.forwarder.peers.startCall()()
	response := &wire.AllotResponse{}
	for _, item := range request.Msg.GetItems() {
		response.Grants = append(response.Grants, a.grant(ctx, item))
	}
	return connect.NewResponse(response), nil
}

// Lend takes tokens out of a bucket for the keeper of another availability zone.
func (s *relayService) Lend(_ context.Context, request *connect.Request[wire.LendRequest]) (*connect.Response[wire.LendResponse], error) {
	a := s.forwarder.allotments
	defer s.forwarder.peers.startCall()()
	msg := request.Msg
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refresh(now)
	if !a.keeper.Keeps(now, msg.GetOrganisation()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoKeeper)
	}
	loan := a.keeper.Lend(now, msg.GetOrganisation(), msg.GetTokens())
	return connect.NewResponse(&wire.LendResponse{
		Tokens:       loan.Tokens,
		RetryAfterUs: uint64(loan.RetryAfter.Microseconds()),
	}), nil
}

// grant answers one item as the keeper. Without tokens and a retry time, this instance does not know whether the organisation is over its allotment.
func (a *allotments) grant(ctx context.Context, item *wire.AllotItem) *wire.AllotGrant {
	organisation := item.GetOrganisation()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.refresh(now)
	granted := allotter.Grant{}
	switch {
	case item.GetTokens() < 0:
		a.keeper.Return(now, organisation, -item.GetTokens())
	case item.GetTokens() > 0 && a.keeper.Keeps(now, organisation):
		granted = a.allot(ctx, organisation, item.GetTokens())
	}
	if granted.Tokens > 0 || item.GetTokens() <= 0 {
		a.keeper.AddUse(now, organisation, item.GetUsed())
	}
	use := a.keeper.Use(now, organisation)
	answer := &wire.AllotGrant{
		Tokens:         granted.Tokens,
		LifetimeMs:     uint32(allotter.LeaseDuration.Milliseconds()),
		UsedPerSecond:  use.RecentPerSecond,
		UsualPerSecond: use.UsualPerSecond,
	}
	if granted.Tokens == 0 && !granted.IsUnknown {
		answer.RetryAfterUs = uint64(granted.RetryAfter.Microseconds())
	}
	return answer
}

// allot grants tokens, after borrowing some if there is none; the mutex must be held, and is released while it borrows.
func (a *allotments) allot(ctx context.Context, organisation string, wanted float64) allotter.Grant {
	granted := a.keeper.Allot(time.Now(), organisation, wanted)
	if granted.Missing > 0 && a.borrow(organisation, granted.Missing) {
		if ctx.Err() != nil {
			// The asking instance has given up. Tokens granted now would be lost.
			return allotter.Grant{}
		}
		granted = a.keeper.Allot(time.Now(), organisation, wanted)
	}
	if granted.Tokens == 0 && !granted.IsUnknown {
		granted.RetryAfter = a.keeper.Promise(time.Now(), organisation, granted)
	}
	return granted
}

// borrow asks all lenders at once, and reports whether there were any; the mutex must be held, and is released while they are asked.
func (a *allotments) borrow(organisation string, missing float64) bool {
	lenders := a.keeper.Lenders(time.Now(), organisation)
	if len(lenders) == 0 {
		return false
	}
	a.mutex.Unlock()
	defer a.mutex.Lock()
	// What is lent is kept even if the caller disconnects.
	ctx, cancel := context.WithTimeout(a.ctx, lendTimeout)
	defer cancel()
	done := make(chan struct{}, len(lenders))
	for _, lender := range lenders {
		go (&lendCall{
			allotments:   a,
			lender:       lender,
			organisation: organisation,
			tokens:       missing,
			done:         done,
		}).run(ctx)
	}
	for range lenders {
		<-done
	}
	return true
}

// lendCall asks one lender for tokens.
type lendCall struct {
	allotments   *allotments
	lender       allotter.Member
	organisation string
	tokens       float64
	done         chan<- struct{}
}

func (l *lendCall) run(ctx context.Context) {
	a := l.allotments
	defer func() { l.done <- struct{}{} }()
	response, err := a.forwarder.peers.relayClient(l.lender.Address).Lend(ctx, connect.NewRequest(&wire.LendRequest{
		Instance:     a.forwarder.settings.Instance,
		Version:      a.version(),
		Organisation: l.organisation,
		Tokens:       l.tokens,
	}))
	a.recordCall(a.ctx, l.lender, err)
	if err != nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.keeper.Borrowed(time.Now(), l.organisation, l.lender.Instance, l.tokens, allotter.Loan{
		Tokens:     response.Msg.GetTokens(),
		RetryAfter: time.Duration(response.Msg.GetRetryAfterUs()) * time.Microsecond,
	})
}
