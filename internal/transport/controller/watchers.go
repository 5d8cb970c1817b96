package controller

import (
	"sync"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// summaryLife is how long what an entry instance said of the upstreams is used after it was heard last.
const summaryLife = 5 * time.Second

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
	summary  *wire.UpstreamSummary
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

func (w *watchers) note(request *wire.WatchRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	summary := request.GetSummary()
	if known, ok := w.seen[request.GetInstance()]; ok && summary == nil {
		summary = known.summary
	}
	w.seen[request.GetInstance()] = &watcherState{
		zone:     request.GetZone(),
		revision: request.GetRevision(),
		at:       time.Now(),
		summary:  summary,
	}
}

// summaries returns what the entry instances that were heard lately say of the upstreams, one an availability zone.
func (w *watchers) summaries() []*wire.UpstreamSummary {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newest := map[string]*watcherState{}
	for _, state := range w.seen {
		known, ok := newest[state.zone]
		if state.summary != nil && time.Since(state.at) < summaryLife && (!ok || state.at.After(known.at)) {
			newest[state.zone] = state
		}
	}
	var list []*wire.UpstreamSummary
	for _, state := range newest {
		list = append(list, state.summary)
	}
	return list
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
