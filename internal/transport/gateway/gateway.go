package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/sender"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	eventQueueSize   = 4096
	resultQueueSize  = 4096
	activeTickPeriod = 5 * time.Millisecond
	// idleTickPeriod is the tick period while no query is in flight, when only leases can expire.
	idleTickPeriod = 50 * time.Millisecond
	// stallThreshold is the time between two turns of the event loop beyond which the process is considered to have
	// stalled.
	stallThreshold = time.Second
)

// Gateway is a running entry instance.
type Gateway struct {
	settings        *checker.EntrySettings
	log             logr.Logger
	machine         *gatherer.Machine
	sender          *sender.Sender
	tracker         *tracker.Tracker
	share           *limiter.Share
	control         *ControlClient
	meter           *meter
	guards          *listener.Guards
	events          chan event
	results         chan sender.Result
	pendingQueries  map[uint64]*pendingQuery
	pendingForwards map[uint64]chan gatherer.ForwardResult
	// ownersVersion is the membership version for which the owners were last updated.
	ownersVersion uint64
	lastQueryID   atomic.Uint64
	lastRunID     atomic.Uint64
	// revision is the revision of the current configuration. revisionFloor is the newest revision that an earlier
	// incarnation of this instance is known to have used.
	revision       atomic.Uint64
	revisionFloor  atomic.Uint64
	isShuttingDown atomic.Bool
	// hasSyncedWithPeer reports whether a repair with a peer has completed. mayOpenConnections reports whether this
	// instance may open connections to upstreams.
	hasSyncedWithPeer  atomic.Bool
	mayOpenConnections atomic.Bool
	startedAt          time.Time
	callers            *listener.Server
	peers              *listener.Server
	gossiper           *gossiper
	watcher            *watcher
	runRecorder        *runRecorder
	outcomes           *outcomeLog
	decisions          *decisionLog
	stopOnce           sync.Once
	// stopBackground stops the watcher and the gossiper. stopLoop stops the event loop after them.
	stopBackground chan struct{}
	stopLoop       chan struct{}
	loopDone       chan struct{}
}

// event is a function that runs in the event loop. Only the event loop accesses the state machine.
type event func(now time.Time)

var errStopping = errors.New("this entry instance is stopping")

// New starts an entry instance. It does not become ready until its configuration is at least as new as the ones it is
// known to have used before.
func New(settings *checker.EntrySettings, log logr.Logger) (*Gateway, error) {
	results := make(chan sender.Result, resultQueueSize)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// Attempt IDs start at a random number, so that a restarted instance does not reuse IDs from before the restart.
	lastAttemptID := rand.Uint64() >> 1
	g := &Gateway{
		settings:        settings,
		log:             log.WithName("entry").WithValues("instance", settings.Instance, "zone", settings.Zone),
		machine:         gatherer.New(registrar.New(), router.New(routingPolicy(settings), random), lastAttemptID),
		share:           limiter.NewShare(time.Now(), len(settings.Peers)),
		control:         NewControlClient(settings.Control),
		meter:           newMeter(),
		events:          make(chan event, eventQueueSize),
		results:         results,
		pendingQueries:  map[uint64]*pendingQuery{},
		pendingForwards: map[uint64]chan gatherer.ForwardResult{},
		startedAt:       time.Now(),
		stopBackground:  make(chan struct{}),
		stopLoop:        make(chan struct{}),
		loopDone:        make(chan struct{}),
	}
	g.lastRunID.Store(rand.Uint64() >> 1)
	g.guards = listener.NewEntryGuards(settings.Resources, g.log, g.meter.scope)
	g.sender = sender.New(results, g.maxOpenConnections)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.tracker = newTracker(settings, g.peers.Address())
	g.machine.Owners = router.NewOwners(router.Instance{
		Name:    settings.Instance,
		Address: g.peers.Address(),
	})
	g.gossiper = newGossiper(g, settings.Peers)
	g.watcher = newWatcher(g)
	g.runRecorder = newRunRecorder(g)
	g.outcomes = &outcomeLog{
		Depositor: depositor.New(settings.Instance, outcomeRecordBounds, g.control.http, g.control.allAddresses, g.meter.scope.Counter("outcome_records_lost"), g.log),
	}
	g.decisions = newDecisionLog(g.log, g.meter.scope.Counter("decision_lines_lost"))
	g.log.Info("started", "callers", g.callers.Address(), "peers", g.peers.Address())
	go g.decisions.run()
	go g.run()
	go g.gossiper.run()
	go g.watcher.run()
	go g.runRecorder.run()
	return g, nil
}

// routingPolicy returns the routing policy from the settings, or two-choices by default.
func routingPolicy(settings *checker.EntrySettings) router.Policy {
	if settings.RoutingPolicy == "" {
		return router.TwoChoices
	}
	return router.Policy(settings.RoutingPolicy)
}

// CallersAddress returns the address that serves callers.
func (g *Gateway) CallersAddress() string { return g.callers.Address() }

// PeersAddress returns the address that serves upstreams and other entry instances.
func (g *Gateway) PeersAddress() string { return g.peers.Address() }

