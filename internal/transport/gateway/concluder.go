package gateway

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// recordWait is how long an answer waits for its outcome to be recorded.
	recordWait = 100 * time.Millisecond
	// recordTimeout bounds one attempt to record in the background.
	recordTimeout = 500 * time.Millisecond
	recordPause   = 100 * time.Millisecond
	recordRing    = 4096
	// recordFlush is how long a shutdown goes on recording.
	recordFlush = 2 * time.Second
)

// concluder records outcomes that could not be recorded at once, again and again until they are.
type concluder struct {
	gateway *Gateway
	ring    chan *wire.RecordRequest
	stop    chan struct{}
	done    chan struct{}
}

func newConcluder(g *Gateway) *concluder {
	return &concluder{
		gateway: g,
		ring:    make(chan *wire.RecordRequest, recordRing),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// conclude records an outcome before its answer, but lets the answer wait no longer than recordWait or its deadline.
func (c *concluder) conclude(ctx context.Context, request *wire.RecordRequest) {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	if _, err := c.gateway.control.record(ctx, request); err != nil {
		c.push(request)
	}
}

// push leaves an outcome to the background; a full ring drops it, and its key stays unknown.
func (c *concluder) push(request *wire.RecordRequest) {
	select {
	case c.ring <- request:
	default:
		c.gateway.log.Info("outcome not recorded", "service", request.GetService(), "key", request.GetKey(), "reason", "too many wait")
	}
}

func (c *concluder) run() {
	defer close(c.done)
	for {
		select {
		case request := <-c.ring:
			c.record(request)
		case <-c.stop:
			c.flush()
			return
		}
	}
}

// record tries until the journal has taken the outcome or the instance stops.
func (c *concluder) record(request *wire.RecordRequest) {
	for !c.tried(context.Background(), request) {
		select {
		case <-c.stop:
			c.push(request)
			return
		case <-time.After(recordPause):
		}
	}
}

func (c *concluder) tried(ctx context.Context, request *wire.RecordRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	response, err := c.gateway.control.record(ctx, request)
	if err != nil {
		return false
	}
	c.gateway.log.Info("outcome recorded late", "service", request.GetService(), "key", request.GetKey(), "recorded", response.GetRecorded())
	return true
}

// flush records what is left, as long as a shutdown may wait.
func (c *concluder) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), recordFlush)
	defer cancel()
	for {
		select {
		case request := <-c.ring:
			if !c.tried(ctx, request) {
				c.gateway.log.Info("outcome not recorded", "service", request.GetService(), "key", request.GetKey(), "reason", "shutdown")
			}
		default:
			return
		}
	}
}

// close stops taking outcomes, and waits for what is left.
func (c *concluder) close() {
	close(c.stop)
	<-c.done
}
