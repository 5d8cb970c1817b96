package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// flushShare of a route's target latency is what a part may wait for others to be sent with.
	flushShare = 0.08
	// relaySlack is how much longer than its attempts a call may take.
	relaySlack = 40 * time.Millisecond
	// relayLinger is how long a peer goes on with attempts whose call has ended.
	relayLinger = 50 * time.Millisecond
)

// relay has a peer carry a group of attempts; the mutex is held.
func (r *run) relay(now time.Time, peer *relayer.Peer, group []*scatterer.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), group[0].Deadline.Add(relaySlack))
	g := &relayRun{
		owner:   r,
		peer:    peer,
		began:   now,
		ctx:     ctx,
		cancel:  cancel,
		pending: group,
	}
	r.forwarder.relays.relayer.RecordStart(now, peer)
	r.relayed = append(r.relayed, g)
	go g.run()
}

// relayRun is one call to a peer under way.
type relayRun struct {
	owner  *run
	peer   *relayer.Peer
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	heard  bool
	given  bool
	// unsent says that the peer did not send an attempt, as one that does not know its replica.
	unsent  bool
	pending []*scatterer.Attempt
}

// shorten ends the call after the time, since nobody waits for it any more.
func (g *relayRun) shorten(linger time.Duration) {
	g.given = true
	time.AfterFunc(linger, g.cancel)
}

func (g *relayRun) run() {
	defer g.cancel()
	f := g.owner.forwarder
	stream, err := f.relays.clientOf(g.peer.Address).Relay(g.ctx, connect.NewRequest(g.request()))
	if err == nil {
		for stream.Receive() {
			g.take(stream.Msg().GetParts())
		}
		err = stream.Err()
		_ = stream.Close()
	}
	g.end(err)
}

func (g *relayRun) request() *wire.RelayRequest {
	r := g.owner
	route := r.request.Route
	request := &wire.RelayRequest{
		RequestId: r.call.ID,
		Method:    r.call.Method,
		Host:      r.call.Host,
		Path:      r.call.Path,
		StopUs:    uint64(max(0, time.Until(g.pending[0].Deadline)).Microseconds()),
		FlushUs:   uint64(flushShare * float64(route.TargetLatency.Microseconds())),
		TopK:      uint32(route.TopK),
	}
	for name, values := range r.call.Header {
		request.Headers = append(request.Headers, &wire.RelayHeader{
			Name:   name,
			Values: values,
		})
	}
	for i, a := range g.pending {
		request.Items = append(request.Items, &wire.RelayItem{
			Number:  uint32(i),
			Replica: a.Replica.ID,
		})
	}
	return request
}

// take hands the ends of attempts on.
func (g *relayRun) take(parts []*wire.RelayPart) {
	f := g.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !g.heard {
		g.heard = true
		f.relays.relayer.RecordResponse(g.peer, g.began)
	}
	now := time.Now()
	var sends []*scatterer.Attempt
	for _, part := range parts {
		number := int(part.GetNumber())
		if number >= len(g.pending) || g.pending[number] == nil {
			continue
		}
		a := g.pending[number]
		g.pending[number] = nil
		outcome := relayedOutcome(part)
		g.unsent = g.unsent || outcome.Cause == scatterer.CausePeerFailed
		sends = append(sends, g.owner.ended(now, a, outcome)...)
	}
	g.owner.goOn(now, sends)
}

// end ends the attempts of which nothing was heard.
func (g *relayRun) end(err error) {
	f := g.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	outcome := scatterer.Outcome{
		Kind:  scatterer.OutcomeBroken,
		Cause: scatterer.CausePeerFailed,
	}
	if isUnsent(err) {
		outcome.Kind = scatterer.OutcomeUnsent
		g.unsent = true
	}
	switch {
	case g.heard:
	case g.given:
		f.relays.relayer.RecordCancellation(time.Now(), g.peer, g.began)
	default:
		f.relays.relayer.RecordFailure(time.Now(), g.peer, g.began)
		f.log.Info("peer did not carry attempts", "request", g.owner.call.ID, "peer", g.peer.Instance, "attempts", len(g.pending), "cause", errorText(err))
	}
	if g.given {
		outcome.Cause = scatterer.CauseCancelled
	}
	now := time.Now()
	var sends []*scatterer.Attempt
	for _, a := range g.pending {
		if a != nil {
			sends = append(sends, g.owner.ended(now, a, outcome)...)
		}
	}
	g.owner.goOn(now, sends)
}

// isUnsent reports whether the error proves that the peer was not reached, or has sent nothing since it is ending.
func isUnsent(err error) bool {
	var op *net.OpError
	return connect.CodeOf(err) == connect.CodeFailedPrecondition || errors.As(err, &op) && op.Op == "dial"
}

func errorText(err error) string {
	if err == nil {
		return "call ended without a word"
	}
	return err.Error()
}

func relayedOutcome(part *wire.RelayPart) scatterer.Outcome {
	outcome := scatterer.Outcome{
		Kind:  scatterer.OutcomeKind(part.GetOutcome()),
		Cause: part.GetCause(),
	}
	if outcome.Kind == scatterer.OutcomeReplied {
		outcome.Reply = &scatterer.Reply{
			Status: int(part.GetStatus()),
			Stamp:  part.GetStamp(),
			Body:   part.GetBody(),
		}
	}
	return outcome
}

// callOf returns what a peer asks to be sent.
func callOf(request *wire.RelayRequest) *exchanger.Call {
	call := &exchanger.Call{
		ID:     request.GetRequestId(),
		Method: request.GetMethod(),
		Host:   request.GetHost(),
		Path:   request.GetPath(),
		Header: http.Header{},
	}
	for _, header := range request.GetHeaders() {
		call.Header[header.GetName()] = header.GetValues()
	}
	return call
}
