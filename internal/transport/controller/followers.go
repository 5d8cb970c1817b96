package controller

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/pkg/wire"
)

// followerLife is how long an entry instance counts as a follower after its last call, in which time it calls several times.
const followerLife = 5 * time.Second

// follower is an entry instance and when it called last.
type follower struct {
	entry *wire.EntryInstance
	at    time.Time
}

// followers is what held calls wait for, and who makes them.
type followers struct {
	mutex   sync.Mutex
	version uint64
	index   uint64
	changed chan struct{}
	seen    map[string]follower
	// started is when this instance began to count.
	started time.Time
}

func newFollowers() *followers {
	return &followers{
		changed: make(chan struct{}),
		seen:    map[string]follower{},
		started: time.Now(),
	}
}

// publish wakes the held calls where the state has moved.
func (f *followers) publish(version, index uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version == f.version && index == f.index {
		return
	}
	f.version = version
	f.index = index
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait returns what is closed at the next change.
func (f *followers) wait() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// count returns how many entry instances have called lately.
func (f *followers) count(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, known := range f.seen {
		if now.Sub(known.at) <= followerLife {
			count++
		}
	}
	return count
}

// note counts an entry instance as a follower, and returns how many there are; 0 while this instance has not listened long enough to know.
func (f *followers) note(now time.Time, entry *wire.EntryInstance) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.seen[entry.GetInstance()] = follower{
		entry: entry,
		at:    now,
	}
	for name, known := range f.seen {
		if now.Sub(known.at) > followerLife {
			delete(f.seen, name)
		}
	}
	if now.Sub(f.started) < followerLife {
		return 0
	}
	return len(f.seen)
}

// entries returns the entry instances that have called lately, in the order of their names.
func (f *followers) entries() []*wire.EntryInstance {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*wire.EntryInstance
	for _, name := range slices.Sorted(maps.Keys(f.seen)) {
		list = append(list, f.seen[name].entry)
	}
	return list
}

// digest tells one set of control and entry instances from another.
func digest(members []*wire.ControlMember, entries []*wire.EntryInstance) uint64 {
	d := xxhash.New()
	for _, member := range members {
		_, _ = d.WriteString(member.GetId() + " " + member.GetAddress() + "\n")
	}
	for _, entry := range entries {
		_, _ = d.WriteString(entry.GetInstance() + " " + entry.GetZone() + " " + entry.GetAddress() + "\n")
	}
	return d.Sum64()
}
