package controller

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/pkg/wire"
)

// followerTTL is how long an entry instance counts as a follower after its last call. It covers several calls.
const followerTTL = 5 * time.Second

const (
	// settleAge is how long this instance records followers before it lists those that it has heard of, and settleDelay how long no new one must have called. All that start together have called by then.
	settleAge   = time.Second
	settleDelay = 500 * time.Millisecond

	// minBatchDelay and maxBatchDelay bound how long a change is held back to be sent with others. They are far below the second within which a change must be known everywhere.
	minBatchDelay = 30 * time.Millisecond
	maxBatchDelay = 200 * time.Millisecond
	// batchDelayPerFollower bounds the responses to some 1,000 a second while changes follow each other, as when a thousand replicas start.
	batchDelayPerFollower = time.Millisecond
	// frequentChanges is the number of changes in a second from which the delay depends on the number of followers.
	frequentChanges = 10
)

// follower is an entry instance and the time of its last call.
type follower struct {
	entry    *wire.EntryInstance
	lastSeen time.Time
}

// followers holds the state that Follow calls wait for to change, and the entry instances that make them.
type followers struct {
	mutex      sync.Mutex
	version    uint64
	index      uint64
	changed    chan struct{}
	byInstance map[string]follower
	// secondStart is when the current second began, in which changeCount changes were published; previousCount is that of the second before.
	secondStart   time.Time
	changeCount   int
	previousCount int
	// startTime is when this instance began to record followers, and addedAt when the last new one called.
	startTime time.Time
	addedAt   time.Time
}

func newFollowers() *followers {
	return &followers{
		changed:    make(chan struct{}),
		byInstance: map[string]follower{},
		startTime:  time.Now(),
	}
}

// publish wakes the held calls if the version or the index has changed.
func (f *followers) publish(version, index uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version == f.version && index == f.index {
		return
	}
	f.countChange(time.Now())
	f.version = version
	f.index = index
	close(f.changed)
	f.changed = make(chan struct{})
}

// countChange counts a change in the current second; the mutex must be held.
func (f *followers) countChange(now time.Time) {
	if elapsed := now.Sub(f.secondStart); elapsed >= time.Second {
		f.previousCount = f.changeCount
		if elapsed >= 2*time.Second {
			f.previousCount = 0
		}
		f.changeCount = 0
		f.secondStart = now
	}
	f.changeCount++
}

// batchDelay returns how long a change is held back to be sent with others.
func (f *followers) batchDelay() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if max(f.changeCount, f.previousCount) < frequentChanges {
		return minBatchDelay
	}
	return min(max(minBatchDelay, time.Duration(len(f.byInstance))*batchDelayPerFollower), maxBatchDelay)
}

// hasState reports whether this instance has applied any entry of the journal.
func (f *followers) hasState() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.index > 0
}

// changeSignal returns a channel that is closed at the next change.
func (f *followers) changeSignal() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// count returns the number of entry instances that have called within followerTTL.
func (f *followers) count(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, follower := range f.byInstance {
		if now.Sub(follower.lastSeen) <= followerTTL {
			count++
		}
	}
	return count
}

// record adds or refreshes a follower and removes the expired ones. It returns the number of followers, or 0 in the first followerTTL after the start, when the number is not reliable yet.
func (f *followers) record(now time.Time, entry *wire.EntryInstance) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, ok := f.byInstance[entry.GetInstance()]; !ok {
		f.addedAt = now
	}
	f.byInstance[entry.GetInstance()] = follower{
		entry:    entry,
		lastSeen: now,
	}
	for name, follower := range f.byInstance {
		if now.Sub(follower.lastSeen) > followerTTL {
			delete(f.byInstance, name)
		}
	}
	if now.Sub(f.startTime) < followerTTL {
		return 0
	}
	return len(f.byInstance)
}

// entries returns the recorded entry instances, sorted by name, or nil while most of those that have started with this instance may still be missing.
func (f *followers) entries(now time.Time) []*wire.EntryInstance {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.Sub(f.startTime) < followerTTL && (now.Sub(f.startTime) < settleAge || now.Sub(f.addedAt) < settleDelay) {
		return nil
	}
	var list []*wire.EntryInstance
	for _, name := range slices.Sorted(maps.Keys(f.byInstance)) {
		list = append(list, f.byInstance[name].entry)
	}
	return list
}

// rosterDigest returns a hash that identifies a set of control and entry instances.
func rosterDigest(members []*wire.ControlMember, entries []*wire.EntryInstance) uint64 {
	hash := xxhash.New()
	for _, member := range members {
		_, _ = hash.WriteString(member.GetId() + " " + member.GetAddress() + "\n")
	}
	for _, entry := range entries {
		_, _ = hash.WriteString(entry.GetInstance() + " " + entry.GetZone() + " " + entry.GetAddress() + "\n")
	}
	return hash.Sum64()
}
