package responder

import (
	"sync"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	maxRuns   = 100_000
	maxCounts = 10_000
)

// Started is the stand-in's own record of a non-idempotent request that it started.
type Started struct {
	Key     string `json:"key"`
	Attempt uint64 `json:"attempt"`
	TimeMs  int64  `json:"time-ms"`
}

// SearchCount is how many searches of one shard in one version started within one second.
type SearchCount struct {
	Second  int64  `json:"second"`
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Count   int64  `json:"count"`
}

// Record is everything the stand-in has started, with the oldest left out beyond a bound.
type Record struct {
	Runs        []Started `json:"runs"`
	RunsDropped int64     `json:"runs-dropped"`
	// Searches counts the searches that started; Received also those that were refused, or cancelled while they waited.
	Searches          int64         `json:"searches"`
	Received          int64         `json:"received"`
	Refused           int64         `json:"refused"`
	Cancelled         int64         `json:"cancelled"`
	LastStartMs       int64         `json:"last-start-ms"`
	SearchCounts      []SearchCount `json:"search-counts"`
	CountsDropped     int64         `json:"search-counts-dropped"`
	InFlight          int64         `json:"in-flight"`
	Connections       int64         `json:"connections"`
	MostConnections   int64         `json:"most-connections"`
	OpenedConnections int64         `json:"opened-connections"`
	RefusedConnection int64         `json:"refused-connections"`
}

// recorder keeps the record.
type recorder struct {
	mutex  sync.Mutex
	record Record
}

func (r *recorder) run(now time.Time, ask *wire.RunRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.LastStartMs = now.UnixMilli()
	if len(r.record.Runs) == maxRuns {
		r.record.Runs = r.record.Runs[1:]
		r.record.RunsDropped++
	}
	r.record.Runs = append(r.record.Runs, Started{
		Key:     ask.GetKey(),
		Attempt: ask.GetAttempt(),
		TimeMs:  now.UnixMilli(),
	})
}

func (r *recorder) search(now time.Time, ask *wire.SearchRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Searches++
	r.record.LastStartMs = now.UnixMilli()
	for i := len(r.record.SearchCounts) - 1; i >= 0 && r.record.SearchCounts[i].Second == now.Unix(); i-- {
		c := &r.record.SearchCounts[i]
		if c.Shard == ask.GetShard() && c.Version == ask.GetVersion() {
			c.Count++
			return
		}
	}
	if len(r.record.SearchCounts) == maxCounts {
		r.record.SearchCounts = r.record.SearchCounts[1:]
		r.record.CountsDropped++
	}
	r.record.SearchCounts = append(r.record.SearchCounts, SearchCount{
		Second:  now.Unix(),
		Shard:   ask.GetShard(),
		Version: ask.GetVersion(),
		Count:   1,
	})
}

// add changes one of the record's counts.
func (r *recorder) add(count func(*Record) *int64, change int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*count(&r.record) += change
}

func (r *recorder) copy() Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.record
	c.Runs = append([]Started{}, c.Runs...)
	c.SearchCounts = append([]SearchCount{}, c.SearchCounts...)
	return c
}
