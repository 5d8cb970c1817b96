package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
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
	eventQueueSize = 1024
	// maxExtraEvents bounds the queued events that are handled together with the first one.
	maxExtraEvents        = 128
	tickInterval          = 10 * time.Millisecond
	heartbeatsPerElection = 5
	leaseFraction         = 0.8
	// snapshotEntries is the log length from which a snapshot is taken.
	snapshotEntries = 5000
	// dialTimeout limits the opening of a connection to another control instance. 300 ms, as between other instances, was too short while an instance had no processor time left; each call that finds no connection dials again, so that a longer timeout delays none.
	dialTimeout = time.Second
	// gaugeInterval is the interval at which the gauges are updated.
	gaugeInterval = time.Second
	// snapshotBytes is the size of the log in memory from which a snapshot is taken; a few large publications reach it.
	snapshotBytes = 2 << 20
	// snapshotRetryDelay is the delay before a snapshot that could not be prepared is attempted again.
	snapshotRetryDelay = time.Second
	// identitySuffixLength is the length in characters of the random suffix that distinguishes a new identity from the lost one.
	identitySuffixLength = 8
)

// Controller is a running control instance.
type Controller struct {
	settings *checker.ControlSettings
	// id is the identity in the journal. It differs from the instance name in the settings once the disk has been lost.
	id      string
	log     logr.Logger
	store   *storer.Storer
	machine *journaler.Machine
	state   *applier.Applier
	events  chan event
	// messages holds the journal's messages, which the event loop handles before all other events.
	messages        chan *wire.JournalMessage
	waiters         map[uint64]waiter
	outboxes        map[string]*outbox
	retiredOutboxes []*outbox
	watchers        *watchers
	inFlight        commandTracker
	addresses       *addresses
	joiner          *joiner
	archiver        *archiver.Archiver
	snapshotter     *snapshotter
	// isSnapshotting is set while a snapshot is being prepared.
	isSnapshotting bool
	// installing is the prepared snapshot that the disk has not taken yet, or nil. The next one is written to the same file.
	installing *wire.JournalSnapshot
	// nextSnapshotAt is when a snapshot may be attempted again, after one has failed.
	nextSnapshotAt time.Time
	saver          *saver
	// isSaving is set while a batch of actions is being made durable.
	isSaving   bool
	meter      *meter
	leadership leadership
	// members is the membership that was logged last.
	members journaler.Members
	// isLagging is set while this instance has not applied what its leader committed an election timeout ago.
	isLagging    bool
	fatalErr     error
	appliedIndex uint64
	followers    *followers
	tables       *tables
	// lastChanges is the last result of changesFrom.
	lastChanges changes
	admission   *admission
	// hasLeader is a copy of whether this instance is in contact with a leader, for readers outside the event loop.
	hasLeader atomic.Bool
	// leaderChange wakes the commands that wait for a leader.
	leaderChange *changeSignal
	heartbeats   *heartbeats
	lifeSigns    *lifeSigns
	guards       *listener.Guards
	server       *listener.Server
	client       *http.Client
	stop         chan struct{}
	done         chan struct{}
	// drainRevision is the configuration revision at which drainedZones were read.
	drainRevision uint64
	drainedZones  []string
	journalClock  journalClock
	namedServices namedServices
}

// waiter receives the result of a proposed entry once it is applied. The term tells whether the applied entry is the proposed one.
type waiter struct {
	term   uint64
	result chan commandResult
}

// commandResult is the result of applying a command, or the reason why it was not committed.
type commandResult struct {
	result applier.Result
	err    error
}

// event is an input of the event loop; exactly one field is set.
type event struct {
	proposal *proposal
	call     func(now time.Time)
}

// proposal is an entry to append to the journal, with the channel that receives its result.
type proposal struct {
	kind    wire.EntryKind
	payload []byte
	result  chan commandResult
}

