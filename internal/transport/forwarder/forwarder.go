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
	"pimentogate.example/pimentogate/internal/coordination/apportioner"
	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
)

// Protocol adapts an entry instance to the protocol that a platform uses with callers and replicas.
type Protocol struct {
	// DecodeDocument parses the document of a publication.
	DecodeDocument func(document []byte) (*matcher.RoutingTable, error)
	Codec          exchanger.Codec
	// CallerHandler returns the handler for callers, and ReadinessHandler the one for the load balancer in front of this instance.
	CallerHandler    func(*Forwarder) http.Handler
	ReadinessHandler func(*Forwarder) http.Handler
}

// Forwarder is a running entry instance.
type Forwarder struct {
	settings     *checker.ForwarderSettings
	zone         string
	log          logr.Logger
	protocol     Protocol
	exchanger    *exchanger.Exchanger
	routingTable atomic.Pointer[matcher.RoutingTable]
	stopping     atomic.Bool
	inFlight     atomic.Int64
	// droppedLines returns how many log lines were dropped; it may be nil.
	droppedLines func() int64

	// mutex guards the settings, the fields below up to entryInstances, and the state of active requests and relays.
	mutex        sync.Mutex
	balancer     *balancer.Balancer
	screener     *screener.Screener
	diverter     *diverter.Diverter
	retryBudgets map[string]*limiter.Window
	policies     *scatterer.Policies
	advertiser   *advertiser.Advertiser
	withdrawn    bool
	// entryInstances is the number of entry instances that share the retry budgets and the rate limits of replicas.
	entryInstances int

	guards       *listener.Guards
	directory    *directory
	drains       *drains
	coldShare    *coldShare
	callers      *callerServer
	readiness    *listener.Server
	metrics      *listener.Server
	meter        *meter
	requestLog   *requestLogger
	peers        *peers
	gauges       *gaugeSampler
	preconnector *preconnector
	crashes      *crashReporter
	isolation    *isolationMonitor
	allotments   *allotments
	records      *depositor.Depositor
	ending       *ending
	stop         chan struct{}
	done         chan struct{}
}

