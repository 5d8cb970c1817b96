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
	eventRing  = 4096
	endRing    = 4096
	tickPeriod = 5 * time.Millisecond
	// quietPeriod is the tick while no query is in flight, when only leases can end.
	quietPeriod = 50 * time.Millisecond
	// stallLimit is a gap between two turns of the loop after which the process counts as having stood still.
	stallLimit = time.Second
)

// Gateway is one running entry instance.
type Gateway struct {
	settings  *checker.Entry
	log       logr.Logger
	machine   *gatherer.Machine
	sender    *sender.Sender
	tracker   *tracker.Tracker
	share     *limiter.Share
	control   *ControlClient
	meter     *meter
	events    chan event
	ends      chan sender.Result
	waiting   map[uint64]*waiter
	returning map[uint64]chan gatherer.ForwardResult
	// ownersVersion is the membership that owners were last chosen by.
	ownersVersion uint64
	lastQuery     atomic.Uint64
	lastRun       atomic.Uint64
	// revision is the configuration in force, floor the newest one that was in force here in an earlier life.
	revision atomic.Uint64
	floor    atomic.Uint64
	leaving  atomic.Bool
	// learned says that a peer has told what it knows of upstreams, sharing that connections may be opened.
	learned   atomic.Bool
	sharing   atomic.Bool
	startedAt time.Time
	callers   *listener.Server
	peers     *listener.Server
	spreader  *spreader
	watcher   *watcher
	concluder *concluder
	outcomes  *outcomeLog
	decisions *decisionLog
	stopOnce  sync.Once
	// closing ends the parts that speak to other instances, stop the loop after them.
	closing chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// event is a question to the loop, which alone touches the machine.
type event func(now time.Time)

var errStopping = errors.New("this entry instance is stopping")

// New starts an entry instance; it is ready once it has a configuration that is not older than one it had before.
func New(settings *checker.Entry, log logr.Logger) (*Gateway, error) {
	ends := make(chan sender.Result, endRing)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// Attempt ids start at a random place, so that a restarted instance never meets its own old ones.
	firstAttempt := rand.Uint64() >> 1
	g := &Gateway{
		settings:  settings,
		log:       log.WithName("entry").WithValues("instance", settings.Instance, "zone", settings.Zone),
		machine:   gatherer.New(registrar.New(), router.New(policyOf(settings), random), firstAttempt),
		share:     limiter.NewShare(time.Now(), len(settings.Peers)),
		control:   NewControlClient(settings.Control),
		meter:     newMeter(),
		events:    make(chan event, eventRing),
		ends:      ends,
		waiting:   map[uint64]*waiter{},
		returning: map[uint64]chan gatherer.ForwardResult{},
		startedAt: time.Now(),
		closing:   make(chan struct{}),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	g.lastRun.Store(rand.Uint64() >> 1)
	g.sender = sender.New(ends, g.mayOpen)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.tracker = newTracker(settings, g.peers.Address())
	g.machine.Owners = router.NewOwners(router.Instance{
		Name:    settings.Instance,
		Address: g.peers.Address(),
	})
	g.spreader = newSpreader(g, settings.Peers)
	g.watcher = newWatcher(g)
	g.concluder = newConcluder(g)
	g.outcomes = &outcomeLog{
		Depositor: depositor.New(settings.Instance, outcomeBounds, g.control.http, g.control.all, g.meter.scope.Counter("outcome_records_lost"), g.log),
	}
	g.decisions = newDecisionLog(g.log, g.meter.scope.Counter("decision_lines_lost"))
	g.log.Info("started", "callers", g.callers.Address(), "peers", g.peers.Address())
	go g.decisions.run()
	go g.run()
	go g.spreader.run()
	go g.watcher.run()
	go g.concluder.run()
	return g, nil
}

// policyOf returns the routing policy that the settings name.
func policyOf(settings *checker.Entry) router.Policy {
	if settings.RoutingPolicy == "" {
		return router.TwoChoices
	}
	return router.Policy(settings.RoutingPolicy)
}

// CallersAddress returns where callers are served.
func (g *Gateway) CallersAddress() string { return g.callers.Address() }

// PeersAddress returns where upstreams and other entry instances are served.
func (g *Gateway) PeersAddress() string { return g.peers.Address() }

func (g *Gateway) listen() error {
	app, err := newApp(g)
	if err != nil {
		return err
	}
	g.callers, err = listener.New(g.settings.ListenCallers, g.guard(app))
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
	g.peers, err = listener.New(g.settings.ListenPeers, mux)
	if err != nil {
		g.callers.Close()
	}
	return err
}

func (g *Gateway) run() {
	defer close(g.done)
	p := newPacer()
	defer p.ticker.Stop()
	last := time.Now()
	for {
		last = g.noteStall(last)
		select {
		case <-g.stop:
			return
		case <-p.ticker.C:
			g.machine.Tick(time.Now())
			p.ticked(g.machine.InFlight() == 0)
		case e := <-g.events:
			e(time.Now())
		case end := <-g.ends:
			g.takeEnd(time.Now(), end)
		}
		g.carryOut()
		p.took(g.machine.InFlight() == 0)
	}
}

// noteStall ends the leases that ran out while the process stood still before anything that has waited is taken.
func (g *Gateway) noteStall(last time.Time) time.Time {
	now := time.Now()
	if now.Sub(last) > stallLimit {
		g.log.Info("stood still", "ms", now.Sub(last).Milliseconds())
		g.machine.Registrar.RecordStall(now)
		g.machine.Tick(now)
	}
	return now
}

func (g *Gateway) takeEnd(now time.Time, end sender.Result) {
	if end.Forwarded {
		g.takeForwarded(now, end)
		return
	}
	if end.Reply != nil {
		g.machine.HandleReply(now, end.Attempt, end.Reply)
		return
	}
	g.machine.HandleFailure(now, end.Attempt, gatherer.Failure{
		Shed:    end.NotStarted != nil && !end.NotStarted.GetLeaving() && !end.NotStarted.GetNotHeld(),
		NotHeld: end.NotStarted.GetNotHeld(),
		Leaving: end.NotStarted.GetLeaving(),
	})
}

func (g *Gateway) carryOut() {
	actions := g.machine.TakeActions()
	for _, attempt := range actions.Cancels {
		g.sender.Cancel(attempt)
	}
	for i := range actions.Restarts {
		g.traceRestart(&actions.Restarts[i])
		g.decisions.note(decision{
			restart: &actions.Restarts[i],
		})
	}
	for i, send := range actions.Sends {
		g.traceSend(&actions.Sends[i])
		g.decisions.note(decision{
			send: &actions.Sends[i],
		})
		g.meter.attempt(send.Kind)
		g.dispatch(&actions.Sends[i])
	}
	for _, returned := range actions.ForwardResults {
		g.giveBack(returned)
	}
	for _, answer := range actions.Answers {
		g.hand(answer)
	}
}

// hand gives an answer to the request that waits for it.
func (g *Gateway) hand(answer gatherer.Answer) {
	waiting, ok := g.waiting[answer.Query.ID]
	if !ok {
		return
	}
	delete(g.waiting, answer.Query.ID)
	waiting.answer <- traced{
		answer:    answer,
		decisions: waiting.trace.decisions(),
	}
}

// ask runs a question inside the loop and waits for it.
func (g *Gateway) ask(ctx context.Context, question event) error {
	answered := make(chan struct{})
	wrapped := func(now time.Time) {
		question(now)
		close(answered)
	}
	select {
	case g.events <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return errStopping
	}
	select {
	case <-answered:
		return nil
	case <-g.done:
		return errStopping
	}
}

// query runs one search to its answer.
func (g *Gateway) query(ctx context.Context, query gatherer.Query) (gatherer.Answer, error) {
	query.ID = g.lastQuery.Add(1)
	waiting := &waiter{
		answer: make(chan traced, 1),
	}
	err := g.ask(ctx, func(now time.Time) {
		g.waiting[query.ID] = waiting
		g.machine.StartQuery(now, query)
	})
	if err != nil {
		return gatherer.Answer{}, err
	}
	select {
	case t := <-waiting.answer:
		g.meter.answer(t.answer)
		g.outcomes.noteQuery(t)
		return t.answer, nil
	case <-ctx.Done():
		g.abandon(query.ID)
		g.outcomes.noteGone(query)
		return gatherer.Answer{}, ctx.Err()
	case <-g.done:
		return gatherer.Answer{}, errStopping
	}
}

func (g *Gateway) abandon(id uint64) {
	_ = g.ask(context.Background(), func(now time.Time) {
		delete(g.waiting, id)
		g.machine.CancelQuery(now, id)
	})
}

// configure puts a newer configuration in force, and passes over any other.
func (g *Gateway) configure(config *wire.Config) {
	if config == nil {
		return
	}
	_ = g.ask(context.Background(), func(now time.Time) {
		if !g.machine.Configure(now, config) {
			return
		}
		g.revision.Store(config.GetRevision())
		g.log.Info("configuration in force", "revision", config.GetRevision())
	})
}
