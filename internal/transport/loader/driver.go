package loader

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/transport/assembler"
)

const (
	// maxInFlight limits the queries in flight of one driver; a query above the limit is discarded.
	maxInFlight = 20_000
	// minSleep is the shortest wait that is worth a timer. A query that is due sooner is sent at once.
	minSleep = 200 * time.Microsecond
	// clientTimeoutMargin is how much longer the client waits than the timeout of the query.
	clientTimeoutMargin = 2 * time.Second
	// distinctQueries is the number of different query texts.
	distinctQueries = 1000
)

// driver sends the queries of one service to the entry instances in round-robin order.
type driver struct {
	client   *http.Client
	entries  []string
	service  string
	timeout  time.Duration
	oneWay   time.Duration
	schedule *Schedule
	measurer *measurer
	inFlight chan struct{}
	pending  sync.WaitGroup
	done     chan struct{}
}

func newDriver(client *http.Client, entries []string, load serviceLoad, m *measurer) *driver {
	return &driver{
		client:   client,
		entries:  entries,
		service:  load.service,
		timeout:  load.timeout,
		oneWay:   load.clientOneWay,
		schedule: NewSchedule(load.seed, load.perSecond),
		measurer: m,
		inFlight: make(chan struct{}, maxInFlight),
		done:     make(chan struct{}),
	}
}

// newClient returns an HTTP client that keeps up to maxInFlight idle connections to each entry instance, so that queries reuse them.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight,
		},
	}
}

// run sends the queries that are due within the duration, and closes done once all of them have completed.
func (d *driver) run(ctx context.Context, duration time.Duration) {
	defer close(d.done)
	started := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		due := d.schedule.Next()
		if due > duration {
			break
		}
		sleepUntil(started.Add(due))
		d.send(ctx, i, started.Add(due))
	}
	d.pending.Wait()
}

// sleepUntil sleeps until the given time. It returns immediately if less than minSleep is left.
func sleepUntil(at time.Time) {
	if wait := time.Until(at); wait > minSleep {
		time.Sleep(wait)
	}
}

// send starts a query, or discards it if too many are in flight.
func (d *driver) send(ctx context.Context, i int, intended time.Time) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.measurer.recordDiscard()
		return
	}
	q := &query{
		driver:   d,
		index:    i,
		intended: intended,
	}
	d.pending.Add(1)
	go q.run(ctx)
}

// query is one query in flight.
type query struct {
	driver   *driver
	index    int
	intended time.Time
}

func (q *query) run(ctx context.Context) {
	d := q.driver
	defer d.pending.Done()
	defer func() { <-d.inFlight }()
	ctx, cancel := context.WithTimeout(ctx, d.timeout+clientTimeoutMargin)
	defer cancel()
	sendLag := time.Since(q.intended)
	body := fmt.Sprintf(`{"tenant":"load","query":"q%d","limit":10,"timeout-ms":%d}`, q.index%distinctQueries, d.timeout.Milliseconds())
	answer, err := assembler.SendRequest(ctx, d.client, d.entries[q.index%len(d.entries)], d.service, "query", body)
	d.measurer.recordAnswer(time.Since(q.intended)+2*d.oneWay, sendLag, answer, err)
}
