package forwarder

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/advertiser"
	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/subscriber"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// followHold is how long control holds a call while nothing changes.
	followHold = 500 * time.Millisecond
	// followLimit ends a call that is not answered beyond its hold, as on a connection that has gone silent.
	followLimit = 400 * time.Millisecond
	// believeAgain is the pause before a control instance is asked again whose word was not taken.
	believeAgain = 200 * time.Millisecond
	// documentLimit bounds the fetch of a configuration.
	documentLimit = 1500 * time.Millisecond
	// unconfirmedAfter is how long a new instance waits for a control instance in contact with a quorum before it takes the word of two others, since what one has missed another mostly has.
	unconfirmedAfter = 300 * time.Millisecond
	// unconfirmedAloneAfter is the same for the word of a single one, which may be cut off.
	unconfirmedAloneAfter = 1500 * time.Millisecond
)

// directory follows the control instances, one loop each: one brings the news, the others are looked at.
type directory struct {
	forwarder *Forwarder
	started   time.Time
	followers atomic.Int64
	sharers   *limiter.InstanceCount
	// indexNow is index, for those that don't hold the mutex.
	indexNow atomic.Uint64

	mutex      sync.Mutex
	subscriber *subscriber.Subscriber
	known      bool
	index      uint64
	version    uint64
	// versionAt and heardAt are when the version came and when any control instance was heard last.
	versionAt time.Time
	heardAt   time.Time
	records   map[string]*wire.Replica
	control   map[string]*follower
	// unconfirmed are the control instances that have answered without a quorum while nothing was known.
	unconfirmed map[string]bool
	stopping    bool
}

func newDirectory(f *Forwarder) *directory {
	d := &directory{
		forwarder:   f,
		subscriber:  subscriber.New(f.settings.Instance, f.settings.Zone),
		started:     time.Now(),
		records:     map[string]*wire.Replica{},
		control:     map[string]*follower{},
		unconfirmed: map[string]bool{},
	}
	d.sharers = limiter.NewInstanceCount(assumedSharers)
	d.followers.Store(assumedConnectors)
	return d
}

func (d *directory) start() {
	settings := d.forwarder.current()
	d.follow(checker.ReplacePort(settings.ControlSeeds, settings.ControlPeers))
}

func (d *directory) isKnown() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// standing is what is known of control at the moment.
type standing struct {
	version    uint64
	versionAge time.Duration
	index      uint64
	heardAge   time.Duration
	replicas   int
}

func (d *directory) standing(now time.Time) standing {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s := standing{
		version:  d.version,
		index:    d.index,
		replicas: len(d.records),
	}
	if d.version > 0 {
		s.versionAge = now.Sub(d.versionAt)
	}
	if d.known {
		s.heardAge = now.Sub(d.heardAt)
	}
	return s
}

// contact returns how many control instances answer.
func (d *directory) contact() advertiser.Reachability {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.subscriber.Reachability()
}

// follow begins to follow the control instances that are not followed yet.
func (d *directory) follow(addresses []string) {
	var list []subscriber.Source
	for _, address := range addresses {
		list = append(list, subscriber.Source{
			Address: address,
		})
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.begin(d.subscriber.Add(list))
}

// begin starts a loop for each control instance; the mutex is held.
func (d *directory) begin(added []subscriber.Source) {
	for _, source := range added {
		if d.stopping {
			return
		}
		fo := newFollower(d, source.Address)
		d.control[source.Address] = fo
		go fo.run()
	}
}

// next returns what to do about a control instance.
func (d *directory) next(address string) subscriber.Call {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.subscriber.NextCall(address)
}

// newsFrom returns the control instance that brings the news, which takes records too; none while there is none.
func (d *directory) newsFrom() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if address := d.subscriber.Primary(); address != "" {
		return []string{address}
	}
	return nil
}

// answered notes that a control instance has answered.
func (d *directory) answered(address string, confirmed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.subscriber.RecordAnswer(address, confirmed)
}

// failed notes that a call has failed, and has the others asked at once where it was the one that brings the news.
func (d *directory) failed(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.subscriber.RecordFailure(address) {
		return
	}
	for _, fo := range d.control {
		fo.wake()
	}
}

