package announcer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// leaseHalfPeriods is how long a lease lasts, in halves of the renewal period.
	leaseHalfPeriods = 7
	callTimeout      = time.Second
)

// Announcer renews one upstream's announcement until it leaves.
type Announcer struct {
	client   *http.Client
	entries  []string
	period   time.Duration
	next     int
	sequence uint64
	changes  chan *wire.Announcement
	current  *wire.Announcement
	report   func(error)
	known    atomic.Uint64
	calls    sync.WaitGroup
	stop     chan struct{}
	done     chan struct{}
}

// New starts announcing to the entry instances, a few of them each period; report is told of each refusal.
func New(client *http.Client, entries []string, period time.Duration, first *wire.Announcement, report func(error)) *Announcer {
	a := &Announcer{
		client:  client,
		entries: entries,
		period:  period,
		changes: make(chan *wire.Announcement, 1),
		current: proto.CloneOf(first),
		report:  report,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	a.current.Incarnation = uint64(time.Now().UnixNano())
	go a.run()
	return a
}

// Change announces something else from now on; the incarnation stays.
func (a *Announcer) Change(next *wire.Announcement) {
	select {
	case a.changes <- proto.CloneOf(next):
	case <-a.done:
	}
}

// Leave tells every entry instance that the upstream takes no new work, and ends the announcer.
func (a *Announcer) Leave() {
	close(a.stop)
	<-a.done
}

func (a *Announcer) run() {
	defer close(a.done)
	ticker := time.NewTicker(a.period)
	defer ticker.Stop()
	a.announce()
	for {
		select {
		case <-a.stop:
			a.leave()
			return
		case next := <-a.changes:
			next.Incarnation = a.current.GetIncarnation()
			a.current = next
			a.announce()
		case <-ticker.C:
			a.announce()
		}
	}
}

// announce tells two entry instances, so that one lost message loses no lease; one that does not answer holds up nothing.
func (a *Announcer) announce() {
	a.stamp()
	for range min(2, len(a.entries)) {
		a.send(a.entries[a.next%len(a.entries)])
		a.next++
	}
}

// leave tells all entry instances at once, and returns when each has answered or has had its time.
func (a *Announcer) leave() {
	a.current.Leaving = true
	a.stamp()
	for _, entry := range a.entries {
		a.send(entry)
	}
	a.calls.Wait()
}

func (a *Announcer) stamp() {
	if known := a.known.Load(); known > a.current.GetIncarnation() {
		a.current.Incarnation = known + 1
	}
	a.sequence++
	a.current.Sequence = a.sequence
	a.current.LeaseMs = uint32(a.period.Milliseconds() * leaseHalfPeriods / 2)
}

func (a *Announcer) send(entry string) {
	c := &call{
		announcer: a,
		client:    wireconnect.NewAnnouncementServiceClient(a.client, "http://"+entry),
		request: &wire.AnnounceRequest{
			Announcement: proto.CloneOf(a.current),
		},
	}
	a.calls.Add(1)
	go c.run()
}

// call is one announcement on its way.
type call struct {
	announcer *Announcer
	client    wireconnect.AnnouncementServiceClient
	request   *wire.AnnounceRequest
}

func (c *call) run() {
	defer c.announcer.calls.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := c.client.Announce(ctx, connect.NewRequest(c.request))
	if err != nil {
		c.announcer.report(err)
		return
	}
	c.announcer.raise(response.Msg.GetIncarnation())
}

// raise notes the newest incarnation that an entry instance knows, which a clock that went back may have left ahead.
func (a *Announcer) raise(known uint64) {
	for {
		current := a.known.Load()
		if known <= current || a.known.CompareAndSwap(current, known) {
			return
		}
	}
}
