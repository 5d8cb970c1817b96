package controller

import (
	"sync"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// summaryTTL is how long the upstream summary of an entry instance is used after its last message.
const summaryTTL = 5 * time.Second

// watchers holds the configuration that is sent to the watch streams, and the state of the entry instances that watch.
type watchers struct {
	mutex      sync.Mutex
	config     *wire.Config
	changed    chan struct{}
	isClosed   bool
	byInstance map[string]*watcherState
}

// watcherState is what an entry instance sent last.
type watcherState struct {
	zone     string
	revision uint64
	lastSeen time.Time
	summary  *wire.UpstreamSummary
}

func newWatchers() *watchers {
	return &watchers{
		config:     &wire.Config{},
		changed:    make(chan struct{}),
		byInstance: map[string]*watcherState{},
	}
}

// publish stores the configuration and wakes all streams if its revision has changed.
func (w *watchers) publish(config *wire.Config) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if config.GetRevision() == w.config.GetRevision() || w.isClosed {
		return
	}
	w.config = config
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watchers) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isClosed {
		return
	}
	w.isClosed = true
	close(w.changed)
}

// current returns the configuration, a channel that is closed when it changes, and whether the streams must end.
func (w *watchers) current() (*wire.Config, <-chan struct{}, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.config, w.changed, w.isClosed
}

// record stores the message of an entry instance. An absent summary means that the previous one is unchanged.
func (w *watchers) record(request *wire.WatchRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	summary := request.GetSummary()
	if previous, ok := w.byInstance[request.GetInstance()]; ok && summary == nil {
		summary = previous.summary
	}
	w.byInstance[request.GetInstance()] = &watcherState{
		zone:     request.GetZone(),
		revision: request.GetRevision(),
		lastSeen: time.Now(),
		summary:  summary,
	}
}

// summaries returns one upstream summary for each availability zone: that of the entry instance whose message is the newest, if it was received within summaryTTL.
func (w *watchers) summaries() []*wire.UpstreamSummary {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newest := map[string]*watcherState{}
	for _, state := range w.byInstance {
		current, ok := newest[state.zone]
		if state.summary != nil && time.Since(state.lastSeen) < summaryTTL && (!ok || state.lastSeen.After(current.lastSeen)) {
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
	for name, state := range w.byInstance {
		list = append(list, &wire.InstanceStatus{
			Instance:  name,
			Zone:      state.zone,
			Revision:  state.revision,
			SeenMsAgo: uint64(time.Since(state.lastSeen).Milliseconds()),
		})
	}
	return list
}
