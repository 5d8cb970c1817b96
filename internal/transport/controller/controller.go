package controller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	eventRing   = 1024
	eventBatch  = 128
	tickPeriod  = 10 * time.Millisecond
	heartbeats  = 5
	leaseShare  = 0.8
	snapshotLag = 5000
	// suffixSize is the length of what sets a new identity apart from the lost one, in characters.
	suffixSize = 8
)

// Controller is one running control instance.
type Controller struct {
	settings *checker.Control
	// id is the identity in the journal, which differs from the settings' name after a lost disk.
	id        string
	log       logr.Logger
	store     *storer.Storer
	machine   *journaler.Machine
	state     *applier.Applier
	events    chan event
	waiting   map[uint64]waiter
	outboxes  map[string]*outbox
	retired   []*outbox
	watchers  *watchers
	pending   pending
	addresses *addresses
	joiner    *joiner
	failure   error
	applied   uint64
	server    *listener.Server
	client    *http.Client
	stop      chan struct{}
	done      chan struct{}
}

type waiter struct {
	term   uint64
	answer chan outcome
}

type outcome struct {
	result applier.Result
	err    error
}

// event is one thing for the loop; one field is set.
type event struct {
	message *wire.JournalMessage
	propose *proposal
	ask     func(now time.Time)
}

type proposal struct {
	kind    wire.EntryKind
	payload []byte
	answer  chan outcome
}

// New opens the data folder and starts the instance.
func New(settings *checker.Control, log logr.Logger) (*Controller, error) {
	store, saved, err := open(settings)
	if err != nil {
		return nil, fmt.Errorf("control instance %s: %w", settings.Instance, err)
	}
	c := &Controller{
		settings:  settings,
		id:        saved.Hard.GetId(),
		log:       log.WithName("control").WithValues("instance", settings.Instance, "zone", settings.Zone),
		store:     store,
		state:     applier.New(),
		events:    make(chan event, eventRing),
		waiting:   map[uint64]waiter{},
		outboxes:  map[string]*outbox{},
		watchers:  newWatchers(),
		addresses: newAddresses(settings),
		client:    listener.NewClient(),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	if err := c.restore(saved); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.server, err = listener.New(settings.Listen, c.handler())
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.log.Info("started", "identity", c.id, "address", c.server.Address(), "applied", c.applied, "last-index", c.machine.LastIndex())
	c.joiner = newJoiner(c)
	go c.run()
	go c.joiner.run()
	return c, nil
}

// open opens the data folder; where it is empty, its disk was lost, and the instance starts under an identity of which nobody remembers a vote.
func open(settings *checker.Control) (*storer.Storer, journaler.Saved, error) {
	store, saved, err := storer.Open(settings.DataFolder)
	if !errors.Is(err, storer.ErrEmpty) {
		return store, saved, err
	}
	if err := storer.FormBlank(settings.DataFolder, settings.Instance+"-"+uuid.NewString()[:suffixSize]); err != nil {
		return nil, saved, err
	}
	return storer.Open(settings.DataFolder)
}

// Address returns where the instance is served.
func (c *Controller) Address() string { return c.server.Address() }

// Done is closed when the instance has stopped, which it does by itself when its journal cannot be made durable.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Close ends the instance, and returns why where it had stopped before; what is committed is durable already.
func (c *Controller) Close() error {
	c.drain()
	c.watchers.close()
	c.server.Close()
	close(c.stop)
	<-c.done
	<-c.joiner.done
	for _, o := range c.outboxes {
		o.close()
	}
	for _, o := range c.retired {
		o.close()
	}
	c.client.CloseIdleConnections()
	return errors.Join(c.failure, c.store.Close())
}

func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(&controlService{
		controller: c,
	}, listener.Plain()))
	mux.Handle(wireconnect.NewJournalServiceHandler(&journalService{
		controller: c,
	}, listener.Plain()))
	return mux
}

