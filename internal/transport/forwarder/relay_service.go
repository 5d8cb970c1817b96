package forwarder

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

var errStopping = errors.New("this entry instance is stopping")

// relayService sends attempts on behalf of entry instances of other availability zones.
type relayService struct {
	wireconnect.UnimplementedRelayServiceHandler

	forwarder *Forwarder
}

// Relay sends every attempt to its replica and streams the results. Results that arrive close together share one message.
func (s *relayService) Relay(ctx context.Context, request *connect.Request[wire.RelayRequest], stream *connect.ServerStream[wire.RelayResponse]) error {
	if err := s.forwarder.unavailability(); err != nil {
		return err
	}
	msg := request.Msg
	lease := listener.LeaseOf(ctx)
	if !lease.TryGrow(attemptsCost(len(msg.GetItems()))) {
		return connect.NewError(connect.CodeFailedPrecondition, &listener.OverloadError{})
	}
	defer s.forwarder.peers.startCall()()
	relay := &incomingRelay{
		lease:     lease,
		forwarder: s.forwarder,
		call:      callFromRequest(msg),
		topK:      int(msg.GetTopK()),
		merges:    msg.GetMerge(),
		merged:    merger.NewAccumulator(int(msg.GetTopK())),
		deadline:  time.Now().Add(time.Duration(msg.GetStopUs()) * time.Microsecond),
		parts:     make(chan *wire.RelayPart, len(msg.GetItems())),
		observer:  newRelayObserver(s.forwarder, msg),
	}
	relay.start(msg.GetItems())
	err := relay.streamParts(ctx, len(msg.GetItems()), time.Duration(msg.GetFlushUs())*time.Microsecond, stream.Send)
	relay.abandon()
	relay.observer.finish()
	return err
}

// incomingRelay holds the attempts of one call from a peer.
type incomingRelay struct {
	forwarder *Forwarder
	lease     *listener.Lease
	call      *exchanger.Call
	topK      int
	// merges is set if the successful replies of a message are merged.
	merges bool
	// merged holds the merged records of the messages sent so far.
	merged    *merger.Accumulator
	deadline  time.Time
	exchanges []*exchanger.Exchange
	parts     chan *wire.RelayPart
	observer  *relayObserver
}

func (r *incomingRelay) start(items []*wire.RelayItem) {
	for _, item := range items {
		replica, target := r.forwarder.findReplica(item.GetReplica())
		if replica == nil {
			r.parts <- &wire.RelayPart{
				Number:  item.GetNumber(),
				Outcome: uint32(scatterer.OutcomeUnsent),
				Cause:   scatterer.CausePeerFailed,
			}
			continue
		}
		if !r.forwarder.drains.accepts(target) {
			r.parts <- &wire.RelayPart{
				Number:  item.GetNumber(),
				Outcome: uint32(scatterer.OutcomeUnsent),
				Cause:   scatterer.CauseNotAccepting,
			}
			continue
		}
		if notice := r.forwarder.refusalNotice(replica); notice != nil {
			r.parts <- &wire.RelayPart{
				Number:  item.GetNumber(),
				Outcome: uint32(scatterer.OutcomeUnsent),
				Cause:   scatterer.CauseNotAccepting,
				Notice:  noticeToWire(notice),
			}
			continue
		}
		exchange := exchanger.NewExchange(r.deadline.Add(deadlineSlack))
		r.exchanges = append(r.exchanges, exchange)
		attempt := &incomingAttempt{
			relay:    r,
			number:   item.GetNumber(),
			replica:  replica,
			target:   target,
			exchange: exchange,
		}
		r.lease.Hold()
		go attempt.run()
	}
}

