package announcer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// leasePeriods is how many renewals a lease lasts.
	leasePeriods = 4
	callTimeout  = time.Second
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

// announce tells two entry instances, so that one lost message loses no lease.
func (a *Announcer) announce() {
	a.stamp()
	for range min(2, len(a.entries)) {
		a.send(a.entries[a.next%len(a.entries)])
		a.next++
	}
}

func (a *Announcer) leave() {
	a.current.Leaving = true
	a.stamp()
	for _, entry := range a.entries {
		a.send(entry)
	}
}

func (a *Announcer) stamp() {
	a.sequence++
	a.current.Sequence = a.sequence
	a.current.LeaseMs = uint32(a.period.Milliseconds() * leasePeriods)
}

func (a *Announcer) send(entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := wireconnect.NewAnnouncementServiceClient(a.client, "http://"+entry)
	_, err := client.Announce(ctx, connect.NewRequest(&wire.AnnounceRequest{
		Announcement: a.current,
	}))
	if err != nil {
		a.report(err)
	}
}
