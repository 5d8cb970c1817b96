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
	maxOpen = 20_000
	// spinBelow is the wait that is too short for a timer.
	spinBelow    = 200 * time.Microsecond
	clientMargin = 2 * time.Second
	// texts is how many different queries there are.
	texts = 1000
)

// driver sends one service's queries to the entry instances in turn.
type driver struct {
	client   *http.Client
	entries  []string
	service  string
	timeout  time.Duration
	oneWay   time.Duration
	schedule *Schedule
	measurer *measurer
	open     chan struct{}
	sent     sync.WaitGroup
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
		open:     make(chan struct{}, maxOpen),
		done:     make(chan struct{}),
	}
}

// newClient returns a caller's client, which keeps as many connections as queries are open.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxOpen,
		},
	}
}

// run sends every query that is due within the length, and returns when the last has its answer.
func (d *driver) run(ctx context.Context, length time.Duration) {
	defer close(d.done)
	started := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		due := d.schedule.Next()
		if due > length {
			break
		}
		waitUntil(started.Add(due))
		d.send(ctx, i, started.Add(due))
	}
	d.sent.Wait()
}

func waitUntil(at time.Time) {
	if wait := time.Until(at); wait > spinBelow {
		time.Sleep(wait)
	}
}

func (d *driver) send(ctx context.Context, i int, intended time.Time) {
	select {
	case d.open <- struct{}{}:
	default:
		d.measurer.discard()
		return
	}
	q := &query{
		driver:   d,
		index:    i,
		intended: intended,
	}
	d.sent.Add(1)
	go q.run(ctx)
}

// query is one query on its way.
type query struct {
	driver   *driver
	index    int
	intended time.Time
}

func (q *query) run(ctx context.Context) {
	d := q.driver
	defer d.sent.Done()
	defer func() { <-d.open }()
	ctx, cancel := context.WithTimeout(ctx, d.timeout+clientMargin)
	defer cancel()
	lag := time.Since(q.intended)
	body := fmt.Sprintf(`{"tenant":"load","query":"q%d","limit":10,"timeout-ms":%d}`, q.index%texts, d.timeout.Milliseconds())
	answer, err := assembler.Ask(ctx, d.client, d.entries[q.index%len(d.entries)], d.service, "query", body)
	d.measurer.took(time.Since(q.intended)+2*d.oneWay, lag, answer, err)
}
