package controller

import (
	"context"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// tableMaxAge is the age from which the encoded table is rebuilt if anything has changed since.
	tableMaxAge = time.Second
	// tableMinAge is the age below which it is never rebuilt, so that many changes don't take the processor.
	tableMinAge = 200 * time.Millisecond
	// maxTableChanges is the number of changes since the encoded table from which it is rebuilt earlier.
	maxTableChanges = 256
)

// tables keeps the table of replicas and suspect requests, collected, encoded and compressed once for all callers that need the whole state.
type tables struct {
	controller *Controller

	mutex   sync.Mutex
	current *encodedTable
	// changes is the largest number of changed records that a response has contained besides the current table.
	changes int
	// built is closed when the build that is in progress ends; nil if none is.
	built chan struct{}
}

// encodedTable is a table with its encoded form.
type encodedTable struct {
	*wire.FleetTable

	data    []byte
	builtAt time.Time
}

func newTables(c *Controller) *tables {
	return &tables{
		controller: c,
	}
}

// size returns the size of the encoded table in bytes, 0 if there is none yet.
func (t *tables) size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current == nil {
		return 0
	}
	return len(t.current.data)
}

// recordChanges records how many changed records a response contained besides the table.
func (t *tables) recordChanges(table *encodedTable, count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current == table {
		t.changes = max(t.changes, count)
	}
}

// get returns the current table. The caller that finds it out of date rebuilds it while the others use the old one; the first one is awaited by all.
func (t *tables) get(ctx context.Context) (*encodedTable, error) {
	for {
		t.mutex.Lock()
		current, built := t.current, t.built
		if current != nil && (built != nil || !t.isOutdated(time.Now())) {
			t.mutex.Unlock()
			return current, nil
		}
		if built == nil {
			t.built = make(chan struct{})
			t.mutex.Unlock()
			return t.build(ctx)
		}
		t.mutex.Unlock()
		select {
		case <-built:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isOutdated reports whether the current table is to be rebuilt; the mutex must be held.
func (t *tables) isOutdated(now time.Time) bool {
	age := now.Sub(t.current.builtAt)
	return t.changes > 0 && age > tableMaxAge || t.changes > maxTableChanges && age > tableMinAge
}

// build collects, encodes and stores a table. It goes on when its caller has gone, since others wait for it.
func (t *tables) build(ctx context.Context) (*encodedTable, error) {
	table := &encodedTable{
		FleetTable: &wire.FleetTable{},
	}
	c := t.controller
	err := c.runInLoop(context.WithoutCancel(ctx), func(now time.Time) {
		table.builtAt = now
		table.Index = c.appliedIndex
		table.Replicas, table.Suspects = c.changesFrom(0)
	})
	if err == nil {
		table.data, err = packer.Pack(table.FleetTable)
	}
	c.meter.tablesBuilt.Inc(1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err == nil {
		t.current = table
		t.changes = 0
	}
	close(t.built)
	t.built = nil
	return table, err
}

// changes holds the records that were changed at an index or later, as of another index.
type changes struct {
	from     uint64
	applied  uint64
	replicas []*wire.Replica
	suspects []*wire.SuspectRequest
}

// changesFrom returns the records last changed at an index or later. It must be called from the event loop. The last result is kept, since a change is sent to all followers at about the same time.
func (c *Controller) changesFrom(from uint64) ([]*wire.Replica, []*wire.SuspectRequest) {
	if from > c.appliedIndex {
		return nil, nil
	}
	if c.lastChanges.from != from || c.lastChanges.applied != c.appliedIndex {
		c.lastChanges = changes{
			from:     from,
			applied:  c.appliedIndex,
			replicas: c.state.Enroller.Replicas(from),
			suspects: c.state.Quarantiner.Suspects(from),
		}
	}
	return c.lastChanges.replicas, c.lastChanges.suspects
}
