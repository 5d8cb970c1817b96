package sender

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// Forward hands the sub-request to the owner at the address; its end is reported, also after Cancel.
func (s *Sender) Forward(address string, request *wire.ForwardRequest, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	c := &handOver{
		sender:  s,
		client:  s.openPeer(address, request.GetSearch().GetAttempt(), cancel),
		request: request,
	}
	s.calls.Add(1)
	go c.run(ctx)
}

func (s *Sender) openPeer(address string, attempt uint64, cancel context.CancelFunc) wireconnect.PeerServiceClient {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt] = cancel
	client, ok := s.owners[address]
	if !ok {
		client = wireconnect.NewPeerServiceClient(s.peers, "http://"+address)
		s.owners[address] = client
	}
	return client
}

// handOver is one sub-request on its way to an owner.
type handOver struct {
	sender  *Sender
	client  wireconnect.PeerServiceClient
	request *wire.ForwardRequest
}

func (c *handOver) run(ctx context.Context) {
	defer c.sender.calls.Done()
	end := End{
		Attempt:   c.request.GetSearch().GetAttempt(),
		Forwarded: true,
	}
	response, err := c.client.Forward(ctx, connect.NewRequest(c.request))
	if err != nil {
		end.Err = err
		end.TimeUp = ctx.Err() != nil
		end.NotForwarded = listener.DetailOf[*wire.NotForwarded](err)
	} else {
		end.Reply = response.Msg.GetSearch()
		end.Wait = time.Duration(response.Msg.GetWaitUs()) * time.Microsecond
	}
	c.sender.forget(end.Attempt)
	c.sender.ends <- end
}
