package forwarder

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/advertiser"
	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/subscriber"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// longPollDuration is how long a control instance holds a long poll while nothing changes.
	longPollDuration = 500 * time.Millisecond
	// followTimeout is the time for a response beyond the hold of a long poll. It ends calls on connections that no longer deliver anything.
	followTimeout = 400 * time.Millisecond
	// documentTimeout limits the fetch of a configuration.
	documentTimeout = 1500 * time.Millisecond
	// unconfirmedDelay is how long a new instance waits for a confirmed response before it accepts unconfirmed ones if at least two control instances sent one. An update that one of them has missed has usually reached the other.
	unconfirmedDelay = 300 * time.Millisecond
	// singleUnconfirmedDelay is the same delay if only one control instance has responded, which may be partitioned.
	singleUnconfirmedDelay = 1500 * time.Millisecond
	// maxKeptSuspects bounds the suspect requests that are kept for peers; control keeps at most half as many.
	maxKeptSuspects = 1024
	// maxUnconfirmedAge is how long no control instance in contact with a quorum may have confirmed the state before that is logged.
	maxUnconfirmedAge = 2 * time.Second
)

// stateSource is where the first state of an instance came from.
type stateSource string

const (
	stateFromControl stateSource = "control"
	stateFromPeer    stateSource = "peer"
)

// directory keeps the replica table and the routing configuration up to date. A fetcher gets the first state. After that each control instance has a poller: the primary is long-polled for updates, the others are polled at intervals.
type directory struct {
	forwarder *Forwarder
	instance  string
	startedAt time.Time
	// entryInstances is the number of entry instances that share the connections to replicas, assumedConnectingInstances until control reports it. instanceCount delays decreases of the reported number.
	entryInstances atomic.Int64
	instanceCount  *limiter.InstanceCount
	// atomicIndex is a copy of index for readers that don't hold the mutex.
	atomicIndex atomic.Uint64
	fetcher     *stateFetcher
	// peerFollower takes the place of the control instances while none answers.
	peerFollower *peerFollower
	// initializedSignal is closed when the instance has its first state and the pollers may start.
	initializedSignal chan struct{}
	// stateCalls limits the calls of peers for the state.
	stateCalls callLimit

	mutex      sync.Mutex
	subscriber *subscriber.Subscriber
	fallback   *subscriber.Fallback
	// hasTable is set once a complete replica table was received; index is the journal index of the table. initialized is set once the instance may also serve with it.
	hasTable    bool
	initialized bool
	// tablePeer is the peer that sent the first table, empty if a control instance did.
	tablePeer     string
	index         uint64
	configVersion uint64
	// publication is the configuration as received, and packed an encoded form of the replica table at an index that is not above the current one. Both are kept for peers, as are the fields up to confirmedAt.
	publication *wire.Publication
	packed      *packer.Packed
	suspects    map[uint64]*wire.SuspectRequest
	members     []*wire.ControlMember
	entries     []*wire.EntryInstance
	// hasCompleteEntries is set once a control instance that knows all entry instances has listed them.
	hasCompleteEntries bool
	drains             *wire.ZoneDrains
	// controlTimeMs is the time of the journal's clock in the last response, which was received at controlTimeAt.
	controlTimeMs int64
	controlTimeAt time.Time
	// confirmedAt is when a control instance in contact with a quorum last confirmed the state; zero if none has.
	confirmedAt time.Time
	// isUnconfirmed is set while that is longer ago than maxUnconfirmedAge.
	isUnconfirmed bool
	// configReceivedAt is when the configuration was received, and lastAppliedAt is when a response was last applied, even one without changes.
	configReceivedAt time.Time
	lastAppliedAt    time.Time
	replicas         map[string]*wire.Replica
	pollers          map[string]*controlPoller
	// unconfirmed holds the control instances that sent an unconfirmed response before the directory was initialized.
	unconfirmed map[string]bool
	stopping    bool
}

