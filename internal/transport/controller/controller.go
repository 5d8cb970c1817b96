package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/internal/transport/archiver"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	eventRing        = 1024
	eventBatch       = 128
	tickPeriod       = 10 * time.Millisecond
	beatsPerElection = 5
	leaseShare       = 0.8
	snapshotLag      = 5000
	// measurePeriod is how often what the instance holds is measured.
	measurePeriod = time.Second
	// snapshotBytes is the size of the entries in memory from which a snapshot replaces them: a few large publications.
	snapshotBytes = 2 << 20
	// suffixSize is the length of what sets a new identity apart from the lost one, in characters.
	suffixSize = 8
)

// Controller is one running control instance.
type Controller struct {
	settings *checker.Control
	// id is the identity in the journal, which differs from the settings' name after a lost disk.
	id          string
	log         logr.Logger
	store       *storer.Storer
	machine     *journaler.Machine
	state       *applier.Applier
	events      chan event
	waiting     map[uint64]waiter
	outboxes    map[string]*outbox
	retired     []*outbox
	watchers    *watchers
	pending     pending
	addresses   *addresses
	joiner      *joiner
	archiver    *archiver.Archiver
	snapshotter *snapshotter
	// snapshotting is set while a snapshot is being prepared.
	snapshotting bool
	// compactAfter is the number of entries before which no snapshot is tried again after one failed.
	compactAfter int
	saver        *saver
	// saving is set while a batch of actions is being made durable.
	saving     bool
	meter      *meter
	standing   standing
	failure    error
	applied    uint64
	followers  *followers
	heartbeats *heartbeats
	server     *listener.Server
	client     *http.Client
	stop       chan struct{}
	done       chan struct{}
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

// New opens the data folder and starts the instance, which counts in the scope.
func New(settings *checker.Control, log logr.Logger, scope tally.Scope) (*Controller, error) {
	store, saved, err := openPatiently(settings, log)
	if err != nil {
		return nil, fmt.Errorf("control instance %s: %w", settings.Instance, err)
	}
	c := &Controller{
		settings:  settings,
		id:        saved.HardState.GetId(),
		log:       log.WithName("control").WithValues("instance", settings.Instance, "zone", settings.Zone),
		store:     store,
		state:     applier.New(),
		events:    make(chan event, eventRing),
		waiting:   map[uint64]waiter{},
		outboxes:  map[string]*outbox{},
		watchers:  newWatchers(),
		meter:     newMeter(scope),
		followers: newFollowers(),
		addresses: newAddresses(settings),
		client:    listener.NewClient(),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	if err := c.restore(saved); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.archiver, err = archiver.Open(settings.DataFolder, c.outcomesLimit())
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.server, err = listener.New(settings.Listen, c.handler())
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.log.Info("started", "identity", c.id, "address", c.server.Address(), "applied", c.applied, "last-index", c.machine.LastIndex())
	c.joiner = newJoiner(c)
	c.snapshotter = newSnapshotter(settings.DataFolder, saved.Snapshot, c.done)
	c.saver = newSaver(store, c.log, c.meter, c.done)
	c.heartbeats = newHeartbeats(c)
	go c.snapshotter.run()
	go c.saver.run()
	go c.run()
	go c.heartbeats.run()
	go c.joiner.run()
	return c, nil
}

// openPatiently opens the data folder, and waits where its disk refuses or stalls; a corrupt one is an error at once.
func openPatiently(settings *checker.Control, log logr.Logger) (*storer.Storer, journaler.PersistentState, error) {
	for attempt := 0; ; attempt++ {
		store, saved, err := open(settings)
		var path *fs.PathError
		if err == nil || !errors.As(err, &path) || !settings.Waits() {
			return store, saved, err
		}
		if attempt == 0 {
			log.Error(err, "data folder cannot be opened; trying again until it can")
		}
		time.Sleep(saveAgain)
	}
}

// open opens the data folder; where it is empty, its disk was lost, and the instance starts under an identity of which nobody remembers a vote.
func open(settings *checker.Control) (*storer.Storer, journaler.PersistentState, error) {
	store, saved, err := storer.Open(settings.DataFolder)
	if !errors.Is(err, storer.ErrEmpty) {
		return store, saved, err
	}
	if settings.Forms() {
		if err := storer.Form(settings.DataFolder, settings.Listen, settings.Founders()); err != nil {
			return nil, saved, err
		}
		return storer.Open(settings.DataFolder)
	}
	if err := storer.FormBlank(settings.DataFolder, settings.Instance+"-"+uuid.NewString()[:suffixSize]); err != nil {
		return nil, saved, err
	}
	return storer.Open(settings.DataFolder)
}

// Reload takes changed seeds; everything else stays as it was at the start.
func (c *Controller) Reload(settings *checker.Control) { c.joiner.reseed(settings.Others()) }

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
	<-c.snapshotter.done
	<-c.saver.done
	<-c.heartbeats.done
	for _, o := range c.outboxes {
		o.close()
	}
	for _, o := range c.retired {
		o.close()
	}
	c.client.CloseIdleConnections()
	return errors.Join(c.failure, c.archiver.Close(), c.store.Close())
}

func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(&controlService{
		controller: c,
	}, listener.Plain()))
	mux.Handle(wireconnect.NewFleetServiceHandler(&fleetService{
		controller: c,
	}, listener.Plain()))
	mux.Handle(wireconnect.NewJournalServiceHandler(&journalService{
		controller: c,
	}, listener.Plain()))
	return mux
}

