package responder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/announcer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const announcePeriod = 500 * time.Millisecond

// Responder is one running stand-in.
type Responder struct {
	settings      *checker.StandinSettings
	log           logr.Logger
	simulator     *simulator
	recorder      *recorder
	connections   *connectionLimiter
	server        *listener.Server
	announcer     *announcer.Announcer
	slots         chan struct{}
	load          *load
	previousReply atomic.Pointer[wire.SearchResponse]
	leaving       atomic.Bool
}

// New starts a stand-in, which announces itself to the entry instances.
func New(settings *checker.StandinSettings, log logr.Logger) (*Responder, error) {
	r := &Responder{
		settings:  settings,
		log:       log.WithName("standin").WithValues("upstream", settings.Upstream),
		simulator: newSimulator(settings),
		recorder:  &recorder{},
		load:      &load{},
		slots:     make(chan struct{}, settings.Slots),
	}
	r.connections = newConnectionLimiter(r.simulator, r.recorder)
	socket, err := listener.Listen(settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", settings.Upstream, err)
	}
	delayed := &delayedListener{
		Listener:  socket,
		simulator: r.simulator,
	}
	r.server = listener.NewOnSocket(delayed, r.handler(), listener.Hooks{
		ConnState:   r.connections.handleState,
		ConnContext: r.connections.withConnection,
	})
	client := listener.NewClient()
	client.Transport = &announcementFilter{
		next:      client.Transport,
		simulator: r.simulator,
	}
	r.announcer = announcer.New(client, settings.Entries, announcePeriod, r.announcement(), func(err error) {
		r.log.V(1).Info("announcement failed", "error", err.Error())
	})
	r.log.Info("started", "address", r.server.Address())
	return r, nil
}

func (r *Responder) handler() http.Handler {
	mux := http.NewServeMux()
	path, service := wireconnect.NewUpstreamServiceHandler(r, listener.CompressLargeReplies())
	mux.Handle(path, r.injectFaults(service))
	mux.HandleFunc("GET /record", r.serveRecord)
	mux.HandleFunc("GET /switches", r.serveSwitches)
	mux.HandleFunc("POST /switches", r.serveSwitches)
	return mux
}

// Address returns the address that the stand-in listens on.
func (r *Responder) Address() string { return r.server.Address() }

// Shutdown announces that the stand-in accepts no new work, refuses new requests, and stops once the requests in flight are answered or the context ends.
func (r *Responder) Shutdown(ctx context.Context) error {
	r.leaving.Store(true)
	r.announcer.Leave()
	return r.server.Shutdown(ctx)
}

// Record returns a copy of the record, with the current number of requests in flight.
func (r *Responder) Record() Record {
	record := r.recorder.snapshot()
	record.InFlight = r.load.inFlight.Load()
	return record
}

func (r *Responder) serveRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Record()) }

// advertisedAddress returns the address at which entry instances reach the stand-in, which may be that of a proxy.
func (r *Responder) advertisedAddress() string {
	if r.settings.Advertise != "" {
		return r.settings.Advertise
	}
	return r.server.Address()
}

// announcement returns the announcement for the current switches.
func (r *Responder) announcement() *wire.Announcement {
	switches := r.simulator.switches()
	ann := &wire.Announcement{
		Upstream:    r.settings.Upstream,
		Address:     r.advertisedAddress(),
		Zone:        r.settings.Zone,
		Slots:       r.settings.Slots,
		Connections: r.settings.Connections,
		Leaving:     switches.LeavingAnnounced,
	}
	for _, heldVersion := range switches.Versions {
		ann.Manifests = append(ann.Manifests, newManifest(r.settings.Service, heldVersion))
		for _, shard := range heldVersion.Shards {
			ann.Holdings = append(ann.Holdings, &wire.Holding{
				Service: r.settings.Service,
				Version: heldVersion.Version,
				Shard:   shard,
			})
		}
	}
	return ann
}

func newManifest(service string, heldVersion checker.HeldVersion) *wire.Manifest {
	manifest := &wire.Manifest{
		Service: service,
		Version: heldVersion.Version,
	}
	for _, shard := range heldVersion.Manifest {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  shard.Shard,
			Weight: shard.Weight,
		})
	}
	return manifest
}

var errAnnouncementBlocked = errors.New("announcement blocked by the switches")

// announcementFilter fails all announcements while AnnouncementsStopped is set, and those to entry instances that are not in AnnounceTo, unless it is empty.
type announcementFilter struct {
	next      http.RoundTripper
	simulator *simulator
}

// RoundTrip sends the request unless the switches block it.
func (f *announcementFilter) RoundTrip(request *http.Request) (*http.Response, error) {
	switches := f.simulator.switches()
	excluded := len(switches.AnnounceTo) > 0 && !slices.Contains(switches.AnnounceTo, request.URL.Host)
	if switches.AnnouncementsStopped || excluded {
		return nil, errAnnouncementBlocked
	}
	return f.next.RoundTrip(request)
}
