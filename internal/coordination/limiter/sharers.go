package limiter

import (
	"sync"
	"time"
)

// sharersKept is how long a greater number of sharers counts after it was heard last: longer than a restart of control, or a cut after which those beyond it go on with their share.
const sharersKept = 15 * time.Second

// Sharers is how many instances share limits, from what control instances say; it answers control instances that were restarted or are cut off, and have not heard all.
type Sharers struct {
	mutex sync.Mutex
	count int
	// heard is when the count, or a greater one, was heard last; the greatest heard since takes its place.
	heard   time.Time
	next    int
	assumed bool
}

// NewSharers returns a number to go by until one is heard.
func NewSharers(assumed int) *Sharers {
	return &Sharers{
		count:   assumed,
		assumed: true,
	}
}

// IsKnown reports whether a number was heard.
func (s *Sharers) IsKnown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.assumed
}

// Hear takes a number, 0 for one that is not known, and returns the one to go by: a greater one at once, a smaller one only when nothing greater was heard for long.
func (s *Sharers) Hear(now time.Time, count int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case count == 0:
	case count >= s.count || s.assumed:
		s.assumed = false
		s.count = count
		s.heard = now
		s.next = 0
	default:
		s.next = max(s.next, count)
		if now.Sub(s.heard) >= sharersKept {
			s.count = s.next
			s.heard = now
			s.next = 0
		}
	}
	return s.count
}
