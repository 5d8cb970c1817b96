package controller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	outboxRing      = 256
	deliverTimeout  = time.Second
	maxReadMessage  = 64 << 20
	messagesPerCall = 32
)

// outbox sends the journal's messages to one peer in order; what does not fit is dropped, since the machine repeats itself.
type outbox struct {
	address string
	client  wireconnect.JournalServiceClient
	ring    chan *wire.JournalMessage
	cancel  context.CancelFunc
	done    chan struct{}
}

func newOutbox(address string, client *http.Client) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outbox{
		address: address,
		client:  wireconnect.NewJournalServiceClient(client, "http://"+address),
		ring:    make(chan *wire.JournalMessage, outboxRing),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

func (o *outbox) push(message *wire.JournalMessage) {
	select {
	case o.ring <- message:
	default:
	}
}

func (o *outbox) close() {
	o.cancel()
	<-o.done
}

func (o *outbox) run(ctx context.Context) {
	defer close(o.done)
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.ring:
			o.deliver(ctx, o.gather(message))
		}
	}
}

func (o *outbox) gather(first *wire.JournalMessage) []*wire.JournalMessage {
	messages := []*wire.JournalMessage{first}
	for len(messages) < messagesPerCall {
		select {
		case message := <-o.ring:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

func (o *outbox) deliver(ctx context.Context, messages []*wire.JournalMessage) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	// A lost message is not resent here: the machine's next round replaces it.
	_, _ = o.client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{
		Messages: messages,
	}))
}