// New starts an entry instance, which is ready once it has received the routes and replicas. droppedLines returns how many log lines were dropped; it may be nil.
func New(settings *checker.ForwarderSettings, log logr.Logger, protocol Protocol, droppedLines func() int64) (*Forwarder, error) {
	f := &Forwarder{
		droppedLines:   droppedLines,
		settings:       settings,
		zone:           settings.Zone,
		log:            log.WithName("entry").WithValues("instance", settings.Instance, "zone", settings.Zone),
		protocol:       protocol,
		balancer:       balancer.New(settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		screener:       screener.New(time.Now()),
		diverter:       diverter.New(settings.Instance, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		retryBudgets:   map[string]*limiter.Window{},
		entryInstances: assumedRetryingInstances,
		advertiser:     advertiser.New(),
		meter:          newMeter(),
		ending:         newEnding(),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
	}
	f.policies = &scatterer.Policies{
		Balancer:        f.balancer,
		Screener:        f.screener,
		Shedder:         shedder.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Apportioner:     apportioner.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		RetryBudget:     f.retryBudget,
		CallerAllowance: time.Duration(settings.CallerAllowanceMs) * time.Millisecond,
		Overrun:         &scatterer.Overrun{},
		ZoneRegions:     settings.ZoneRegions,
	}
	f.guards = listener.NewEntryGuards(settings.Resources, f.log, f.meter.reporter.Scope)
	f.balancer.SetInstances(f.entryInstances)
	f.drains = newDrains(f)
	f.coldShare = newColdShare(f)
	f.exchanger = exchanger.New(protocol.Codec, f.connectionLimit, f.drains.accepts, f.recordConnection)
	f.directory = newDirectory(f)
	f.requestLog = newRequestLogger(f.log, f.meter)
	f.peers = newPeers(f)
	f.gauges = newGaugeSampler(f)
	f.preconnector = newPreconnector(f)
	f.crashes = newCrashReporter(f)
	f.isolation = newIsolationMonitor(f)
	f.allotments = newAllotments(f)
	f.SetUseListener(f.recordUse)
	if err := f.listen(); err != nil {
		return nil, err
	}
	f.directory.start()
	go f.gauges.run()
	go f.preconnector.run()
	go f.crashes.run()
	go f.isolation.run()
	go f.allotments.run()
	f.records = depositor.New(settings.Instance, outcomeRecordBounds, listener.NewClient(), f.directory.primaryAddresses, f.meter.recordsLost, f.log)
	f.log.Info("started", "callers", settings.ListenCallers, "readiness", settings.ListenReadiness)
	return f, nil
}

func (f *Forwarder) listen() error {
	var err error
	if f.callers, err = newCallerServer(f.settings.ListenCallers, f.protocol.CallerHandler(f), f.guards.NewCallersGate(false, f.maxHeaderBytes)); err != nil {
		return err
	}
	if err = f.peers.listen(); err != nil {
		return err
	}
	if f.readiness, err = f.guards.NewReadinessGate().NewServer(f.settings.ListenReadiness, f.protocol.ReadinessHandler(f)); err != nil {
		return err
	}
	f.metrics, err = f.guards.NewMetricsGate().NewServer(f.settings.ListenMetrics, f.meter.handler)
	return err
}

// maxHeaderBytes returns the largest request line and header of the configuration, in bytes, or 0 if there is no limit.
func (f *Forwarder) maxHeaderBytes() int {
	table := f.routingTable.Load()
	if table == nil {
		return 0
	}
	return max(0, table.Limits.MaxHeaderBytes)
}

// IsReady reports whether the instance accepts callers' requests.
func (f *Forwarder) IsReady() bool {
	return !f.stopping.Load() && f.routingTable.Load() != nil && f.directory.isInitialized() && !f.isWithdrawn()
}

// ShouldCloseConnections reports whether callers are to close their connections, because the instance is stopping or is withdrawn.
func (f *Forwarder) ShouldCloseConnections() bool {
	return f.stopping.Load() || f.isWithdrawn()
}

// isWithdrawn reports whether the instance is not to be advertised to callers, because it is isolated from control and most recent requests failed.
func (f *Forwarder) isWithdrawn() bool {
	reachability := f.directory.reachability()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	withdrawn := !f.advertiser.ShouldAdvertise(time.Now(), reachability)
	if withdrawn != f.withdrawn {
		f.withdrawn = withdrawn
		f.log.Info("readiness for callers changed", "ready", !withdrawn, "control-reached", reachability.Reached, "control-known", reachability.Known)
	}
	return withdrawn
}

// InFlight returns how many requests of callers and calls of peers are in progress.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load() + f.peers.callsInFlight.Load()) }

// RecordUnmatched counts a request that matches no route.
func (f *Forwarder) RecordUnmatched() { f.meter.requestsWithoutRoute.Inc(1) }

// RecordUnauthorized counts and logs a request without a valid key.
func (f *Forwarder) RecordUnauthorized(requestID, route string, hasKey bool) {
	f.meter.requestsUnauthorized.Inc(1)
	f.log.Info("request unauthorized", "request", loggedID(requestID), "route", route, "has-key", hasKey)
}

// recordUse tells the fair shares what an organisation uses in this availability zone.
func (f *Forwarder) recordUse(organisation string, usedPerSecond, usualPerSecond float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.policies.Apportioner.Observe(time.Now(), organisation, usedPerSecond, usualPerSecond)
}

// RoutingTable returns the current routing table, or nil if there is none yet.
func (f *Forwarder) RoutingTable() *matcher.RoutingTable { return f.routingTable.Load() }

// Reload applies changed settings. The instance keeps listening on the addresses it was started with.
func (f *Forwarder) Reload(settings *checker.ForwarderSettings) {
	f.mutex.Lock()
	f.settings = settings
	f.policies.CallerAllowance = time.Duration(settings.CallerAllowanceMs) * time.Millisecond
	f.policies.ZoneRegions = settings.ZoneRegions
	f.updateRetryLimits()
	f.updateColdPolicy()
	f.mutex.Unlock()
	f.allotments.reconfigure()
	f.directory.addControlInstances(checker.ReplacePort(settings.ControlSeeds, settings.ControlPeers))
}

func (f *Forwarder) currentSettings() *checker.ForwarderSettings {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.settings
}

// GracePeriod returns how long a shutdown may take by the current settings.
func (f *Forwarder) GracePeriod() time.Duration {
	return time.Duration(f.currentSettings().GraceMs) * time.Millisecond
}

// Shutdown drains the instance and stops it once every request in flight is answered. Shortly before the deadline of ctx, the requests still in flight are answered with what has arrived by then.
func (f *Forwarder) Shutdown(ctx context.Context) {
	f.log.Info("stopping")
	if deadline, ok := ctx.Deadline(); ok {
		defer f.ending.start(deadline)()
	}
	f.stopping.Store(true)
	f.callers.shutdown(ctx, f.drainDuration())
	close(f.stop)
	f.records.Close()
	f.directory.close()
	f.allotments.close()
	f.peers.close()
	f.gauges.close()
	f.preconnector.close()
	f.crashes.close()
	f.isolation.close()
	f.requestLog.close()
	f.readiness.Close()
	f.metrics.Close()
	f.meter.reporter.Close()
	f.log.Info("stopped")
}

// drainDuration returns how long callers are still served after the shutdown has started.
func (f *Forwarder) drainDuration() time.Duration {
	settings := f.currentSettings()
	if settings.DrainMs > 0 {
		return time.Duration(settings.DrainMs) * time.Millisecond
	}
	return f.GracePeriod() / 2
}