func (d *directory) close() {
	d.mutex.Lock()
	d.stopping = true
	all := make([]*follower, 0, len(d.control))
	for _, fo := range d.control {
		all = append(all, fo)
	}
	d.mutex.Unlock()
	for _, fo := range all {
		fo.cancel()
		<-fo.done
	}
}

// asked returns the call to a control instance that has told the roster last.
func (d *directory) asked(hold time.Duration, roster uint64) *wire.FollowRequest {
	settings := d.forwarder.current()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &wire.FollowRequest{
		Instance: settings.Instance,
		Zone:     settings.Zone,
		Since:    d.index,
		Version:  d.version,
		HoldMs:   uint32(hold.Milliseconds()),
		Heard:    d.known,
		Address:  settings.ListenPeers,
		Roster:   roster,
	}
}

// mayBelieve reports whether an instance that knows nothing yet takes the word of a control instance without a quorum.
func (d *directory) mayBelieve(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unconfirmed[address] = true
	waited := time.Since(d.started)
	return waited >= unconfirmedAloneAfter || waited >= unconfirmedAfter && len(d.unconfirmed) > 1
}

func (d *directory) held() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

func (d *directory) take(response *wire.FollowResponse) {
	d.takeRoster(response)
	count := d.sharers.Update(time.Now(), int(response.GetFollowers()))
	if d.sharers.IsKnown() {
		d.followers.Store(int64(count))
	}
	d.forwarder.share(count)
	d.takeReplicas(response)
}

// takeRoster takes which control and entry instances there are; one that is cut off may name those that were replaced since, and only adds to what is known.
func (d *directory) takeRoster(response *wire.FollowResponse) {
	if len(response.GetEntries()) > 0 {
		d.forwarder.relays.update(response.GetEntries())
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
	d.subscriber.SetEntryInstances(int(d.followers.Load()))
	if !response.GetConfirmed() {
		d.begin(d.subscriber.Add(roster))
		return
	}
	change := d.subscriber.ReplaceRoster(response.GetIndex(), roster)
	d.begin(change.Added)
	for _, source := range change.Removed {
		d.control[source.Address].cancel()
		delete(d.control, source.Address)
		d.forwarder.log.Info("control instance replaced", "control", source.Address, "index", response.GetIndex())
	}
}

func (d *directory) takeReplicas(response *wire.FollowResponse) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heardAt = time.Now()
	if response.GetIndex() <= d.index && d.known {
		return
	}
	if response.GetWhole() {
		d.dropMissing(response.GetReplicas())
	}
	for _, record := range response.GetReplicas() {
		if known := d.records[record.GetId()]; known == nil || known.GetIndex() < record.GetIndex() {
			d.put(record)
		}
	}
	d.index = response.GetIndex()
	d.indexNow.Store(d.index)
	d.known = d.known || response.GetWhole()
}

// dropMissing drops replicas that a whole table of a later place in the journal does not hold.
func (d *directory) dropMissing(whole []*wire.Replica) {
	for id := range d.records {
		if !slices.ContainsFunc(whole, func(r *wire.Replica) bool { return r.GetId() == id }) {
			delete(d.records, id)
			d.forwarder.removeReplica(id)
		}
	}
}

func (d *directory) put(record *wire.Replica) {
	d.records[record.GetId()] = record
	if d.known {
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
			Lost:    record.GetState() == wire.ReplicaState_REPLICA_STATE_LOST,
		})
	default:
		d.forwarder.removeReplica(record.GetId())
	}
}

func (f *Forwarder) putReplica(replica balancer.Replica) {
	f.mutex.Lock()
	f.balancer.Put(replica)
	f.mutex.Unlock()
	f.warmer.add(replica)
}

// removeReplica takes a replica out of use; attempts in flight end as they will.
func (f *Forwarder) removeReplica(id string) {
	f.mutex.Lock()
	f.balancer.Remove(id)
	f.mutex.Unlock()
	f.exchanger.RemoveReplica(id)
}