// streamParts sends the results as they arrive; a result waits at most flushDelay for others to share its message.
func (r *incomingRelay) streamParts(ctx context.Context, total int, flushDelay time.Duration, send func(*wire.RelayResponse) error) error {
	timer := time.NewTimer(flushDelay)
	timer.Stop()
	defer timer.Stop()
	var batch []*wire.RelayPart
	for received := 0; received < total || len(batch) > 0; {
		var flushDue <-chan time.Time
		if len(batch) > 0 {
			flushDue = timer.C
		}
		allReceived := received == total
		if !allReceived {
			select {
			case part := <-r.parts:
				received++
				if len(batch) == 0 {
					timer.Reset(flushDelay)
				}
				batch = append(batch, part)
				continue
			case <-flushDue:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := send(r.newResponse(batch)); err != nil {
			return err
		}
		batch = nil
	}
	return nil
}

// newResponse returns the message with the parts. It leaves out records that those of earlier messages outrank, which the sender merges with it.
func (r *incomingRelay) newResponse(parts []*wire.RelayPart) *wire.RelayResponse {
	response := &wire.RelayResponse{
		Parts:      parts,
		Conditions: r.observer.takeConditions(),
	}
	if !r.merges {
		return response
	}
	var bodies [][]byte
	for _, part := range parts {
		if isSuccess(part) {
			bodies = append(bodies, part.Body)
			part.Body = nil
		}
	}
	// A message without records is merged too.
	response.Merged = append([]byte{}, r.merged.Add(bodies)...)
	return response
}

// isSuccess reports whether the part can be in an answer.
func isSuccess(part *wire.RelayPart) bool {
	reply := outcomeFromPart(part).Reply
	return reply != nil && reply.IsSuccess()
}

// abandon limits how long attempts without a result may continue after the call has ended.
func (r *incomingRelay) abandon() {
	deadline := time.Now().Add(endedRelayTimeout)
	for _, x := range r.exchanges {
		x.Abandon(deadline)
	}
}

// incomingAttempt is one attempt of a call from a peer.
type incomingAttempt struct {
	relay    *incomingRelay
	number   uint32
	replica  *balancer.ReplicaState
	target   exchanger.Target
	exchange *exchanger.Exchange
}

func (a *incomingAttempt) run() {
	r := a.relay
	defer r.lease.Drop()
	r.forwarder.recordSent(a.replica)
	startedAt := r.observer.start(a.replica)
	outcome := r.forwarder.exchanger.Do(a.exchange, r.call, a.target, r.deadline)
	r.observer.end(a.replica, startedAt, &outcome)
	r.forwarder.recordRelayed(a.replica, &outcome)
	part := newRelayPart(a.number, &outcome)
	// A record can be in the merged top K only if it is in the top K of its part.
	if reply := outcome.Reply; reply != nil && reply.IsSuccess() && (!r.merges || reply.Lease != nil) {
		part.Body = merger.TopRecords([][]byte{part.Body}, r.topK)
		reply.Release()
	}
	r.parts <- part
}

// newRelayPart returns the result of an attempt for the peer that has asked for it. A stamp that can't be part of the message counts as a broken reply.
func newRelayPart(number uint32, outcome *scatterer.Outcome) *wire.RelayPart {
	part := &wire.RelayPart{
		Number:  number,
		Outcome: uint32(outcome.Kind),
		Cause:   strings.ToValidUTF8(outcome.Cause, "?"),
		Notice:  noticeToWire(outcome.Notice),

		ConnectionLost: outcome.ConnectionLost,
	}
	if outcome.Reply != nil && isNotUTF8(outcome.Reply.Stamp) {
		part.Outcome = uint32(scatterer.OutcomeBroken)
		return part
	}
	if outcome.Reply != nil {
		part.Status = uint32(outcome.Reply.Status)
		part.Stamp = outcome.Reply.Stamp
		part.Body = outcome.Reply.Body
	}
	return part
}

// findReplica returns the replica with the ID and how to reach it, or nil if this instance does not know it.
func (f *Forwarder) findReplica(id string) (*balancer.ReplicaState, exchanger.Target) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	replica := f.balancer.Find(id)
	if replica == nil {
		return nil, exchanger.Target{}
	}
	return replica, targetOf(replica)
}