func newDirectory(f *Forwarder) *directory {
	d := &directory{
		forwarder:   f,
		instance:    f.settings.Instance,
		subscriber:  subscriber.New(f.settings.Instance, f.settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		fallback:    subscriber.NewFallback(f.settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		startedAt:   time.Now(),
		replicas:    map[string]*wire.Replica{},
		pollers:     map[string]*controlPoller{},
		unconfirmed: map[string]bool{},
		suspects:    map[uint64]*wire.SuspectRequest{},

		initializedSignal: make(chan struct{}),
	}
	d.fetcher = newStateFetcher(d)
	d.peerFollower = newPeerFollower(d)
	d.instanceCount = limiter.NewInstanceCount(assumedRetryingInstances)
	d.entryInstances.Store(assumedConnectingInstances)
	return d
}

func (d *directory) start() {
	settings := d.forwarder.currentSettings()
	d.addControlInstances(checker.ReplacePort(settings.ControlSeeds, settings.ControlPeers))
	go d.fetcher.run()
	go d.peerFollower.run()
}

func (d *directory) isInitialized() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.initialized
}

// directoryStatus is a snapshot of the directory for the metrics.
type directoryStatus struct {
	configVersion uint64
	configAge     time.Duration
	tableIndex    uint64
	tableAge      time.Duration
	replicas      int
}

func (d *directory) status(now time.Time) directoryStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := directoryStatus{
		configVersion: d.configVersion,
		tableIndex:    d.index,
		replicas:      len(d.replicas),
	}
	if d.configVersion > 0 {
		status.configAge = now.Sub(d.configReceivedAt)
	}
	if d.initialized {
		status.tableAge = now.Sub(d.lastAppliedAt)
	}
	return status
}

// reachability returns how many control instances are known and how many of them answered their last call.
func (d *directory) reachability() advertiser.Reachability {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.subscriber.Reachability()
}

// addControlInstances starts pollers for the control instances that have none.
func (d *directory) addControlInstances(addresses []string) {
	var sources []subscriber.Source
	for _, address := range addresses {
		sources = append(sources, subscriber.Source{
			Address: address,
		})
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.startPollers(d.subscriber.Add(sources))
}

// startPollers starts a poller for each new control instance; the mutex must be held.
func (d *directory) startPollers(added []subscriber.Source) {
	for _, source := range added {
		if d.stopping {
			return
		}
		poller := newControlPoller(d, source.Address)
		d.pollers[source.Address] = poller
		go poller.run()
	}
}

// nextCall returns when and how to call a control instance next.
func (d *directory) nextCall(address string) subscriber.Call {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.subscriber.NextCall(address)
}

// primaryAddresses returns the address of the primary, which also receives the outcome records, or nil if there is no primary.
func (d *directory) primaryAddresses() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if address := d.subscriber.Primary(); address != "" {
		return []string{address}
	}
	return nil
}

// recordAnswer records that a control instance has answered a call and whether a quorum confirms the answer. If that replaces the primary, the new one is polled at once.
func (d *directory) recordAnswer(address string, confirmed bool) {
	if confirmed {
		d.forwarder.allotments.contact.recordConfirmed()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fallback.RecordAnswer(time.Now())
	if next := d.pollers[d.subscriber.RecordAnswer(address, confirmed)]; next != nil {
		next.wake()
	}
}

// recordFailure records a failed call. If the primary has failed, it wakes all pollers, so that the others are polled at once.
func (d *directory) recordFailure(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.subscriber.RecordFailure(address) {
		return
	}
	for _, poller := range d.pollers {
		poller.wake()
	}
}

func (d *directory) close() {
	d.mutex.Lock()
	d.stopping = true
	pollers := make([]*controlPoller, 0, len(d.pollers))
	for _, poller := range d.pollers {
		pollers = append(pollers, poller)
	}
	d.mutex.Unlock()
	d.fetcher.cancel()
	for _, poller := range pollers {
		poller.cancel()
	}
	<-d.fetcher.done
	d.peerFollower.close()
	for _, poller := range pollers {
		<-poller.done
	}
}

// newFollowRequest returns the request to a control instance whose last response had the given roster digest.
func (d *directory) newFollowRequest(holdDuration time.Duration, rosterDigest uint64) *wire.FollowRequest {
	settings := d.forwarder.currentSettings()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &wire.FollowRequest{
		Instance: settings.Instance,
		Zone:     settings.Zone,
		Since:    d.index,
		Version:  d.configVersion,
		HoldMs:   uint32(holdDuration.Milliseconds()),
		Heard:    d.hasTable,
		Address:  settings.ListenPeers,
		Roster:   rosterDigest,

		AcceptsTable: true,
	}
}

// acceptUnconfirmed records an unconfirmed response and reports whether an instance that isn't initialized yet accepts it.
func (d *directory) acceptUnconfirmed(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unconfirmed[address] = true
	elapsed := time.Since(d.startedAt)
	return elapsed >= singleUnconfirmedDelay || elapsed >= unconfirmedDelay && len(d.unconfirmed) > 1
}

func (d *directory) currentVersion() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.configVersion
}

