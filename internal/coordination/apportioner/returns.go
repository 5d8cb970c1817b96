package apportioner

import "time"

const (
	// minReturn is the shortest time to come back of the most urgent priority.
	minReturn = 100 * time.Millisecond
	// returnSpacing is the time between two callers that come back to an instance.
	returnSpacing = 20 * time.Millisecond
	// maxReturn bounds the time to come back; most callers give up after a few seconds.
	maxReturn = 2 * time.Second
)

// returns hands out the times at which refused callers come back, so that they do so in the order of urgency and arrival.
type returns struct {
	// last is the latest time handed out for a priority.
	last map[int]time.Time
}

// next returns how long the caller is to wait: behind all that were refused before with the same or a more urgent priority.
func (r *returns) next(now time.Time, priority int) time.Duration {
	at := now.Add(minReturn)
	for other, last := range r.last {
		if last.Before(now) {
			delete(r.last, other)
			continue
		}
		if other <= priority && !last.Add(returnSpacing).Before(at) {
			at = last.Add(returnSpacing)
		}
	}
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	r.last[priority] = at
	return at.Sub(now)
}
