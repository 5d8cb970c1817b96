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
	outboxQueueSize    = 256
	deliveryTimeout    = time.Second
	maxMessageBytes    = 64 << 20
	maxMessagesPerCall = 32
)

// outbox sends the journal's messages to one peer in order. Messages are dropped when the queue is full, since the consensus machine sends them again.
type outbox struct {
	address string
	client  wireconnect.JournalServiceClient
	queue   chan *wire.JournalMessage
	cancel  context.CancelFunc
	done    chan struct{}
}

func newOutbox(address string, client *http.Client) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outbox{
		address: address,
		client:  wireconnect.NewJournalServiceClient(client, "http://"+address),
		queue:   make(chan *wire.JournalMessage, outboxQueueSize),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

func (o *outbox) enqueue(message *wire.JournalMessage) {
	select {
	case o.queue <- message:
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
		case message := <-o.queue:
			o.deliver(ctx, o.collectBatch(message))
		}
	}
}

// collectBatch returns the first message and the ones queued behind it, up to maxMessagesPerCall.
func (o *outbox) collectBatch(first *wire.JournalMessage) []*wire.JournalMessage {
	messages := []*wire.JournalMessage{first}
	for len(messages) < maxMessagesPerCall {
		select {
		case message := <-o.queue:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

func (o *outbox) deliver(ctx context.Context, messages []*wire.JournalMessage) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	// The error is ignored: the messages of the machine's next round replace lost ones.
	_, _ = o.client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{
		Messages: messages,
	}))
}