// apply applies a response. An instance that is not initialized holds the state without serving with it until markInitialized is called.
func (d *directory) apply(response *wire.FollowResponse) {
	d.forwarder.drains.apply(response.GetDrains())
	d.forwarder.coldShare.update(time.Now(), response)
	d.applyRoster(response)
	count := d.instanceCount.Update(time.Now(), int(response.GetFollowers()))
	if d.instanceCount.IsKnown() {
		d.entryInstances.Store(int64(count))
	}
	d.forwarder.setEntryInstances(count)
	d.forwarder.updateSuspects(response)
	d.applyReplicas(response)
	if response.GetConfirmed() {
		d.recordConfirmation(time.Now())
	}
}

// recordConfirmation records that a control instance in contact with a quorum confirmed the state at a time.
func (d *directory) recordConfirmation(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// checkConfirmation returns the time since the state was last confirmed, or since the start, and logs when it exceeds maxUnconfirmedAge and when the state is confirmed again.
func (d *directory) checkConfirmation(now time.Time) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	age := now.Sub(d.startedAt)
	if !d.confirmedAt.IsZero() {
		age = now.Sub(d.confirmedAt)
	}
	if isUnconfirmed := age > maxUnconfirmedAge; isUnconfirmed != d.isUnconfirmed {
		d.isUnconfirmed = isUnconfirmed
		reachability := d.subscriber.Reachability()
		d.forwarder.log.Info("confirmation of the state changed", "confirmed", !isUnconfirmed, "age-ms", age.Milliseconds(), "version", d.configVersion, "index", d.index,
			"primary", d.subscriber.Primary(), "control-reached", reachability.Reached, "control-known", reachability.Known)
	}
	return max(age, 0)
}

// markInitialized allows the instance to serve with the state that it holds, after a response of a control instance or a peer.
func (d *directory) markInitialized(from string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.initialized || !d.hasTable {
		return
	}
	d.initialized = true
	source := stateFromControl
	if d.tablePeer != "" {
		source = stateFromPeer
	}
	d.forwarder.meter.recordState(source)
	d.forwarder.log.Info("state received", "source", source, "table-peer", d.tablePeer, "from", from, "index", d.index, "version", d.configVersion,
		"replicas", len(d.replicas), "confirmed", !d.confirmedAt.IsZero(), "after-ms", time.Since(d.startedAt).Milliseconds())
}

// acceptEntries reports whether the response's list of entry instances replaces the known one, and keeps it if so. The list of a control instance that has just started does not replace a complete one.
func (d *directory) acceptEntries(response *wire.FollowResponse) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	isComplete := response.GetFollowers() > 0
	if len(response.GetEntries()) == 0 || d.hasCompleteEntries && !isComplete {
		return false
	}
	d.entries = response.GetEntries()
	d.hasCompleteEntries = isComplete
	return true
}

// applyRoster applies the lists of control and entry instances. The roster of an unconfirmed response only adds control instances, because a partitioned one may list instances that were replaced since.
func (d *directory) applyRoster(response *wire.FollowResponse) {
	if d.acceptEntries(response) {
		d.forwarder.peers.update(response.GetEntries(), response.GetFollowers() > 0)
	}
	var roster []subscriber.Source
	for _, member := range response.GetMembers() {
		roster = append(roster, subscriber.Source{
			Address: member.GetAddress(),
			Zone:    member.GetZone(),
		})
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(response.GetMembers()) > 0 {
		d.members = response.GetMembers()
	}
	d.subscriber.SetEntryInstances(int(d.entryInstances.Load()))
	if !response.GetConfirmed() {
		d.startPollers(d.subscriber.Add(roster))
		return
	}
	change := d.subscriber.ReplaceRoster(response.GetIndex(), roster)
	d.startPollers(change.Added)
	for _, source := range change.Removed {
		d.pollers[source.Address].cancel()
		delete(d.pollers, source.Address)
		d.forwarder.log.Info("control instance replaced", "control", source.Address, "index", response.GetIndex())
	}
}

// applyReplicas applies a complete table or the changed records, unless the response is not newer than the table.
func (d *directory) applyReplicas(response *wire.FollowResponse) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastAppliedAt = time.Now()
	if response.GetDrains().GetRevision() > d.drains.GetRevision() {
		d.drains = response.GetDrains()
	}
	if response.GetIndex() <= d.index && d.hasTable {
		return
	}
	if response.GetWhole() {
		d.removeMissing(response.GetReplicas())
		clear(d.suspects)
	}
	d.keepSuspects(response)
	for _, record := range response.GetReplicas() {
		if current := d.replicas[record.GetId()]; current == nil || current.GetIndex() < record.GetIndex() {
			d.applyReplica(record)
		}
	}
	d.index = response.GetIndex()
	d.atomicIndex.Store(d.index)
	d.hasTable = d.hasTable || response.GetWhole()
}

