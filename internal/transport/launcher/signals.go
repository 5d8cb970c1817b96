package launcher

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals of the process. They are registered for as long as the process runs, since a signal that nobody receives ends it at once, with its requests in flight.
type Signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// NewSignals registers the signals. A process calls it before anything else.
func NewSignals() *Signals {
	s := &Signals{
		stops:   make(chan os.Signal, 1),
		hangups: make(chan os.Signal, 1),
	}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// A write of the log then fails instead of ending the process if its reader is gone.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// WaitForStop returns when the process receives SIGTERM or SIGINT, or when stopped is closed.
func (s *Signals) WaitForStop(stopped <-chan struct{}) {
	select {
	case <-s.stops:
	case <-stopped:
	}
}