func (c *Controller) restore(saved journaler.Saved) error {
	if len(saved.Snapshot.GetState()) > 0 {
		if err := c.state.Restore(saved.Snapshot.GetState()); err != nil {
			return err
		}
	}
	c.applied = saved.Snapshot.GetIndex()
	election := time.Duration(c.settings.ElectionTimeoutMs) * time.Millisecond
	timing := journaler.Timing{
		Election:  election,
		Heartbeat: election / heartbeats,
		Lease:     time.Duration(leaseShare * float64(election)),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = journaler.New(timing, random, saved, time.Now())
	return nil
}

func (c *Controller) run() {
	defer close(c.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			c.failWaiting(errClosed)
			return
		case <-ticker.C:
			c.machine.Tick(time.Now())
			c.machine.Follow(time.Now(), c.state.Catalog.Config().GetControls())
		case e := <-c.events:
			c.takeBatch(e)
		}
		if err := c.carryOut(); err != nil {
			c.log.Error(err, "journal could not be made durable; this instance stops")
			c.failure = err
			c.failWaiting(errClosed)
			return
		}
	}
}

// takeBatch takes what else is waiting, so that one sync serves many proposals.
func (c *Controller) takeBatch(first event) {
	c.take(first)
	for range eventBatch {
		select {
		case e := <-c.events:
			c.take(e)
		default:
			return
		}
	}
}

func (c *Controller) take(e event) {
	now := time.Now()
	switch {
	case e.message != nil:
		c.machine.Step(now, e.message)
	case e.propose != nil:
		c.propose(now, e.propose)
	case e.ask != nil:
		e.ask(now)
	}
}

func (c *Controller) propose(now time.Time, p *proposal) {
	index, term, err := c.machine.Propose(now, p.kind, p.payload)
	if err != nil {
		p.answer <- outcome{
			err: err,
		}
		return
	}
	c.waiting[index] = waiter{
		term:   term,
		answer: p.answer,
	}
}

// carryOut syncs before it sends, and sends before it applies.
func (c *Controller) carryOut() error {
	actions := c.machine.Take()
	if err := c.store.Save(actions); err != nil {
		return err
	}
	for _, message := range actions.Messages {
		c.sendTo(message)
	}
	if snapshot := actions.Snapshot; snapshot != nil && snapshot.GetIndex() > c.applied {
		if err := c.state.Restore(snapshot.GetState()); err != nil {
			return err
		}
		c.applied = snapshot.GetIndex()
	}
	if err := c.apply(actions.Committed); err != nil {
		return err
	}
	if c.machine.Role() != journaler.Leader {
		c.failWaiting(errLeadershipLost)
	}
	c.addresses.note(c.machine.Members())
	c.watchers.publish(c.state.Catalog.Config())
	return c.compact()
}

func (c *Controller) apply(entries []*wire.JournalEntry) error {
	for _, entry := range entries {
		result, err := c.state.Apply(entry)
		if err != nil {
			return err
		}
		c.applied = entry.GetIndex()
		c.answer(entry, result)
	}
	return nil
}

func (c *Controller) answer(entry *wire.JournalEntry, result applier.Result) {
	w, ok := c.waiting[entry.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiting, entry.GetIndex())
	if w.term != entry.GetTerm() {
		w.answer <- outcome{
			err: errOverwritten,
		}
		return
	}
	w.answer <- outcome{
		result: result,
	}
}

// compact snapshots the state once the journal has grown enough.
func (c *Controller) compact() error {
	if c.machine.LogSize() < snapshotLag {
		return nil
	}
	encoded, err := c.state.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	c.machine.Compact(c.applied, encoded)
	return c.store.Save(c.machine.Take())
}

func (c *Controller) failWaiting(err error) {
	for index, w := range c.waiting {
		delete(c.waiting, index)
		w.answer <- outcome{
			err: err,
		}
	}
}

func (c *Controller) sendTo(message *wire.JournalMessage) {
	address := c.addresses.of(message.GetTo())
	if address == "" {
		return
	}
	known, ok := c.outboxes[message.GetTo()]
	if ok && known.address != address {
		known.cancel()
		c.retired = append(c.retired, known)
	}
	if !ok || known.address != address {
		known = newOutbox(address, c.client)
		c.outboxes[message.GetTo()] = known
	}
	known.push(message)
}