// keepSuspects keeps the suspect requests of a response for peers; the mutex must be held.
func (d *directory) keepSuspects(response *wire.FollowResponse) {
	if response.GetTimeMs() > 0 {
		d.controlTimeMs = response.GetTimeMs()
		d.controlTimeAt = time.Now()
	}
	for _, suspect := range response.GetSuspects() {
		d.suspects[suspect.GetFingerprint()] = suspect
	}
	for len(d.suspects) > maxKeptSuspects {
		oldest := suspectWithLowestIndex(d.suspects)
		delete(d.suspects, oldest)
	}
}

// suspectWithLowestIndex returns the fingerprint of the record that was changed first.
func suspectWithLowestIndex(suspects map[uint64]*wire.SuspectRequest) uint64 {
	var lowest *wire.SuspectRequest
	for _, suspect := range suspects {
		if lowest == nil || suspect.GetIndex() < lowest.GetIndex() {
			lowest = suspect
		}
	}
	return lowest.GetFingerprint()
}

// removeMissing removes the replicas that are missing from a complete table.
func (d *directory) removeMissing(table []*wire.Replica) {
	listed := make(map[string]bool, len(table))
	for _, replica := range table {
		listed[replica.GetId()] = true
	}
	for id := range d.replicas {
		if !listed[id] {
			delete(d.replicas, id)
			d.forwarder.removeReplica(id)
		}
	}
}

// applyReplica applies a changed record. Only ready and lost replicas stay in the balancer. Records of older builds may describe no replica.
func (d *directory) applyReplica(record *wire.Replica) {
	d.replicas[record.GetId()] = record
	if err := checker.CheckReplica(record); err != nil {
		d.forwarder.log.Info("record describes no replica", "record", record.GetId(), "reason", err.Error(), "index", record.GetIndex())
		d.forwarder.removeReplica(record.GetId())
		return
	}
	if d.initialized {
		d.forwarder.log.Info("replica changed", "replica", record.GetId(), "service", record.GetService(), "address", record.GetAddress(),
			"state", wire.StateName(record.GetState()), "index", record.GetIndex())
	}
	switch record.GetState() {
	case wire.ReplicaState_REPLICA_STATE_READY, wire.ReplicaState_REPLICA_STATE_LOST:
		d.forwarder.putReplica(balancer.Replica{
			ID:      record.GetId(),
			Service: record.GetService(),
			Address: record.GetAddress(),
			Zone:    record.GetZone(),
			Slots:   int(record.GetSlots()),
			BornMs:  record.GetBornMs(),
			Lost:    record.GetState() == wire.ReplicaState_REPLICA_STATE_LOST,

			ColdUntil: d.forwarder.coldShare.localTime(record.GetColdUntilMs()),
		})
	default:
		d.forwarder.removeReplica(record.GetId())
	}
}

func (f *Forwarder) putReplica(replica balancer.Replica) {
	f.mutex.Lock()
	f.balancer.Put(replica)
	f.mutex.Unlock()
	f.preconnector.addReplica(replica)
}

// removeReplica stops sending attempts to a replica; its attempts in flight continue.
func (f *Forwarder) removeReplica(id string) {
	f.mutex.Lock()
	f.balancer.Remove(id)
	f.mutex.Unlock()
	f.exchanger.RemoveReplica(id)
}
