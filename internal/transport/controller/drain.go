package controller

import (
	"sync"
	"time"
)

const (
	// drainLimit bounds the wait for commands that are pending when the instance is told to end.
	drainLimit = 2 * time.Second
	// flushTime is how long answers have to leave before the server closes.
	flushTime = 50 * time.Millisecond
)

// pending counts the commands that wait for their answer, and refuses new ones once it is closed.
type pending struct {
	mutex  sync.Mutex
	count  int
	closed bool
	empty  chan struct{}
}

func (p *pending) begin() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.count++
	return true
}

func (p *pending) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.count--
	if p.closed && p.count == 0 {
		close(p.empty)
	}
}

// close refuses every later command, and returns what is closed when none is pending.
func (p *pending) close() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.empty = make(chan struct{})
	if p.count == 0 {
		close(p.empty)
	}
	return p.empty
}

// drain answers the commands that are pending; new ones are refused before they reach the journal, and their senders go to the next leader.
func (c *Controller) drain() {
	select {
	case <-c.pending.close():
	case <-time.After(drainLimit):
		c.log.Info("stops with commands pending")
	}
	time.Sleep(flushTime)
}
