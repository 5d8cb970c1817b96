package controller

import (
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/internal/transport/storer"
)

// saveAgain is the pause before actions that could not be made durable are tried again: short beside an election, long beside a write.
const saveAgain = 100 * time.Millisecond

// saver makes actions durable beside the loop, so that a slow, stalled or full disk holds up nothing but the journal itself.
type saver struct {
	store *storer.Storer
	log   logr.Logger
	meter *meter
	work  chan journaler.Actions
	// saved gives each batch back once it is durable, in order.
	saved chan journaler.Actions
	stop  <-chan struct{}
	done  chan struct{}
}

func newSaver(store *storer.Storer, log logr.Logger, meter *meter, stop <-chan struct{}) *saver {
	return &saver{
		store: store,
		log:   log,
		meter: meter,
		work:  make(chan journaler.Actions, 1),
		saved: make(chan journaler.Actions, 1),
		stop:  stop,
		done:  make(chan struct{}),
	}
}

func (s *saver) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case actions := <-s.work:
			if !s.save(actions) {
				return
			}
			s.saved <- actions
		}
	}
}

// save tries until the actions are durable, and reports false where the instance is told to end first.
func (s *saver) save(actions journaler.Actions) bool {
	failures := 0
	for {
		began := time.Now()
		err := s.store.Save(actions)
		s.meter.saves.RecordDuration(time.Since(began))
		if err == nil {
			break
		}
		s.meter.failedSaves.Inc(1)
		if failures == 0 {
			s.log.Error(err, "journal is not durable; this instance neither answers nor leads until it is")
		}
		failures++
		select {
		case <-s.stop:
			return false
		case <-time.After(saveAgain):
		}
	}
	if failures > 0 {
		s.log.Info("journal is durable again", "failed-writes", failures)
	}
	return true
}
