package controller

import (
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// operationQueueSize is the number of operations that the copy of the state may lag behind before the event loop blocks.
const operationQueueSize = 8192

// snapshotter maintains a copy of the state in a goroutine of its own, so that serializing and writing a large state does not block the event loop.
type snapshotter struct {
	dataFolder string
	state      *applier.Applier
	// stateErr is the last error of applying an operation; once set, every snapshot fails with it.
	stateErr   error
	operations chan copyOperation
	prepared   chan preparedSnapshot
	stop       <-chan struct{}
	done       chan struct{}
}

// copyOperation is an operation on the copy of the state, in the order of the journal; exactly one field is set.
type copyOperation struct {
	entries []*wire.JournalEntry
	// leaderSnapshot is a snapshot received from the leader, which replaces the state.
	leaderSnapshot *wire.JournalSnapshot
	// snapshotHeader requests a snapshot of the state at this operation.
	snapshotHeader *wire.JournalSnapshot
}

// preparedSnapshot is a snapshot that is written and synced without replacing the current one, or the error of preparing it.
type preparedSnapshot struct {
	snapshot *wire.JournalSnapshot
	err      error
}

func newSnapshotter(dataFolder string, persisted *wire.JournalSnapshot, stop <-chan struct{}) *snapshotter {
	s := &snapshotter{
		dataFolder: dataFolder,
		state:      applier.New(),
		operations: make(chan copyOperation, operationQueueSize),
		prepared:   make(chan preparedSnapshot, 1),
		stop:       stop,
		done:       make(chan struct{}),
	}
	s.restore(persisted)
	return s
}

func (s *snapshotter) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case op := <-s.operations:
			s.handle(op)
		}
	}
}

func (s *snapshotter) handle(op copyOperation) {
	for _, entry := range op.entries {
		if _, err := s.state.Apply(entry); err != nil {
			s.stateErr = err
		}
	}
	if op.leaderSnapshot != nil {
		s.restore(op.leaderSnapshot)
	}
	if op.snapshotHeader != nil {
		s.prepared <- s.prepare(op.snapshotHeader)
	}
}

func (s *snapshotter) restore(snapshot *wire.JournalSnapshot) {
	if len(snapshot.GetState()) == 0 {
		return
	}
	if err := s.state.Restore(snapshot.GetState()); err != nil {
		s.stateErr = err
	}
}

// prepare adds the state to the snapshot and writes it. The event loop requests one snapshot at a time.
func (s *snapshotter) prepare(snapshot *wire.JournalSnapshot) preparedSnapshot {
	if s.stateErr != nil {
		return preparedSnapshot{
			err: s.stateErr,
		}
	}
	state, err := s.state.Snapshot()
	if err != nil {
		return preparedSnapshot{
			err: err,
		}
	}
	snapshot.State = state
	return preparedSnapshot{
		snapshot: snapshot,
		err:      storer.PrepareSnapshot(s.dataFolder, snapshot),
	}
}
