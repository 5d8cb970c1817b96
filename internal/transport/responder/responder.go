package responder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/announcer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const announcePeriod = 500 * time.Millisecond

// Started is the stand-in's own record of a non-idempotent request that it started.
type Started struct {
	Key     string `json:"key"`
	Attempt uint64 `json:"attempt"`
	TimeMs  int64  `json:"time-ms"`
}

// Record is everything the stand-in has started.
type Record struct {
	Runs     []Started `json:"runs"`
	Searches int64     `json:"searches"`
}

// Responder is one running stand-in.
type Responder struct {
	settings  *checker.Standin
	log       logr.Logger
	server    *listener.Server
	announcer *announcer.Announcer
	slots     chan struct{}
	inFlight  atomic.Int32
	leaving   atomic.Bool
	searches  atomic.Int64
	mutex     sync.Mutex
	runs      []Started
}

// New starts a stand-in that announces itself.
func New(settings *checker.Standin, log logr.Logger) (*Responder, error) {
	r := &Responder{
		settings: settings,
		log:      log.WithName("standin").WithValues("upstream", settings.Upstream),
		slots:    make(chan struct{}, settings.Slots),
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewUpstreamServiceHandler(r))
	mux.HandleFunc("GET /record", r.serveRecord)
	server, err := listener.New(settings.Listen, mux)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", settings.Upstream, err)
	}
	r.server = server
	r.announcer = announcer.New(listener.NewClient(), settings.Entries, announcePeriod, r.announcement(), func(err error) {
		r.log.V(1).Info("announcement refused", "error", err.Error())
	})
	r.log.Info("started", "address", server.Address())
	return r, nil
}

// Address returns where the stand-in is served.
func (r *Responder) Address() string { return r.server.Address() }

// Leave announces that it takes no new work, answers what is in flight, and ends.
func (r *Responder) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	r.announcer.Leave()
	return r.server.Shutdown(ctx)
}

// Search answers for one shard in one version.
func (r *Responder) Search(ctx context.Context, request *connect.Request[wire.SearchRequest]) (*connect.Response[wire.SearchResponse], error) {
	ask := request.Msg
	if err := r.admit(ask.GetService(), ask.GetShard(), ask.GetVersion()); err != nil {
		return nil, err
	}
	if err := r.work(ctx); err != nil {
		return nil, err
	}
	r.searches.Add(1)
	rows := Rows(ask.GetService(), ask.GetShard(), ask.GetVersion(), ask.GetQuery(), int(ask.GetLimit()), int(r.settings.RowsPerShard))
	return connect.NewResponse(&wire.SearchResponse{
		Attempt:  ask.GetAttempt(),
		Shard:    ask.GetShard(),
		Version:  ask.GetVersion(),
		Rows:     rows,
		RowCount: uint32(len(rows)),
		Complete: true,
		InFlight: uint32(r.inFlight.Load()),
		Leaving:  r.leaving.Load(),
	}), nil
}

// Run runs a non-idempotent request, and notes that it started.
func (r *Responder) Run(ctx context.Context, request *connect.Request[wire.RunRequest]) (*connect.Response[wire.RunResponse], error) {
	ask := request.Msg
	if r.leaving.Load() {
		return nil, refusal(&wire.NotStarted{
			Reason:  "leaving",
			Leaving: true,
		})
	}
	r.noteStart(ask)
	if err := r.work(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.RunResponse{
		Attempt: ask.GetAttempt(),
		Result:  fmt.Sprintf("%s ran %s", r.settings.Upstream, ask.GetKey()),
	}), nil
}

func (r *Responder) noteStart(ask *wire.RunRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, Started{
		Key:     ask.GetKey(),
		Attempt: ask.GetAttempt(),
		TimeMs:  time.Now().UnixMilli(),
	})
}

func (r *Responder) serveRecord(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Record{
		Runs:     r.runs,
		Searches: r.searches.Load(),
	})
}

func (r *Responder) admit(service, shard string, version uint64) error {
	if r.leaving.Load() {
		return refusal(&wire.NotStarted{
			Reason:  "leaving",
			Leaving: true,
		})
	}
	if service != r.settings.Service || version != r.settings.Version || !slices.Contains(r.settings.Shards, shard) {
		return refusal(&wire.NotStarted{
			Reason:  "not held here",
			NotHeld: true,
		})
	}
	return nil
}

// work takes a slot and holds it as long as the work lasts.
func (r *Responder) work(ctx context.Context) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.slots }()
	select {
	case <-time.After(time.Duration(r.settings.WorkMs * float64(time.Millisecond))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// advertised is where entry instances reach the stand-in, which may be through a proxy.
func (r *Responder) advertised() string {
	if r.settings.Advertise != "" {
		return r.settings.Advertise
	}
	return r.server.Address()
}

func (r *Responder) announcement() *wire.Announcement {
	ann := &wire.Announcement{
		Upstream:    r.settings.Upstream,
		Address:     r.advertised(),
		Zone:        r.settings.Zone,
		Slots:       r.settings.Slots,
		Connections: r.settings.Connections,
	}
	manifest := &wire.Manifest{
		Service: r.settings.Service,
		Version: r.settings.Version,
	}
	for _, shard := range r.settings.Manifest {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  shard.Shard,
			Weight: shard.Weight,
		})
	}
	ann.Manifests = []*wire.Manifest{manifest}
	for _, shard := range r.settings.Shards {
		ann.Holdings = append(ann.Holdings, &wire.Holding{
			Service: r.settings.Service,
			Version: r.settings.Version,
			Shard:   shard,
		})
	}
	return ann
}

// refusal is the stand-in's word that it started nothing.
func refusal(word *wire.NotStarted) error {
	refused := connect.NewError(connect.CodeUnavailable, errors.New(word.GetReason()))
	detail, err := connect.NewErrorDetail(word)
	if err == nil {
		refused.AddDetail(detail)
	}
	return refused
}
