package controller

import "sync"

// changeSignal wakes all that wait for a change.
type changeSignal struct {
	mutex   sync.Mutex
	changed chan struct{}
}

func newChangeSignal() *changeSignal {
	return &changeSignal{
		changed: make(chan struct{}),
	}
}

// wait returns a channel that is closed at the next change.
func (s *changeSignal) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// notify wakes those that wait.
func (s *changeSignal) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
