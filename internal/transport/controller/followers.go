package controller

import (
	"sync"
	"time"
)

// followerLife is how long an entry instance counts as a follower after its last call, in which time it calls several times.
const followerLife = 5 * time.Second

// followers is what held calls wait for, and who makes them.
type followers struct {
	mutex   sync.Mutex
	version uint64
	index   uint64
	changed chan struct{}
	seen    map[string]time.Time
	// started is when this instance began to count.
	started time.Time
}

func newFollowers() *followers {
	return &followers{
		changed: make(chan struct{}),
		seen:    map[string]time.Time{},
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
	for _, at := range f.seen {
		if now.Sub(at) <= followerLife {
			count++
		}
	}
	return count
}

// note counts an entry instance as a follower, and returns how many there are; 0 while this instance has not listened long enough to know.
func (f *followers) note(now time.Time, instance string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.seen[instance] = now
	for name, at := range f.seen {
		if now.Sub(at) > followerLife {
			delete(f.seen, name)
		}
	}
	if now.Sub(f.started) < followerLife {
		return 0
	}
	return len(f.seen)
}
