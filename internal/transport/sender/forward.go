package sender

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// Forward sends the sub-request to the owner at the address. The result is always reported, also after Cancel.
func (s *Sender) Forward(address string, request *wire.ForwardRequest, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	c := &forwardCall{
		sender:  s,
		client:  s.registerForward(address, request.GetSearch().GetAttempt(), cancel),
		request: request,
	}
	s.calls.Add(1)
	go c.run(ctx)
}

func (s *Sender) registerForward(address string, attempt uint64, cancel context.CancelFunc) wireconnect.PeerServiceClient {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt] = cancel
	client, ok := s.peerClients[address]
	if !ok {
		client = wireconnect.NewPeerServiceClient(s.peerHTTPClient, "http://"+address)
		s.peerClients[address] = client
	}
	return client
}

// forwardCall is one sub-request in flight to an owner.
type forwardCall struct {
	sender  *Sender
	client  wireconnect.PeerServiceClient
	request *wire.ForwardRequest
}

func (c *forwardCall) run(ctx context.Context) {
	defer c.sender.calls.Done()
	result := Result{
		Attempt:   c.request.GetSearch().GetAttempt(),
		Forwarded: true,
	}
	response, err := c.client.Forward(ctx, connect.NewRequest(c.request))
	if err != nil {
		result.Err = err
		result.ContextDone = ctx.Err() != nil
		result.NotForwarded = listener.ErrorDetail[*wire.NotForwarded](err)
	} else {
		result.Reply = response.Msg.GetSearch()
		result.QueueWait = time.Duration(response.Msg.GetWaitUs()) * time.Microsecond
	}
	c.sender.removeAttempt(result.Attempt)
	c.sender.results <- result
}
