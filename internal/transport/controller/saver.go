package controller

import (
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/internal/transport/storer"
)

// saveRetryDelay is the delay before a failed save, or a failed open of the data folder, is retried. It is short compared with an election and long compared with a write.
const saveRetryDelay = 100 * time.Millisecond

// saver makes actions durable in a goroutine of its own, so that a slow, stalled or full disk blocks only the journal and not the event loop.
type saver struct {
	store *storer.Storer
	log   logr.Logger
	meter *meter
	queue chan journaler.Actions
	// saved returns each batch once it is durable, in order.
	saved chan journaler.Actions
	stop  <-chan struct{}
	done  chan struct{}
}

func newSaver(store *storer.Storer, log logr.Logger, meter *meter, stop <-chan struct{}) *saver {
	return &saver{
		store: store,
		log:   log,
		meter: meter,
		queue: make(chan journaler.Actions, 1),
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
		case actions := <-s.queue:
			if !s.save(actions) {
				return
			}
			s.saved <- actions
		}
	}
}

// save retries until the actions are durable. It reports false if the instance is stopped first.
func (s *saver) save(actions journaler.Actions) bool {
	failures := 0
	for {
		start := time.Now()
		err := s.store.Save(actions)
		s.meter.saves.RecordDuration(time.Since(start))
		if err == nil {
			break
		}
		s.meter.failedSaves.Inc(1)
		if failures == 0 {
			s.log.Error(err, "failed to save the journal; this instance neither acknowledges commands nor leads until a retry succeeds")
		}
		failures++
		select {
		case <-s.stop:
			return false
		case <-time.After(saveRetryDelay):
		}
	}
	if failures > 0 {
		s.log.Info("journal saved after retries", "failed-writes", failures)
	}
	return true
}