// New opens the data folder and starts the instance, which reports its metrics to the scope. services may be nil if no documents are published.
func New(settings *checker.ControlSettings, log logr.Logger, scope tally.Scope, services ServiceLister) (*Controller, error) {
	store, persisted, err := openWithRetry(settings, log)
	if err != nil {
		return nil, fmt.Errorf("control instance %s: %w", settings.Instance, err)
	}
	c := &Controller{
		settings:  settings,
		id:        persisted.HardState.GetId(),
		log:       log.WithName("control").WithValues("instance", settings.Instance, "zone", settings.Zone),
		store:     store,
		state:     applier.New(),
		events:    make(chan event, eventQueueSize),
		messages:  make(chan *wire.JournalMessage, eventQueueSize),
		waiters:   map[uint64]waiter{},
		outboxes:  map[string]*outbox{},
		watchers:  newWatchers(),
		meter:     newMeter(scope),
		followers: newFollowers(),
		addresses: newAddresses(settings),
		client:    listener.NewClientWithDialTimeout(dialTimeout),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		namedServices: namedServices{
			list: services,
		},
	}
	c.guards = listener.NewControlGuards(settings.Resources, c.log, scope)
	c.tables = newTables(c)
	c.leaderChange = newChangeSignal()
	c.admission = newAdmission(c.meter)
	if err := c.restore(persisted); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.archiver, err = archiver.Open(settings.DataFolder, c.outcomesLimitBytes())
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.server, err = c.guards.NewPeersGate(true).NewServer(settings.Listen, c.handler())
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.log.Info("started", "identity", c.id, "address", c.server.Address(), "applied", c.appliedIndex, "last-index", c.machine.LastIndex())
	c.joiner = newJoiner(c)
	c.snapshotter = newSnapshotter(settings.DataFolder, persisted.Snapshot, c.done)
	c.saver = newSaver(store, c.log, c.meter, c.done)
	c.heartbeats = newHeartbeats(c)
	c.lifeSigns = newLifeSigns(c)
	go c.snapshotter.run()
	go c.saver.run()
	go c.run()
	go c.heartbeats.run()
	go c.lifeSigns.run()
	go c.joiner.run()
	return c, nil
}

// openWithRetry opens the data folder and, if the settings allow it, retries while the file system returns errors. A corrupt folder is reported at once.
func openWithRetry(settings *checker.ControlSettings, log logr.Logger) (*storer.Storer, journaler.PersistentState, error) {
	for attempt := 0; ; attempt++ {
		store, persisted, err := openStore(settings)
		var pathErr *fs.PathError
		if err == nil || !errors.As(err, &pathErr) || !settings.RetriesOpen() {
			return store, persisted, err
		}
		if attempt == 0 {
			log.Error(err, "failed to open the data folder; retrying until it succeeds")
		}
		time.Sleep(saveRetryDelay)
	}
}

// openStore opens the data folder. If it is empty, a founder writes the first membership. Any other instance starts under a new identity: its disk may have been lost, and with it the votes that it cast under the old one.
func openStore(settings *checker.ControlSettings) (*storer.Storer, journaler.PersistentState, error) {
	store, persisted, err := storer.Open(settings.DataFolder)
	if !errors.Is(err, storer.ErrNoJournal) {
		return store, persisted, err
	}
	if settings.IsFounder() {
		if err := storer.Form(settings.DataFolder, settings.Listen, settings.FoundingMembers()); err != nil {
			return nil, persisted, err
		}
		return storer.Open(settings.DataFolder)
	}
	if err := storer.FormWithoutMembers(settings.DataFolder, settings.Instance+"-"+uuid.NewString()[:identitySuffixLength]); err != nil {
		return nil, persisted, err
	}
	return storer.Open(settings.DataFolder)
}

// Reload applies changed seeds; all other settings stay as they were at the start.
func (c *Controller) Reload(settings *checker.ControlSettings) {
	c.joiner.setSeeds(settings.ControlAddresses())
}

// Guards returns the guards that bound what clients of the process make it hold.
func (c *Controller) Guards() *listener.Guards { return c.guards }

// Address returns the address that the instance listens on.
func (c *Controller) Address() string { return c.server.Address() }

// Done returns a channel that is closed when the instance has stopped. It stops by itself if a snapshot or a committed entry cannot be applied.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Close stops the instance and returns the error of an earlier stop, if any. Committed entries are durable already.
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
	<-c.lifeSigns.done
	for _, o := range c.outboxes {
		o.close()
	}
	for _, o := range c.retiredOutboxes {
		o.close()
	}
	c.client.CloseIdleConnections()
	return errors.Join(c.fatalErr, c.archiver.Close(), c.store.Close())
}

func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(&controlService{
		controller: c,
	}, listener.CompressLargeReplies()))
	path, fleet := wireconnect.NewFleetServiceHandler(&fleetService{
		controller: c,
	}, listener.CompressLargeReplies())
	mux.Handle(path, fleet)
	mux.Handle(wireconnect.FleetServiceDocumentProcedure, newDocuments(c, fleet))
	mux.Handle(wireconnect.NewJournalServiceHandler(&journalService{
		controller: c,
	}, listener.CompressLargeReplies()))
	return mux
}

