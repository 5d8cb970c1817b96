package delegator

import "time"

// rateWindow is the time over which queries are counted. It covers several queries of an instance that receives few.
const rateWindow = 20 * time.Second

// Rate counts events and returns how many there are per second. It is not safe for concurrent use.
type Rate struct {
	startedAt time.Time
	previous  int
	current   int
	// isSteady is set once a whole window has been counted.
	isSteady bool
}

// NewRate returns a rate without events.
func NewRate(now time.Time) *Rate {
	return &Rate{
		startedAt: now,
	}
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	r.advance(now)
	r.current++
}

// PerSecond returns the number of events per second in the last window or two, and too few before the first window has ended.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	elapsed := now.Sub(r.startedAt)
	events := r.current
	if r.isSteady {
		elapsed += rateWindow
		events += r.previous
	}
	return float64(events) / max(elapsed, rateWindow).Seconds()
}

func (r *Rate) advance(now time.Time) {
	switch elapsed := now.Sub(r.startedAt); {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		r.previous = r.current
		r.startedAt = r.startedAt.Add(rateWindow)
	default:
		r.previous = 0
		r.startedAt = now
	}
	r.current = 0
	r.isSteady = true
}
