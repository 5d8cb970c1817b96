package launcher

import (
	"os"
	"time"

	"github.com/go-logr/logr"
)

// pollPeriod is how often the modification time of the settings file is checked, since the file may change
// without a signal.
const pollPeriod = 2 * time.Second

// watcher applies changes of the settings file while an instance runs. It reloads the file on SIGHUP and when
// its modification time changes.
type watcher[T any] struct {
	path  string
	parse func(path string) (*T, error)
	apply func(settings *T)
	log   logr.Logger
	// modTime is the modification time of the file before it was last read, whether or not its settings were
	// valid.
	modTime time.Time
	hangups <-chan os.Signal
	stop    chan struct{}
	done    chan struct{}
}

// newWatcher returns a watcher of a settings file, which is first read by read and then watched from start on.
func newWatcher[T any](parse func(path string) (*T, error), hangups <-chan os.Signal) *watcher[T] {
	return &watcher[T]{
		parse:   parse,
		hangups: hangups,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// read reads the settings file at the path. Changes from then on are applied once the watcher has started.
func (w *watcher[T]) read(path string) (*T, error) {
	w.path = path
	w.modTime = modTimeOf(path)
	return w.parse(path)
}

func (w *watcher[T]) start(apply func(settings *T), log logr.Logger) {
	w.apply = apply
	w.log = log
	go w.run()
}

func (w *watcher[T]) run() {
	defer close(w.done)
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-w.hangups:
			w.reload("hangup")
		case <-ticker.C:
			if !modTimeOf(w.path).Equal(w.modTime) {
				w.reload("file changed")
			}
		}
	}
}

// reload reads the file and applies the settings. If the file is invalid it logs the error and keeps the
// current settings.
func (w *watcher[T]) reload(cause string) {
	settings, err := w.read(w.path)
	if err != nil {
		w.log.Error(err, "failed to reload settings; keeping the current ones", "cause", cause)
		return
	}
	w.apply(settings)
	w.log.Info("settings reloaded", "cause", cause)
}

func (w *watcher[T]) close() {
	close(w.stop)
	<-w.done
}

// modTimeOf returns the modification time of the file, or the zero time if it is not available.
func modTimeOf(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
