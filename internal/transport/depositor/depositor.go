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
	handOverTimeout = time.Second
	// flushLimit is how long a shutdown goes on handing over, and flushPause the pause between two tries of it.
	flushLimit = 2 * time.Second
	flushPause = 20 * time.Millisecond
)

// Bounds is what the records may take.
type Bounds struct {
	// Ring is how many records wait for their hand-over at most; those beyond it are lost and counted.
	Ring int
	// Batch is how many records one call carries at most.
	Batch int
	// Batches is how many calls are made in a period at most, 0 for as many as there are records.
	Batches int
	Period  time.Duration
}

// Depositor holds the records of one life of an entry instance until a control instance has synced them; it never holds up an answer.
type Depositor struct {
	bounds Bounds
	client *http.Client
	// addresses returns the control instances to hand over to, the preferred one first.
	addresses func() []string
	lost      tally.Counter
	log       logr.Logger
	mutex     sync.Mutex
	ring      *recorder.Queue
	next      int
	failing   bool
	stop      chan struct{}
	done      chan struct{}
}

// New starts handing over the records of the instance; those that are lost are counted.
func New(instance string, bounds Bounds, client *http.Client, addresses func() []string, lost tally.Counter, log logr.Logger) *Depositor {
	d := &Depositor{
		bounds:    bounds,
		client:    client,
		addresses: addresses,
		lost:      lost,
		log:       log,
		ring:      recorder.NewQueue(instance, uint64(time.Now().UnixNano()), bounds.Ring),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	go d.run()
	return d
}

// Note keeps a record, or counts it as lost where too many wait.
func (d *Depositor) Note(record *wire.OutcomeRecord) {
	record.TimeMs = time.Now().UnixMilli()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.ring.Add(record) {
		d.lost.Inc(1)
	}
}

func (d *Depositor) run() {
	defer close(d.done)
	ticker := time.NewTicker(d.bounds.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.handOver(context.Background(), d.bounds.Batches)
		case <-d.stop:
			d.flush()
			return
		}
	}
}

func (d *Depositor) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	for ctx.Err() == nil && d.Waiting() > 0 && len(d.addresses()) > 0 {
		d.handOver(ctx, 0)
		select {
		case <-time.After(flushPause):
		case <-ctx.Done():
		}
	}
}

// handOver gives away batches until none is left, as many as allowed are sent, or a control instance fails, and then turns to the next one.
func (d *Depositor) handOver(ctx context.Context, most int) {
	for sent := 0; most == 0 || sent < most; sent++ {
		batch := d.batch()
		addresses := d.addresses()
		if batch == nil || len(addresses) == 0 {
			return
		}
		if !d.handTo(ctx, addresses[d.next%len(addresses)], batch) {
			d.next++
			return
		}
	}
}

func (d *Depositor) handTo(ctx context.Context, address string, batch *wire.HandOverRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	client := wireconnect.NewControlServiceClient(d.client, "http://"+address)
	response, err := client.HandOver(ctx, connect.NewRequest(batch))
	d.tell(address, err)
	if err != nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ring.RemoveStored(response.Msg.GetStoredSequence())
	return true
}

// tell writes a line when records begin or cease to be handed over.
func (d *Depositor) tell(address string, err error) {
	switch {
	case err != nil && !d.failing:
		d.log.Info("records not handed over", "control", address, "waiting", d.Waiting(), "cause", err.Error())
	case err == nil && d.failing:
		d.log.Info("records handed over again", "control", address, "waiting", d.Waiting())
	}
	d.failing = err != nil
}

func (d *Depositor) batch() *wire.HandOverRequest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ring.Batch(d.bounds.Batch)
}

// Waiting returns how many records no control instance has yet.
func (d *Depositor) Waiting() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ring.Len()
}

// Close hands over what is left, as long as a shutdown may wait.
func (d *Depositor) Close() {
	close(d.stop)
	<-d.done
}
