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
	// leaseHalfPeriods is the duration of a lease in halves of the renewal period: 3.5 periods.
	leaseHalfPeriods = 7
	callTimeout      = time.Second
)

// Announcer renews the announcement of one upstream until Leave is called.
type Announcer struct {
	client            *http.Client
	entries           []string
	period            time.Duration
	nextEntry         int
	sequence          uint64
	changes           chan *wire.Announcement
	current           *wire.Announcement
	onError           func(error)
	newestIncarnation atomic.Uint64
	inFlight          sync.WaitGroup
	stop              chan struct{}
	done              chan struct{}
}

// New starts an announcer that calls up to two entry instances each period, in round-robin order; onError is called with the error of each failed call, possibly concurrently.
func New(client *http.Client, entries []string, period time.Duration, first *wire.Announcement, onError func(error)) *Announcer {
	a := &Announcer{
		client:  client,
		entries: entries,
		period:  period,
		changes: make(chan *wire.Announcement, 1),
		current: proto.CloneOf(first),
		onError: onError,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	a.current.Incarnation = uint64(time.Now().UnixNano())
	go a.run()
	return a
}

// Change replaces the announcement; the incarnation stays the same.
func (a *Announcer) Change(next *wire.Announcement) {
	select {
	case a.changes <- proto.CloneOf(next):
	case <-a.done:
	}
}

// Leave announces to every entry instance that the upstream accepts no new requests, and stops the announcer.
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

// announce sends the announcement to two entry instances, so that the lease is renewed even if one message is lost. It does not wait for the responses.
func (a *Announcer) announce() {
	a.stamp()
	for range min(2, len(a.entries)) {
		a.send(a.entries[a.nextEntry%len(a.entries)])
		a.nextEntry++
	}
}

// leave sends the announcement to all entry instances concurrently, and returns when every call has ended or timed out.
func (a *Announcer) leave() {
	a.current.Leaving = true
	a.stamp()
	for _, entry := range a.entries {
		a.send(entry)
	}
	a.inFlight.Wait()
}

// stamp sets the sequence number and lease of the next announcement, and raises its incarnation above a newer one known to an entry instance.
func (a *Announcer) stamp() {
	if newest := a.newestIncarnation.Load(); newest > a.current.GetIncarnation() {
		a.current.Incarnation = newest + 1
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
	a.inFlight.Add(1)
	go c.run()
}

// call is one in-flight announcement.
type call struct {
	announcer *Announcer
	client    wireconnect.AnnouncementServiceClient
	request   *wire.AnnounceRequest
}

func (c *call) run() {
	defer c.announcer.inFlight.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := c.client.Announce(ctx, connect.NewRequest(c.request))
	if err != nil {
		c.announcer.onError(err)
		return
	}
	c.announcer.raiseIncarnation(response.Msg.GetIncarnation())
}

// raiseIncarnation records the newest incarnation known to an entry instance, if it is higher than the recorded one. It may be higher than that of the announcer if the clock was set back before the last restart.
func (a *Announcer) raiseIncarnation(incarnation uint64) {
	for {
		current := a.newestIncarnation.Load()
		if incarnation <= current || a.newestIncarnation.CompareAndSwap(current, incarnation) {
			return
		}
	}
}
