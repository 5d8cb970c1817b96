package forwarder

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// flushDelayShare is the share of a route's target latency that a result may wait to share a message with others.
	flushDelayShare = 0.08
	// relayDeadlineSlack is how long a relay may continue after the deadline of its attempts.
	relayDeadlineSlack = 40 * time.Millisecond
	// endedRelayTimeout is how long a peer continues attempts after their relay has ended.
	endedRelayTimeout = 50 * time.Millisecond
)

// startRelay sends a group of attempts through a peer; the mutex must be held.
func (r *activeRequest) startRelay(now time.Time, peer *relayer.Peer, group []*scatterer.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), group[0].Deadline.Add(relayDeadlineSlack))
	o := &outgoingRelay{
		owner:     r,
		peer:      peer,
		startedAt: now,
		ctx:       ctx,
		cancel:    cancel,
		merges:    group[0].Kind == scatterer.AttemptFirst,
		pending:   group,
	}
	r.forwarder.peers.relayer.RecordStart(now, peer)
	r.relays = append(r.relays, o)
	r.lease.Hold()
	go o.run()
}

// outgoingRelay is a call to a peer in progress.
type outgoingRelay struct {
	owner     *activeRequest
	peer      *relayer.Peer
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	// merges is set if the peer is asked to merge the replies of each message. Only first attempts are merged, so that no shard is in two of these messages.
	merges      bool
	hasResponse bool
	// isAbandoned is set once the results are no longer needed, while the call may continue for a short time.
	isAbandoned bool
	// hasUnsent is set if the peer left an attempt unsent, for example because it does not know the replica.
	hasUnsent bool
	// isPeerIsolated is set if the peer reaches no replica.
	isPeerIsolated bool
	pending        []*scatterer.Attempt
}

// cancelAfter cancels the call after the delay, because its results are no longer needed.
func (o *outgoingRelay) cancelAfter(delay time.Duration) {
	o.isAbandoned = true
	time.AfterFunc(delay, o.cancel)
}

func (o *outgoingRelay) run() {
	defer o.owner.lease.Drop()
	defer o.cancel()
	f := o.owner.forwarder
	stream, err := f.peers.relayClient(o.peer.Address).Relay(o.ctx, connect.NewRequest(o.newRequest()))
	if err == nil {
		for stream.Receive() {
			o.handleResponse(stream.Msg())
		}
		err = stream.Err()
		_ = stream.Close()
	}
	o.finish(err)
}

func (o *outgoingRelay) newRequest() *wire.RelayRequest {
	r := o.owner
	route := r.request.Route
	request := &wire.RelayRequest{
		RequestId: r.call.ID,
		Method:    r.call.Method,
		Host:      r.call.Host,
		Path:      r.call.Path,
		StopUs:    uint64(max(0, time.Until(o.pending[0].Deadline)).Microseconds()),
		FlushUs:   uint64(flushDelayShare * float64(route.TargetLatency.Microseconds())),
		TopK:      uint32(route.TopK),
		Merge:     o.merges,
	}
	request.Headers = headersToWire(r.call.Header)
	for i, a := range o.pending {
		request.Items = append(request.Items, &wire.RelayItem{
			Number:  uint32(i),
			Replica: a.Replica.ID,
		})
	}
	return request
}

// handleResponse handles the results of attempts that arrived in one message.
func (o *outgoingRelay) handleResponse(response *wire.RelayResponse) {
	f := o.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !o.hasResponse {
		o.hasResponse = true
		f.peers.relayer.RecordResponse(o.peer, o.startedAt)
	}
	now := time.Now()
	f.mergeConditions(now, response.GetConditions())
	o.owner.advance(now, o.owner.handleResults(now, o.takeResults(response)))
}

// takeResults returns the outcomes of the attempts in the response, which are then no longer pending. The first merged reply holds the records of all.
func (o *outgoingRelay) takeResults(response *wire.RelayResponse) []scatterer.Result {
	var results []scatterer.Result
	merged := response.GetMerged()
	for _, part := range response.GetParts() {
		number := int(part.GetNumber())
		if number >= len(o.pending) || o.pending[number] == nil {
			continue
		}
		outcome := outcomeFromPart(part)
		if response.Merged != nil && outcome.Reply != nil && outcome.Reply.IsSuccess() {
			outcome.IsMerged = true
			outcome.Reply.Body = merged
			merged = nil
		}
		o.hasUnsent = o.hasUnsent || outcome.Cause == scatterer.CausePeerFailed
		results = append(results, scatterer.Result{
			Attempt: o.pending[number],
			Outcome: outcome,
		})
		o.pending[number] = nil
	}
	return results
}

// finish handles the end of the call: attempts without a result have failed.
func (o *outgoingRelay) finish(err error) {
	f := o.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	outcome := scatterer.Outcome{
		Kind:  scatterer.OutcomeBroken,
		Cause: scatterer.CausePeerFailed,
	}
	if isUnsent(err) {
		outcome.Kind = scatterer.OutcomeUnsent
		o.hasUnsent = true
	}
	switch {
	case o.hasResponse:
	case listener.ErrorDetail[*wire.Isolated](err) != nil:
		o.recordIsolation()
	case o.isAbandoned:
		f.peers.relayer.RecordCancellation(time.Now(), o.peer, o.startedAt)
	default:
		f.peers.relayer.RecordFailure(time.Now(), o.peer, o.startedAt)
		f.log.Info("peer failed to relay attempts", "request", loggedID(o.owner.call.ID), "peer", o.peer.Instance, "attempts", len(o.pending), "cause", causeOf(err))
	}
	if o.isAbandoned {
		outcome.Cause = scatterer.CauseCancelled
	}
	var results []scatterer.Result
	for _, a := range o.pending {
		if a != nil {
			results = append(results, scatterer.Result{
				Attempt: a,
				Outcome: outcome,
			})
		}
	}
	now := time.Now()
	o.owner.advance(now, o.owner.handleResults(now, results))
}

// recordIsolation handles a refusal because the peer reaches no replica; the mutex must be held.
func (o *outgoingRelay) recordIsolation() {
	f := o.owner.forwarder
	o.isPeerIsolated = true
	if f.peers.relayer.RecordIsolation(time.Now(), o.peer, o.startedAt) {
		// Attempts that were late because they went through this peer are no congestion.
		f.policies.Shedder.Reset()
		f.log.Info("peer reaches no replica", "peer", o.peer.Instance, "peer-zone", o.peer.Zone)
	}
}

// isUnsent reports whether the error proves that no attempt was sent, because the peer could not be dialed or is stopping.
func isUnsent(err error) bool {
	var opErr *net.OpError
	return connect.CodeOf(err) == connect.CodeFailedPrecondition || errors.As(err, &opErr) && opErr.Op == "dial"
}

func causeOf(err error) string {
	if err == nil {
		return "stream ended without a response"
	}
	return err.Error()
}

func outcomeFromPart(part *wire.RelayPart) scatterer.Outcome {
	outcome := scatterer.Outcome{
		Kind:   scatterer.OutcomeKind(part.GetOutcome()),
		Notice: noticeFromWire(part.GetNotice()),
		Cause:  part.GetCause(),

		ConnectionLost: part.GetConnectionLost(),
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

// callFromRequest returns the call that a peer relays.
func callFromRequest(request *wire.RelayRequest) *exchanger.Call {
	return &exchanger.Call{
		ID:     request.GetRequestId(),
		Method: request.GetMethod(),
		Host:   request.GetHost(),
		Path:   request.GetPath(),
		Header: headersFromWire(request.GetHeaders()),
	}
}
