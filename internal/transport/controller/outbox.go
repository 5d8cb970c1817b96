package controller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	outboxQueueSize = 256
	// minDeliveryTimeout is the lower bound of the timeout of a delivery, for settings with very short elections.
	minDeliveryTimeout = 200 * time.Millisecond
	// deliveryBytesPerSecond is the assumed throughput of a link, by which the timeout of large messages is longer.
	deliveryBytesPerSecond = 1 << 20
	maxMessageBytes        = 64 << 20
	maxMessagesPerCall     = 32
)

// outbox sends the journal's messages to one peer in order. Messages are dropped when the queue is full, since the consensus machine sends them again.
type outbox struct {
	address string
	client  wireconnect.JournalServiceClient
	queue   chan queuedMessage
	// electionTimeout is the age from which a message that only counts in an election or as a heartbeat is dropped, and the timeout of a delivery.
	electionTimeout time.Duration
	// staleMessages counts the messages that were dropped because of their age.
	staleMessages tally.Counter
	cancel        context.CancelFunc
	done          chan struct{}
}

// queuedMessage is a message and the time when it was queued.
type queuedMessage struct {
	message  *wire.JournalMessage
	queuedAt time.Time
}

func newOutbox(address string, client *http.Client, electionTimeout time.Duration, staleMessages tally.Counter) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outbox{
		address: address,
		client:  wireconnect.NewJournalServiceClient(client, "http://"+address),
		queue:   make(chan queuedMessage, outboxQueueSize),
		cancel:  cancel,

		electionTimeout: electionTimeout,
		staleMessages:   staleMessages,
		done:            make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

func (o *outbox) enqueue(message *wire.JournalMessage) {
	select {
	case o.queue <- queuedMessage{
		message:  message,
		queuedAt: time.Now(),
	}:
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
			if batch := o.collectBatch(message); len(batch) > 0 {
				o.deliver(ctx, batch)
			}
		}
	}
}

// collectBatch returns the first message and the ones queued behind it that are still of use, up to maxMessagesPerCall.
func (o *outbox) collectBatch(first queuedMessage) []*wire.JournalMessage {
	var messages []*wire.JournalMessage
	for next := first; ; {
		if o.isStale(next, time.Now()) {
			o.staleMessages.Inc(1)
		} else {
			messages = append(messages, next.message)
		}
		if len(messages) == maxMessagesPerCall {
			return messages
		}
		select {
		case next = <-o.queue:
		default:
			return messages
		}
	}
}

// isStale reports whether a message has waited for an election timeout and has no use after that: by then its sender has begun another election or sent another heartbeat.
func (o *outbox) isStale(queued queuedMessage, now time.Time) bool {
	if now.Sub(queued.queuedAt) <= o.electionTimeout {
		return false
	}
	switch body := queued.message.GetBody().(type) {
	case *wire.JournalMessage_VoteAsk, *wire.JournalMessage_VoteReply:
		return true
	case *wire.JournalMessage_AppendAsk:
		return len(body.AppendAsk.GetEntries()) == 0
	default:
		return false
	}
}

// timeout returns the timeout of a delivery: an election timeout, after which the messages are out of date, and the time that large messages need on a slow link.
func (o *outbox) timeout(request *wire.DeliverRequest) time.Duration {
	transfer := time.Duration(proto.Size(request)) * time.Second / deliveryBytesPerSecond
	return max(o.electionTimeout, minDeliveryTimeout) + transfer
}

func (o *outbox) deliver(ctx context.Context, messages []*wire.JournalMessage) {
	request := &wire.DeliverRequest{
		Messages: messages,
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout(request))
	defer cancel()
	// The error is ignored: the messages of the machine's next round replace lost ones.
	_, _ = o.client.Deliver(ctx, connect.NewRequest(request))
}
