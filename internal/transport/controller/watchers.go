package controller

import (
	"sync"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// watchers is the configuration as the streams see it, and who watches.
type watchers struct {
	mutex   sync.Mutex
	config  *wire.Config
	changed chan struct{}
	closed  bool
	seen    map[string]*watcherState
}

type watcherState struct {
	zone     string
	revision uint64
	at       time.Time
}

func newWatchers() *watchers {
	return &watchers{
		config:  &wire.Config{},
		changed: make(chan struct{}),
		seen:    map[string]*watcherState{},
	}
}

// publish wakes every stream when the revision has moved.
func (w *watchers) publish(config *wire.Config) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if config.GetRevision() == w.config.GetRevision() || w.closed {
		return
	}
	w.config = config
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watchers) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	close(w.changed)
}

// current returns the configuration, what is closed when it changes, and whether streams are to end.
func (w *watchers) current() (*wire.Config, <-chan struct{}, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.config, w.changed, w.closed
}

func (w *watchers) note(instance, zone string, revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seen[instance] = &watcherState{
		zone:     zone,
		revision: revision,
		at:       time.Now(),
	}
}

func (w *watchers) statuses() []*wire.InstanceStatus {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*wire.InstanceStatus
	for name, state := range w.seen {
		list = append(list, &wire.InstanceStatus{
			Instance:  name,
			Zone:      state.zone,
			Revision:  state.revision,
			SeenMsAgo: uint64(time.Since(state.at).Milliseconds()),
		})
	}
	return list
}
