package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/advertiser"
	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
)

// Protocol is what a platform speaks with callers and replicas.
type Protocol struct {
	// Decode turns a publication's document into routes.
	Decode func(document []byte) (*matcher.RoutingTable, error)
	Codec  exchanger.Codec
	// Callers serves callers, and Readiness the balancer before this instance.
	Callers   func(*Forwarder) http.Handler
	Readiness func(*Forwarder) http.Handler
}

// Forwarder is one running entry instance.
type Forwarder struct {
	settings  *checker.ForwarderSettings
	zone      string
	log       logr.Logger
	protocol  Protocol
	exchanger *exchanger.Exchanger
	book      atomic.Pointer[matcher.RoutingTable]
	stopping  atomic.Bool
	inFlight  atomic.Int64
	// droppedLines returns how many log lines were dropped; it may be nil.
	droppedLines func() int64

	// mutex guards what decisions are made by.
	mutex      sync.Mutex
	balancer   *balancer.Balancer
	windows    map[string]*limiter.Window
	policies   *scatterer.Policies
	advertiser *advertiser.Advertiser
	withdrawn  bool
	sharers    int

	directory *directory
	callers   *callerServer
	readiness *listener.Server
	metrics   *listener.Server
	meter     *meter
	notes     *notes
	relays    *relays
	gauger    *gauger
	warmer    *warmer
	records   *depositor.Depositor
	stop      chan struct{}
	done      chan struct{}
}

// New starts the instance, which is ready once it has heard of routes and replicas; droppedLines, which may be nil, returns how many log lines were dropped.
func New(settings *checker.ForwarderSettings, log logr.Logger, protocol Protocol, droppedLines func() int64) (*Forwarder, error) {
	f := &Forwarder{
		droppedLines: droppedLines,
		settings:     settings,
		zone:         settings.Zone,
		log:          log.WithName("entry").WithValues("instance", settings.Instance, "zone", settings.Zone),
		protocol:     protocol,
		balancer:     balancer.New(settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		windows:      map[string]*limiter.Window{},
		sharers:      assumedSharers,
		advertiser:   advertiser.New(),
		meter:        newMeter(),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
	}
	f.policies = &scatterer.Policies{
		Balancer:        f.balancer,
		Shedder:         shedder.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		RetryBudget:     f.window,
		CallerAllowance: time.Duration(settings.CallerAllowanceMs) * time.Millisecond,
		Overrun:         &scatterer.Overrun{},
	}
	f.exchanger = exchanger.New(protocol.Codec, f.connectionShare, f.meter.connectionOpened)
	f.directory = newDirectory(f)
	f.notes = newNotes(f.log, f.meter)
	f.relays = newRelays(f)
	f.gauger = newGauger(f)
	f.warmer = newWarmer(f)
	if err := f.listen(); err != nil {
		return nil, err
	}
	f.directory.start()
	go f.gauger.run()
	go f.warmer.run()
	f.records = depositor.New(settings.Instance, recordBounds, listener.NewClient(), f.directory.newsFrom, f.meter.recordsLost, f.log)
	f.log.Info("started", "callers", settings.ListenCallers, "readiness", settings.ListenReadiness)
	return f, nil
}

func (f *Forwarder) listen() error {
	var err error
	if f.callers, err = newCallerServer(f.settings.ListenCallers, f.protocol.Callers(f)); err != nil {
		return err
	}
	if err = f.relays.listen(); err != nil {
		return err
	}
	if f.readiness, err = listener.New(f.settings.ListenReadiness, f.protocol.Readiness(f)); err != nil {
		return err
	}
	f.metrics, err = listener.New(f.settings.ListenMetrics, f.meter.handler)
	return err
}

// IsReady reports whether callers may be sent here.
func (f *Forwarder) IsReady() bool {
	return !f.stopping.Load() && f.book.Load() != nil && f.directory.isKnown() && !f.isWithdrawn()
}

// SendsAway reports whether callers are to use other connections: the instance is about to end, or can't answer most of them.
func (f *Forwarder) SendsAway() bool {
	return f.stopping.Load() || f.isWithdrawn()
}

// isWithdrawn reports whether the instance is cut off and better left alone.
func (f *Forwarder) isWithdrawn() bool {
	contact := f.directory.contact()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	withdrawn := !f.advertiser.ShouldAdvertise(time.Now(), contact)
	if withdrawn != f.withdrawn {
		f.withdrawn = withdrawn
		f.log.Info("advertised to callers", "ready", !withdrawn, "control-reached", contact.Reached, "control-known", contact.Known)
	}
	return withdrawn
}

// Denied counts a request that no route takes.
func (f *Forwarder) Denied() { f.meter.denied.Inc(1) }

// Book returns the routing configuration in force here, or nil.
func (f *Forwarder) Book() *matcher.RoutingTable { return f.book.Load() }

// Reload puts changed settings in force; addresses stay as they were at the start.
func (f *Forwarder) Reload(settings *checker.ForwarderSettings) {
	f.mutex.Lock()
	f.settings = settings
	f.policies.CallerAllowance = time.Duration(settings.CallerAllowanceMs) * time.Millisecond
	f.rate()
	f.mutex.Unlock()
	f.directory.follow(checker.ReplacePort(settings.ControlSeeds, settings.ControlPeers))
}

// current returns the settings in force.
func (f *Forwarder) current() *checker.ForwarderSettings {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.settings
}

// Shutdown turns new callers away, answers every request in flight and ends.
func (f *Forwarder) Shutdown(ctx context.Context) {
	f.log.Info("stopping")
	f.stopping.Store(true)
	f.callers.shutdown(ctx, f.drain())
	close(f.stop)
	f.records.Close()
	f.directory.close()
	f.relays.close()
	f.gauger.close()
	f.warmer.close()
	f.notes.close()
	f.readiness.Close()
	f.metrics.Close()
	f.meter.reporter.Close()
	f.log.Info("stopped")
}

// drain returns how long callers are still served after the instance was told to end.
func (f *Forwarder) drain() time.Duration {
	settings := f.current()
	if settings.DrainMs > 0 {
		return time.Duration(settings.DrainMs) * time.Millisecond
	}
	return time.Duration(settings.GraceMs) * time.Millisecond / 2
}
