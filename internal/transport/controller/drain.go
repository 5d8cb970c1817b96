package controller

import (
	"sync"
	"time"
)

const (
	// drainTimeout bounds the wait for commands that are in flight at shutdown.
	drainTimeout = 2 * time.Second
	// flushDelay is the time in which responses are sent before the server closes.
	flushDelay = 50 * time.Millisecond
)

// commandTracker counts the commands in flight and rejects new ones once it is closed.
type commandTracker struct {
	mutex    sync.Mutex
	count    int
	isClosed bool
	// drained is closed when the tracker is closed and no command is in flight.
	drained chan struct{}
}

// tryStart counts a new command, and reports false if the tracker is closed.
func (t *commandTracker) tryStart() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isClosed {
		return false
	}
	t.count++
	return true
}

func (t *commandTracker) finish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.count--
	if t.isClosed && t.count == 0 {
		close(t.drained)
	}
}

// close rejects all later commands, and returns a channel that is closed once none is in flight.
func (t *commandTracker) close() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.isClosed = true
	t.drained = make(chan struct{})
	if t.count == 0 {
		close(t.drained)
	}
	return t.drained
}

// drain waits for the commands in flight. New commands are rejected before they reach the journal, so their senders can safely retry at the next leader.
func (c *Controller) drain() {
	select {
	case <-c.inFlight.close():
	case <-time.After(drainTimeout):
		c.log.Info("drain timed out; stopping with commands in flight")
	}
	time.Sleep(flushDelay)
}