func (g *Gateway) listen() error {
	handler, err := newCallerHandler(g)
	if err != nil {
		return err
	}
	g.callers, err = g.guards.NewCallersGate(true, func() int { return 0 }).NewServer(g.settings.ListenCallers, g.guardCallers(handler))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewAnnouncementServiceHandler(&announcementService{
		gateway: g,
	}, listener.CompressLargeReplies()))
	mux.Handle(wireconnect.NewPeerServiceHandler(&peerService{
		gateway: g,
	}, listener.CompressLargeReplies()))
	g.peers, err = g.guards.NewPeersGate(true).NewServer(g.settings.ListenPeers, mux)
	if err != nil {
		g.callers.Close()
	}
	return err
}

func (g *Gateway) run() {
	defer close(g.loopDone)
	p := newPacer()
	defer p.ticker.Stop()
	lastTurnAt := time.Now()
	for {
		lastTurnAt = g.checkStall(lastTurnAt)
		select {
		case <-g.stopLoop:
			return
		case <-p.ticker.C:
			g.machine.Tick(time.Now())
			p.afterTick(g.machine.InFlight() == 0)
		case e := <-g.events:
			e(time.Now())
		case result := <-g.results:
			g.handleResult(time.Now(), result)
		}
		g.performActions()
		p.afterTurn(g.machine.InFlight() == 0)
	}
}

// checkStall detects that the process has stalled since the last turn of the event loop. It expires the leases that
// ran out meanwhile before any queued event is processed.
func (g *Gateway) checkStall(lastTurnAt time.Time) time.Time {
	now := time.Now()
	if now.Sub(lastTurnAt) > stallThreshold {
		g.log.Info("event loop stalled", "ms", now.Sub(lastTurnAt).Milliseconds())
		g.machine.Registrar.RecordStall(now)
		g.machine.Tick(now)
	}
	return now
}

func (g *Gateway) handleResult(now time.Time, result sender.Result) {
	if result.Forwarded {
		g.handleForwardedResult(now, result)
		return
	}
	if result.Reply != nil {
		g.machine.HandleReply(now, result.Attempt, result.Reply)
		return
	}
	g.machine.HandleFailure(now, result.Attempt, gatherer.Failure{
		Shed:    result.NotStarted != nil && !result.NotStarted.GetLeaving() && !result.NotStarted.GetNotHeld(),
		NotHeld: result.NotStarted.GetNotHeld(),
		Leaving: result.NotStarted.GetLeaving(),
	})
}

func (g *Gateway) performActions() {
	actions := g.machine.TakeActions()
	for _, attempt := range actions.Cancels {
		g.sender.Cancel(attempt)
	}
	for i := range actions.Restarts {
		g.traceRestart(&actions.Restarts[i])
		g.decisions.enqueue(decision{
			restart: &actions.Restarts[i],
		})
	}
	for i, send := range actions.Sends {
		g.traceSend(&actions.Sends[i])
		g.decisions.enqueue(decision{
			send: &actions.Sends[i],
		})
		g.meter.countAttempt(send.Kind)
		g.sendAttempt(&actions.Sends[i])
	}
	for _, result := range actions.ForwardResults {
		g.deliverForwardResult(result)
	}
	for _, answer := range actions.Answers {
		g.deliverAnswer(answer)
	}
}

// deliverAnswer passes an answer to the request that waits for it, if any.
func (g *Gateway) deliverAnswer(answer gatherer.Answer) {
	pending, ok := g.pendingQueries[answer.Query.ID]
	if !ok {
		return
	}
	delete(g.pendingQueries, answer.Query.ID)
	pending.answer <- tracedAnswer{
		answer:    answer,
		decisions: pending.trace.decisions(),
	}
}

// runInLoop runs the event in the event loop and waits until it has finished. It returns an error if the event could
// not be queued before ctx ended, or if the loop stops.
func (g *Gateway) runInLoop(ctx context.Context, e event) error {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		e(now)
		close(finished)
	}
	select {
	case g.events <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.loopDone:
		return errStopping
	}
	select {
	case <-finished:
		return nil
	case <-g.loopDone:
		return errStopping
	}
}

// query runs a search query and returns its answer. It cancels the query when ctx ends.
func (g *Gateway) query(ctx context.Context, query gatherer.Query) (gatherer.Answer, error) {
	query.ID = g.lastQueryID.Add(1)
	pending := &pendingQuery{
		answer: make(chan tracedAnswer, 1),
	}
	err := g.runInLoop(ctx, func(now time.Time) {
		g.pendingQueries[query.ID] = pending
		g.machine.StartQuery(now, query)
	})
	if err != nil {
		return gatherer.Answer{}, err
	}
	select {
	case t := <-pending.answer:
		g.meter.recordAnswer(t.answer)
		g.outcomes.recordQuery(t)
		return t.answer, nil
	case <-ctx.Done():
		g.cancelQuery(query.ID)
		g.outcomes.recordDisconnect(query)
		return gatherer.Answer{}, ctx.Err()
	case <-g.loopDone:
		return gatherer.Answer{}, errStopping
	}
}

func (g *Gateway) cancelQuery(id uint64) {
	_ = g.runInLoop(context.Background(), func(now time.Time) {
		delete(g.pendingQueries, id)
		g.machine.CancelQuery(now, id)
	})
}

// applyConfig applies the configuration if it is newer than the current one, and ignores it otherwise.
func (g *Gateway) applyConfig(config *wire.Config) {
	if config == nil {
		return
	}
	_ = g.runInLoop(context.Background(), func(now time.Time) {
		if !g.machine.Configure(now, config) {
			return
		}
		g.revision.Store(config.GetRevision())
		g.log.Info("configuration in force", "revision", config.GetRevision())
	})
}