func (c *Controller) restore(saved journaler.PersistentState) error {
	if len(saved.Snapshot.GetState()) > 0 {
		if err := c.state.Restore(saved.Snapshot.GetState()); err != nil {
			return err
		}
	}
	c.applied = saved.Snapshot.GetIndex()
	election := time.Duration(c.settings.ElectionTimeoutMs) * time.Millisecond
	timing := journaler.Timing{
		ElectionTimeout:   election,
		HeartbeatInterval: election / beatsPerElection,
		LeaseDuration:     time.Duration(leaseShare * float64(election)),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = journaler.New(timing, random, saved, time.Now())
	c.machine.OpenMembership = c.settings.Formation != nil
	return nil
}

func (c *Controller) run() {
	defer close(c.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	measures := time.NewTicker(measurePeriod)
	defer measures.Stop()
	for {
		var err error
		select {
		case <-c.stop:
			c.failWaiting(errClosed)
			return
		case p := <-c.snapshotter.prepared:
			c.takePrepared(p)
		case actions := <-c.saver.saved:
			c.saving = false
			err = c.finish(actions)
		case now := <-measures.C:
			c.measure(now)
		case <-ticker.C:
			c.machine.Tick(time.Now())
			c.machine.ReconcileMembers(time.Now(), c.state.Catalog.Config().GetControls())
		case e := <-c.events:
			c.takeBatch(e)
		}
		if err == nil {
			err = c.carryOut()
		}
		if err != nil {
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

// carryOut hands what the machine wants to be durable to the saver, one batch at a time; what needs no write goes on at once.
func (c *Controller) carryOut() error {
	for !c.saving {
		actions := c.machine.TakeActions()
		if actions.IsEmpty() {
			c.publish()
			return nil
		}
		if actions.NeedsSync() {
			c.saving = true
			c.saver.work <- actions
			return nil
		}
		if err := c.finish(actions); err != nil {
			return err
		}
	}
	return nil
}

// finish sends and applies what is durable.
func (c *Controller) finish(actions journaler.Actions) error {
	for _, message := range actions.Messages {
		c.sendTo(message)
	}
	if snapshot := actions.Snapshot; snapshot != nil && snapshot.GetIndex() > c.applied {
		if err := c.state.Restore(snapshot.GetState()); err != nil {
			return err
		}
		c.applied = snapshot.GetIndex()
		c.snapshotter.steps <- copyStep{
			installed: snapshot,
		}
	}
	if len(actions.CommittedEntries) > 0 {
		c.snapshotter.steps <- copyStep{
			entries: actions.CommittedEntries,
		}
	}
	if err := c.apply(actions.CommittedEntries); err != nil {
		return err
	}
	c.publish()
	c.compact()
	return nil
}

// publish tells those who wait of what has changed.
func (c *Controller) publish() {
	c.noteStanding()
	if c.machine.Role() != journaler.Leader {
		c.failWaiting(errLeadershipLost)
	}
	c.addresses.note(c.machine.Members())
	c.watchers.publish(c.state.Catalog.Config())
	c.followers.publish(c.state.Publisher.Publication().GetVersion(), c.applied)
}

func (c *Controller) apply(entries []*wire.JournalEntry) error {
	for _, entry := range entries {
		result, err := c.state.Apply(entry)
		if err != nil {
			return err
		}
		c.applied = entry.GetIndex()
		c.meter.commits.Inc(1)
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

// compact asks for a snapshot of the state once the journal has grown enough.
func (c *Controller) compact() {
	grown := c.machine.LogLength() >= snapshotLag || c.machine.LogBytes() >= snapshotBytes
	if c.snapshotting || !grown || c.machine.LogLength() < c.compactAfter {
		return
	}
	header := c.machine.SnapshotHeader(c.applied)
	if header == nil {
		return
	}
	c.snapshotting = true
	c.snapshotter.steps <- copyStep{
		header: header,
	}
}

// takePrepared puts a snapshot that is written already in force.
func (c *Controller) takePrepared(p preparedSnapshot) {
	c.snapshotting = false
	if p.err != nil {
		c.log.Error(p.err, "snapshot is not durable; the journal is kept whole")
		c.compactAfter = c.machine.LogLength() + snapshotLag
		return
	}
	c.compactAfter = 0
	c.store.TakePrepared(p.snapshot)
	c.machine.Compact(p.snapshot)
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
