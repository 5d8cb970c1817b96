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
	settings    *checker.StandinSettings
	log         logr.Logger
	board       *switchboard
	recorder    *recorder
	connections *connections
	server      *listener.Server
	announcer   *announcer.Announcer
	slots       chan struct{}
	load        *load
	previous    atomic.Pointer[wire.SearchResponse]
	leaving     atomic.Bool
}

// New starts a stand-in that announces itself.
func New(settings *checker.StandinSettings, log logr.Logger) (*Responder, error) {
	r := &Responder{
		settings: settings,
		log:      log.WithName("standin").WithValues("upstream", settings.Upstream),
		board:    newSwitchboard(settings),
		recorder: &recorder{},
		load:     &load{},
		slots:    make(chan struct{}, settings.Slots),
	}
	r.connections = newConnections(r.board, r.recorder)
	socket, err := listener.Listen(settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", settings.Upstream, err)
	}
	slow := &slowListener{
		Listener: socket,
		board:    r.board,
	}
	r.server = listener.NewOnSocket(slow, r.handler(), listener.Hooks{
		ConnState:   r.connections.watch,
		ConnContext: r.connections.remember,
	})
	client := listener.NewClient()
	client.Transport = &muffler{
		next:  client.Transport,
		board: r.board,
	}
	r.announcer = announcer.New(client, settings.Entries, announcePeriod, r.announcement(), func(err error) {
		r.log.V(1).Info("announcement refused", "error", err.Error())
	})
	r.log.Info("started", "address", r.server.Address())
	return r, nil
}

func (r *Responder) handler() http.Handler {
	mux := http.NewServeMux()
	path, service := wireconnect.NewUpstreamServiceHandler(r, listener.CompressLargeReplies())
	mux.Handle(path, r.guard(service))
	mux.HandleFunc("GET /record", r.serveRecord)
	mux.HandleFunc("GET /switches", r.serveSwitches)
	mux.HandleFunc("POST /switches", r.serveSwitches)
	return mux
}

// Address returns where the stand-in is served.
func (r *Responder) Address() string { return r.server.Address() }

// Leave announces that it takes no new work, answers what is in flight, and ends.
func (r *Responder) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	r.announcer.Leave()
	return r.server.Shutdown(ctx)
}

// Record returns what the stand-in has started.
func (r *Responder) Record() Record {
	record := r.recorder.copy()
	record.InFlight = r.load.inFlight.Load()
	return record
}

func (r *Responder) serveRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Record()) }

// advertised is where entry instances reach the stand-in, which may be through a proxy.
func (r *Responder) advertised() string {
	if r.settings.Advertise != "" {
		return r.settings.Advertise
	}
	return r.server.Address()
}

func (r *Responder) announcement() *wire.Announcement {
	s := r.board.get()
	ann := &wire.Announcement{
		Upstream:    r.settings.Upstream,
		Address:     r.advertised(),
		Zone:        r.settings.Zone,
		Slots:       r.settings.Slots,
		Connections: r.settings.Connections,
		Leaving:     s.LeavingAnnounced,
	}
	for _, held := range s.Versions {
		ann.Manifests = append(ann.Manifests, manifestOf(r.settings.Service, held))
		for _, shard := range held.Shards {
			ann.Holdings = append(ann.Holdings, &wire.Holding{
				Service: r.settings.Service,
				Version: held.Version,
				Shard:   shard,
			})
		}
	}
	return ann
}

func manifestOf(service string, held checker.HeldVersion) *wire.Manifest {
	manifest := &wire.Manifest{
		Service: service,
		Version: held.Version,
	}
	for _, shard := range held.Manifest {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  shard.Shard,
			Weight: shard.Weight,
		})
	}
	return manifest
}

var errMuffled = errors.New("announcements are switched off")

// muffler keeps announcements from the entry instances that the switches leave out.
type muffler struct {
	next  http.RoundTripper
	board *switchboard
}

// RoundTrip sends the request, unless the switches keep it back.
func (m *muffler) RoundTrip(request *http.Request) (*http.Response, error) {
	s := m.board.get()
	left := len(s.AnnounceTo) > 0 && !slices.Contains(s.AnnounceTo, request.URL.Host)
	if s.AnnouncementsStopped || left {
		return nil, errMuffled
	}
	return m.next.RoundTrip(request)
}
