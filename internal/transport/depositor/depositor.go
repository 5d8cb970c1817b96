package depositor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/state/recorder"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// sendTimeout limits one call that sends a batch.
	sendTimeout = time.Second
	// flushTimeout limits how long Close sends the remaining records.
	flushTimeout = 2 * time.Second
	// flushRetryDelay is the pause between attempts to send them.
	flushRetryDelay = 20 * time.Millisecond
)

// Bounds limits the memory and the calls that records may use.
type Bounds struct {
	// QueueCapacity is the capacity of the queue. Records that do not fit are dropped and counted.
	QueueCapacity int
	// BatchSize is the maximum number of records in one call.
	BatchSize int
	// MaxBatches is the maximum number of calls in a period. 0 means no limit.
	MaxBatches int
	Period     time.Duration
}

// Depositor queues the records of one incarnation of an entry instance until a control instance has synced
// them to disk. It sends them in the background and never delays a response.
type Depositor struct {
	bounds Bounds
	client *http.Client
	// addresses returns the addresses of the control instances, the preferred one first.
	addresses   func() []string
	lostRecords tally.Counter
	log         logr.Logger
	mutex       sync.Mutex
	queue       *recorder.Queue
	// nextAddress counts the failed calls and selects the address, modulo the number of addresses.
	nextAddress int
	failing     bool
	stop        chan struct{}
	done        chan struct{}
}

// New returns a depositor that sends the records of the instance until it is closed, and counts dropped
// records in lostRecords.
func New(instance string, bounds Bounds, client *http.Client, addresses func() []string, lostRecords tally.Counter, log logr.Logger) *Depositor {
	d := &Depositor{
		bounds:      bounds,
		client:      client,
		addresses:   addresses,
		lostRecords: lostRecords,
		log:         log,
		queue:       recorder.NewQueue(instance, uint64(time.Now().UnixNano()), bounds.QueueCapacity),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	go d.run()
	return d
}

// Add sets the time of a record and queues it, or counts it as lost if the queue is full.
func (d *Depositor) Add(record *wire.OutcomeRecord) {
	record.TimeMs = time.Now().UnixMilli()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.queue.Add(record) {
		d.lostRecords.Inc(1)
	}
}

func (d *Depositor) run() {
	defer close(d.done)
	ticker := time.NewTicker(d.bounds.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.sendBatches(context.Background(), d.bounds.MaxBatches)
		case <-d.stop:
			d.flush()
			return
		}
	}
}

// flush sends the queued records until the queue is empty, flushTimeout has passed or no control instance is
// known.
func (d *Depositor) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for ctx.Err() == nil && d.Pending() > 0 && len(d.addresses()) > 0 {
		d.sendBatches(ctx, 0)
		select {
		case <-time.After(flushRetryDelay):
		case <-ctx.Done():
		}
	}
}

// sendBatches sends batches until the queue is empty, maxBatches are sent (0 means no limit) or a call fails.
// After a failed call it selects the next control instance.
func (d *Depositor) sendBatches(ctx context.Context, maxBatches int) {
	for sent := 0; maxBatches == 0 || sent < maxBatches; sent++ {
		batch := d.nextBatch()
		addresses := d.addresses()
		if batch == nil || len(addresses) == 0 {
			return
		}
		if !d.sendBatch(ctx, addresses[d.nextAddress%len(addresses)], batch) {
			d.nextAddress++
			return
		}
	}
}

// sendBatch sends one batch, removes the stored records from the queue and reports whether the call
// succeeded.
func (d *Depositor) sendBatch(ctx context.Context, address string, batch *wire.HandOverRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	client := wireconnect.NewControlServiceClient(d.client, "http://"+address)
	response, err := client.HandOver(ctx, connect.NewRequest(batch))
	d.logTransition(address, err)
	if err != nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.queue.RemoveStored(response.Msg.GetStoredSequence())
	return true
}

// logTransition logs the first failed call and the first successful call after it.
func (d *Depositor) logTransition(address string, err error) {
	switch {
	case err != nil && !d.failing:
		d.log.Info("failed to hand over records", "control", address, "waiting", d.Pending(), "cause", err.Error())
	case err == nil && d.failing:
		d.log.Info("handing over records again", "control", address, "waiting", d.Pending())
	}
	d.failing = err != nil
}

func (d *Depositor) nextBatch() *wire.HandOverRequest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queue.Batch(d.bounds.BatchSize)
}

// Pending returns the number of records that no control instance has acknowledged.
func (d *Depositor) Pending() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queue.Len()
}

// Close sends the remaining records, for flushTimeout at most, and stops the depositor.
func (d *Depositor) Close() {
	close(d.stop)
	<-d.done
}
