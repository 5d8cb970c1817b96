package controller

import (
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// copyRing is the number of batches that the copy of the state may be behind by.
const copyRing = 8192

// snapshotter keeps a copy of the state beside the loop, so that reading and writing a large one holds nothing up.
type snapshotter struct {
	folder   string
	state    *applier.Applier
	failed   error
	steps    chan copyStep
	prepared chan preparedSnapshot
	stop     <-chan struct{}
	done     chan struct{}
}

// copyStep is one thing for the copy, in the journal's order; one field is set.
type copyStep struct {
	entries []*wire.JournalEntry
	// installed is a leader's snapshot, which replaces the state.
	installed *wire.JournalSnapshot
	// header asks for a snapshot of the state as it is at this step.
	header *wire.JournalSnapshot
}

// preparedSnapshot is a snapshot that is written and synced beside the one in force.
type preparedSnapshot struct {
	snapshot *wire.JournalSnapshot
	err      error
}

func newSnapshotter(folder string, saved *wire.JournalSnapshot, stop <-chan struct{}) *snapshotter {
	s := &snapshotter{
		folder:   folder,
		state:    applier.New(),
		steps:    make(chan copyStep, copyRing),
		prepared: make(chan preparedSnapshot, 1),
		stop:     stop,
		done:     make(chan struct{}),
	}
	s.install(saved)
	return s
}

func (s *snapshotter) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case step := <-s.steps:
			s.take(step)
		}
	}
}

func (s *snapshotter) take(step copyStep) {
	for _, entry := range step.entries {
		if _, err := s.state.Apply(entry); err != nil {
			s.failed = err
		}
	}
	if step.installed != nil {
		s.install(step.installed)
	}
	if step.header != nil {
		s.prepared <- s.prepare(step.header)
	}
}

func (s *snapshotter) install(snapshot *wire.JournalSnapshot) {
	if len(snapshot.GetState()) == 0 {
		return
	}
	if err := s.state.Restore(snapshot.GetState()); err != nil {
		s.failed = err
	}
}

// prepare completes the snapshot and writes it; the loop asks for one at a time.
func (s *snapshotter) prepare(snapshot *wire.JournalSnapshot) preparedSnapshot {
	if s.failed != nil {
		return preparedSnapshot{
			err: s.failed,
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
		err:      storer.Prepare(s.folder, snapshot),
	}
}
