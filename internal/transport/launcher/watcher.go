package launcher

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

// lookPeriod is how often a settings file is looked at, since it may change without a signal.
const lookPeriod = 2 * time.Second

// watcher puts a changed settings file in force while an instance runs.
type watcher[T any] struct {
	path  string
	read  func(path string) (*T, error)
	apply func(settings *T)
	log   logr.Logger
	// changed is when the file was changed that is in force.
	changed time.Time
	hangups chan os.Signal
	stop    chan struct{}
	done    chan struct{}
}

func newWatcher[T any](path string, read func(path string) (*T, error), apply func(settings *T), log logr.Logger) *watcher[T] {
	w := &watcher[T]{
		path:    path,
		read:    read,
		apply:   apply,
		log:     log,
		changed: changedAt(path),
		hangups: make(chan os.Signal, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	signal.Notify(w.hangups, syscall.SIGHUP)
	go w.run()
	return w
}

func (w *watcher[T]) run() {
	defer close(w.done)
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-w.hangups:
			w.reload("hangup")
		case <-ticker.C:
			if !changedAt(w.path).Equal(w.changed) {
				w.reload("file changed")
			}
		}
	}
}

// reload reads the file; one with mistakes is logged, and what is in force stays.
func (w *watcher[T]) reload(cause string) {
	w.changed = changedAt(w.path)
	settings, err := w.read(w.path)
	if err != nil {
		w.log.Error(err, "settings not reloaded; those in force stay", "cause", cause)
		return
	}
	w.apply(settings)
	w.log.Info("settings reloaded", "cause", cause)
}

func (w *watcher[T]) close() {
	signal.Stop(w.hangups)
	close(w.stop)
	<-w.done
}

// changedAt returns when the file was changed last; the zero time where it can't be told.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
