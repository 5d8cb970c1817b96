package responder

import (
	"sync"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Limits of the stored record; the oldest items are dropped first.
const (
	maxRuns         = 100_000
	maxSearchCounts = 10_000
)

// StartedRun is a non-idempotent request that the stand-in started.
type StartedRun struct {
	Key     string `json:"key"`
	Attempt uint64 `json:"attempt"`
	TimeMs  int64  `json:"time-ms"`
}

// SearchCount is the number of searches of one shard in one version that started within one second.
type SearchCount struct {
	Second  int64  `json:"second"`
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Count   int64  `json:"count"`
}

// Record holds the started requests and the counters of the stand-in. Runs and SearchCounts are bounded; RunsDropped and SearchCountsDropped count the items dropped from them.
type Record struct {
	Runs        []StartedRun `json:"runs"`
	RunsDropped int64        `json:"runs-dropped"`
	// SearchesStarted counts the searches that started. SearchesReceived also counts those that were refused, or cancelled while they waited for a slot.
	SearchesStarted     int64         `json:"searches"`
	SearchesReceived    int64         `json:"received"`
	SearchesRefused     int64         `json:"refused"`
	SearchesCancelled   int64         `json:"cancelled"`
	LastStartMs         int64         `json:"last-start-ms"`
	SearchCounts        []SearchCount `json:"search-counts"`
	SearchCountsDropped int64         `json:"search-counts-dropped"`
	InFlight            int64         `json:"in-flight"`
	OpenConnections     int64         `json:"connections"`
	PeakConnections     int64         `json:"most-connections"`
	ConnectionsOpened   int64         `json:"opened-connections"`
	ConnectionsRefused  int64         `json:"refused-connections"`
}

// recorder guards the record and updates it.
type recorder struct {
	mutex  sync.Mutex
	record Record
}

// recordRun appends a started run.
func (r *recorder) recordRun(now time.Time, request *wire.RunRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.LastStartMs = now.UnixMilli()
	if len(r.record.Runs) == maxRuns {
		r.record.Runs = r.record.Runs[1:]
		r.record.RunsDropped++
	}
	r.record.Runs = append(r.record.Runs, StartedRun{
		Key:     request.GetKey(),
		Attempt: request.GetAttempt(),
		TimeMs:  now.UnixMilli(),
	})
}

// recordSearch counts a started search in the current second.
func (r *recorder) recordSearch(now time.Time, request *wire.SearchRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.SearchesStarted++
	r.record.LastStartMs = now.UnixMilli()
	for i := len(r.record.SearchCounts) - 1; i >= 0 && r.record.SearchCounts[i].Second == now.Unix(); i-- {
		c := &r.record.SearchCounts[i]
		if c.Shard == request.GetShard() && c.Version == request.GetVersion() {
			c.Count++
			return
		}
	}
	if len(r.record.SearchCounts) == maxSearchCounts {
		r.record.SearchCounts = r.record.SearchCounts[1:]
		r.record.SearchCountsDropped++
	}
	r.record.SearchCounts = append(r.record.SearchCounts, SearchCount{
		Second:  now.Unix(),
		Shard:   request.GetShard(),
		Version: request.GetVersion(),
		Count:   1,
	})
}

// add adds delta to the counter that the function selects.
func (r *recorder) add(counter func(*Record) *int64, delta int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*counter(&r.record) += delta
}

// snapshot returns a copy of the record.
func (r *recorder) snapshot() Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	snapshot := r.record
	snapshot.Runs = append([]StartedRun{}, snapshot.Runs...)
	snapshot.SearchCounts = append([]SearchCount{}, snapshot.SearchCounts...)
	return snapshot
}