func (c *Controller) restore(persisted journaler.PersistentState) error {
	if len(persisted.Snapshot.GetState()) > 0 {
		if err := c.state.Restore(persisted.Snapshot.GetState()); err != nil {
			return err
		}
	}
	c.appliedIndex = persisted.Snapshot.GetIndex()
	election := c.electionTimeout()
	timing := journaler.Timing{
		ElectionTimeout:   election,
		HeartbeatInterval: election / heartbeatsPerElection,
		LeaseDuration:     time.Duration(leaseFraction * float64(election)),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = journaler.New(timing, random, persisted, time.Now())
	if formation := c.settings.Formation; formation != nil {
		c.machine.OpenMembership = true
		c.machine.ToleratedLosses = formation.ToleratedLosses
	}
	return nil
}

func (c *Controller) electionTimeout() time.Duration {
	return time.Duration(c.settings.ElectionTimeoutMs) * time.Millisecond
}

func (c *Controller) run() {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gaugeTicker := time.NewTicker(gaugeInterval)
	defer gaugeTicker.Stop()
	for {
		var err error
		select {
		case <-c.stop:
			c.failWaiters(errClosed)
			return
		case p := <-c.snapshotter.prepared:
			c.completeSnapshot(p)
		case actions := <-c.saver.saved:
			c.isSaving = false
			err = c.completeActions(actions)
		case now := <-gaugeTicker.C:
			c.updateGauges(now)
			// A journal that has filled the disk gets no more entries, which would start it.
			c.startSnapshot()
		case <-ticker.C:
			c.machine.Tick(time.Now())
			c.updateLag(time.Now())
			c.machine.ReconcileMembers(time.Now(), c.state.Catalog.Config().GetControls())
		case message := <-c.messages:
			c.machine.Step(time.Now(), message)
		case e := <-c.events:
			c.handleBatch(e)
		}
		c.handleMessages()
		if err == nil {
			err = c.processActions()
		}
		if err != nil {
			c.log.Error(err, "failed to apply the journal; stopping this instance")
			c.fatalErr = err
			c.failWaiters(errClosed)
			return
		}
	}
}

// handleMessages handles the queued messages of the journal, at most as many as the queue holds.
func (c *Controller) handleMessages() {
	for range eventQueueSize {
		select {
		case message := <-c.messages:
			c.machine.Step(time.Now(), message)
		default:
			return
		}
	}
}

// handleBatch handles the first event and the ones queued behind it, so that a single sync covers many proposals. It returns early when a message of the journal arrives, whose reply must not wait for the other events.
func (c *Controller) handleBatch(first event) {
	// The select statement of the caller may have chosen the event although a message was ready.
	c.handleMessages()
	c.handle(first)
	for range maxExtraEvents {
		if len(c.messages) > 0 {
			return
		}
		select {
		case e := <-c.events:
			c.handle(e)
		default:
			return
		}
	}
}

func (c *Controller) handle(e event) {
	now := time.Now()
	switch {
	case e.proposal != nil:
		c.propose(now, e.proposal)
	case e.call != nil:
		e.call(now)
	}
}

func (c *Controller) propose(now time.Time, p *proposal) {
	index, term, err := c.machine.Propose(now, p.kind, p.payload)
	if err != nil {
		p.result <- commandResult{
			err: err,
		}
		return
	}
	c.waiters[index] = waiter{
		term:   term,
		result: p.result,
	}
}

// processActions passes actions that need a sync to the saver, one batch at a time, and completes the others at once.
func (c *Controller) processActions() error {
	for _, message := range c.machine.TakeEarlyMessages() {
		c.send(message)
	}
	for !c.isSaving {
		actions := c.machine.TakeActions()
		if actions.IsEmpty() {
			c.notifySubscribers()
			return nil
		}
		if actions.NeedsSync() {
			c.isSaving = true
			c.saver.queue <- actions
			return nil
		}
		if err := c.completeActions(actions); err != nil {
			return err
		}
	}
	return nil
}

// completeActions sends the messages and applies the snapshot and entries of actions that are durable.
func (c *Controller) completeActions(actions journaler.Actions) error {
	for _, message := range actions.Messages {
		c.send(message)
	}
	if actions.Snapshot.GetIndex() >= c.installing.GetIndex() {
		c.installing = nil
	}
	if snapshot := actions.Snapshot; snapshot != nil && snapshot.GetIndex() > c.appliedIndex {
		if err := c.state.Restore(snapshot.GetState()); err != nil {
			return err
		}
		c.appliedIndex = snapshot.GetIndex()
		c.snapshotter.operations <- copyOperation{
			leaderSnapshot: snapshot,
		}
	}
	if len(actions.CommittedEntries) > 0 {
		c.snapshotter.operations <- copyOperation{
			entries: actions.CommittedEntries,
		}
	}
	if err := c.applyEntries(actions.CommittedEntries); err != nil {
		return err
	}
	c.notifySubscribers()
	c.startSnapshot()
	return nil
}

// notifySubscribers updates the leadership, fails the waiting commands unless this instance is the leader, and publishes the current state to watch streams and followers.
func (c *Controller) notifySubscribers() {
	c.updateLeadership()
	c.updateMembers()
	c.logDrains()
	c.journalTime(time.Now())
	if c.machine.Role() != journaler.Leader {
		c.failWaiters(errLeadershipLost)
	}
	c.addresses.setMembers(c.machine.Members())
	c.watchers.publish(c.state.Catalog.Config())
	c.hasLeader.Store(c.machine.InContact(time.Now()))
	c.followers.publish(c.state.Publisher.Publication().GetVersion(), c.appliedIndex)
}

func (c *Controller) applyEntries(entries []*wire.JournalEntry) error {
	for _, entry := range entries {
		result, err := c.state.Apply(entry)
		if err != nil {
			return err
		}
		c.appliedIndex = entry.GetIndex()
		c.meter.commits.Inc(1)
		c.resolveWaiter(entry, result)
	}
	return nil
}

// resolveWaiter passes the result of an applied entry to the command that waits for it, or an error if another leader's entry took its index.
func (c *Controller) resolveWaiter(entry *wire.JournalEntry, result applier.Result) {
	w, ok := c.waiters[entry.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiters, entry.GetIndex())
	if w.term != entry.GetTerm() {
		w.result <- commandResult{
			err: errOverwritten,
		}
		return
	}
	w.result <- commandResult{
		result: result,
	}
}

// startSnapshot requests a snapshot of the state once the log is long or large enough.
func (c *Controller) startSnapshot() {
	isLarge := c.machine.LogLength() >= snapshotEntries || c.machine.LogBytes() >= snapshotBytes
	if c.isSnapshotting || c.installing != nil || !isLarge || time.Now().Before(c.nextSnapshotAt) {
		return
	}
	header := c.machine.SnapshotHeader(c.appliedIndex)
	if header == nil {
		return
	}
	c.isSnapshotting = true
	c.snapshotter.operations <- copyOperation{
		snapshotHeader: header,
	}
}

// completeSnapshot makes a prepared snapshot the current one and compacts the log, or schedules a later attempt if preparing it failed. The log must not grow until then by more than the disk can hold, so the delay is a time, not a number of entries.
func (c *Controller) completeSnapshot(p preparedSnapshot) {
	c.isSnapshotting = false
	if p.err != nil {
		c.log.Error(p.err, "failed to prepare a snapshot; the journal is not compacted", "log-entries", c.machine.LogLength(), "log-bytes", c.machine.LogBytes())
		c.nextSnapshotAt = time.Now().Add(snapshotRetryDelay)
		return
	}
	c.store.UsePreparedSnapshot(p.snapshot)
	if c.machine.Compact(p.snapshot) {
		c.installing = p.snapshot
	}
}

func (c *Controller) failWaiters(err error) {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.result <- commandResult{
			err: err,
		}
	}
}

// send queues the message in the outbox of its recipient, and replaces the outbox if the recipient's address has changed.
func (c *Controller) send(message *wire.JournalMessage) {
	address := c.addresses.find(message.GetTo())
	if address == "" {
		return
	}
	current, ok := c.outboxes[message.GetTo()]
	if ok && current.address != address {
		current.cancel()
		c.retiredOutboxes = append(c.retiredOutboxes, current)
	}
	if !ok || current.address != address {
		current = newOutbox(address, c.client, c.electionTimeout(), c.meter.staleMessages)
		c.outboxes[message.GetTo()] = current
	}
	current.enqueue(message)
}
