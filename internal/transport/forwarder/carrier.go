package forwarder

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

var errStopping = errors.New("this entry instance is stopping")

// relayService carries attempts for entry instances of other availability zones.
type relayService struct {
	forwarder *Forwarder
}

// Relay sends every attempt to its replica, and streams their ends, several in one message where they come close together.
func (s *relayService) Relay(ctx context.Context, request *connect.Request[wire.RelayRequest], stream *connect.ServerStream[wire.RelayResponse]) error {
	if s.forwarder.stopping.Load() {
		return connect.NewError(connect.CodeFailedPrecondition, errStopping)
	}
	s.forwarder.relays.calls.Add(1)
	asked := request.Msg
	c := &carrier{
		forwarder: s.forwarder,
		call:      callOf(asked),
		topK:      int(asked.GetTopK()),
		deadline:  time.Now().Add(time.Duration(asked.GetStopUs()) * time.Microsecond),
		parts:     make(chan *wire.RelayPart, len(asked.GetItems())),
	}
	c.begin(asked.GetItems())
	err := c.loop(ctx, len(asked.GetItems()), time.Duration(asked.GetFlushUs())*time.Microsecond, stream.Send)
	c.end()
	return err
}

// carrier is the attempts of one call.
type carrier struct {
	forwarder *Forwarder
	call      *exchanger.Call
	topK      int
	deadline  time.Time
	exchanges []*exchanger.Exchange
	parts     chan *wire.RelayPart
}

func (c *carrier) begin(items []*wire.RelayItem) {
	for _, item := range items {
		target, ok := c.forwarder.target(item.GetReplica())
		if !ok {
			c.parts <- &wire.RelayPart{
				Number:  item.GetNumber(),
				Outcome: uint32(scatterer.OutcomeUnsent),
				Cause:   scatterer.CausePeerFailed,
			}
			continue
		}
		x := exchanger.NewExchange(c.deadline.Add(deadlineSlack))
		c.exchanges = append(c.exchanges, x)
		a := &carriedAttempt{
			carrier:  c,
			number:   item.GetNumber(),
			target:   target,
			exchange: x,
		}
		go a.run()
	}
}

// loop sends the ends as they come: a part waits for others for the flush at most.
func (c *carrier) loop(ctx context.Context, count int, flush time.Duration, send func(*wire.RelayResponse) error) error {
	timer := time.NewTimer(flush)
	timer.Stop()
	defer timer.Stop()
	var batch []*wire.RelayPart
	for received := 0; received < count || len(batch) > 0; {
		var due <-chan time.Time
		if len(batch) > 0 {
			due = timer.C
		}
		full := received == count
		if !full {
			select {
			case part := <-c.parts:
				received++
				if len(batch) == 0 {
					timer.Reset(flush)
				}
				batch = append(batch, part)
				continue
			case <-due:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		response := &wire.RelayResponse{
			Parts: batch,
		}
		if err := send(response); err != nil {
			return err
		}
		batch = nil
	}
	return nil
}

// end lets go of attempts that nobody waits for any more.
func (c *carrier) end() {
	until := time.Now().Add(relayLinger)
	for _, x := range c.exchanges {
		x.Abandon(until)
	}
}

// carriedAttempt is one attempt of a call.
type carriedAttempt struct {
	carrier  *carrier
	number   uint32
	target   exchanger.Target
	exchange *exchanger.Exchange
}

func (a *carriedAttempt) run() {
	c := a.carrier
	outcome := c.forwarder.exchanger.Do(a.exchange, c.call, a.target, c.deadline)
	part := &wire.RelayPart{
		Number:  a.number,
		Outcome: uint32(outcome.Kind),
		Cause:   outcome.Cause,
	}
	if outcome.Reply != nil {
		part.Status = uint32(outcome.Reply.Status)
		part.Stamp = outcome.Reply.Stamp
		part.Body = outcome.Reply.Body
	}
	// Only the greatest records of a part can be among the greatest of all.
	if outcome.Reply != nil && outcome.Reply.IsSuccess() {
		part.Body = merger.TopRecords([][]byte{part.Body}, c.topK)
	}
	c.parts <- part
}

// target returns where the replica is, as this instance knows it.
func (f *Forwarder) target(id string) (exchanger.Target, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.balancer.Find(id)
	if known == nil {
		return exchanger.Target{}, false
	}
	return exchanger.Target{
		Replica: known.ID,
		Service: known.Service,
		Address: known.Address,
		Zone:    known.Zone,
	}, true
}
