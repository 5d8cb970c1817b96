package gateway

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// recordBeforeAnswerTimeout is how long an answer is delayed while its outcome is recorded.
	recordBeforeAnswerTimeout = 100 * time.Millisecond
	// recordAttemptTimeout bounds one background attempt to record an outcome.
	recordAttemptTimeout = 500 * time.Millisecond
	recordRetryDelay     = 100 * time.Millisecond
	recordQueueSize      = 4096
	// recordFlushTimeout bounds how long a shutdown keeps recording queued outcomes.
	recordFlushTimeout = 2 * time.Second
)

// runRecorder records the outcomes of non-idempotent requests in the journal. It retries failed attempts in the
// background.
type runRecorder struct {
	gateway *Gateway
	queue   chan *wire.RecordRequest
	stop    chan struct{}
	done    chan struct{}
}

func newRunRecorder(g *Gateway) *runRecorder {
	return &runRecorder{
		gateway: g,
		queue:   make(chan *wire.RecordRequest, recordQueueSize),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// recordOrEnqueue records an outcome before its answer is sent. If that fails within recordBeforeAnswerTimeout or
// the deadline of ctx, it leaves the outcome to the background.
func (r *runRecorder) recordOrEnqueue(ctx context.Context, request *wire.RecordRequest) {
	ctx, cancel := context.WithTimeout(ctx, recordBeforeAnswerTimeout)
	defer cancel()
	if _, err := r.gateway.control.record(ctx, request); err != nil {
		r.enqueue(request)
	}
}

// enqueue leaves an outcome to the background. If the queue is full, the outcome is dropped and the outcome of its
// key stays unknown.
func (r *runRecorder) enqueue(request *wire.RecordRequest) {
	select {
	case r.queue <- request:
	default:
		r.gateway.log.Info("outcome not recorded", "service", request.GetService(), "key", request.GetKey(), "reason", "too many wait")
	}
}

func (r *runRecorder) run() {
	defer close(r.done)
	for {
		select {
		case request := <-r.queue:
			r.recordWithRetry(request)
		case <-r.stop:
			r.flush()
			return
		}
	}
}

// recordWithRetry retries until the outcome is recorded or the instance stops, in which case it queues the outcome
// again for flush.
func (r *runRecorder) recordWithRetry(request *wire.RecordRequest) {
	for !r.tryRecord(context.Background(), request) {
		select {
		case <-r.stop:
			r.enqueue(request)
			return
		case <-time.After(recordRetryDelay):
		}
	}
}

func (r *runRecorder) tryRecord(ctx context.Context, request *wire.RecordRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, recordAttemptTimeout)
	defer cancel()
	response, err := r.gateway.control.record(ctx, request)
	if err != nil {
		return false
	}
	r.gateway.log.Info("outcome recorded late", "service", request.GetService(), "key", request.GetKey(), "recorded", response.GetRecorded())
	return true
}

// flush tries to record each queued outcome once within recordFlushTimeout.
func (r *runRecorder) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), recordFlushTimeout)
	defer cancel()
	for {
		select {
		case request := <-r.queue:
			if !r.tryRecord(ctx, request) {
				r.gateway.log.Info("outcome not recorded", "service", request.GetService(), "key", request.GetKey(), "reason", "shutdown")
			}
		default:
			return
		}
	}
}

// close stops the background recording and waits until the queue is flushed.
func (r *runRecorder) close() {
	close(r.stop)
	<-r.done
}
