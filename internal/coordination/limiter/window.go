package limiter

import "time"

// windowSteps is how many steps a window is counted in.
const windowSteps = 10

// WindowRate is what a window allows beyond the first attempts: a ratio of the requests in it and a burst.
type WindowRate struct {
	Ratio float64
	Burst float64
	Span  time.Duration
}

// Window bounds the repeats of one service over a sliding span; it answers a fault in which every request would be repeated, and is not safe for concurrent use.
type Window struct {
	rate     WindowRate
	step     int64
	requests [windowSteps]int
	repeats  [windowSteps]int
}

// NewWindow returns a window in which nothing was sent.
func NewWindow(rate WindowRate) *Window {
	return &Window{
		rate: rate,
	}
}

// SetRate changes what is allowed from now on.
func (w *Window) SetRate(rate WindowRate) { w.rate = rate }

// Note counts a request's first attempt.
func (w *Window) Note(now time.Time) {
	w.advance(now)
	w.requests[w.step%windowSteps]++
}

// Spend takes one repeat, and reports whether the window allows it.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	if float64(sum(w.repeats)+1) > w.allowed() {
		return false
	}
	w.repeats[w.step%windowSteps]++
	return true
}

// Left returns the share of the allowance that is not spent.
func (w *Window) Left(now time.Time) float64 {
	w.advance(now)
	allowed := w.allowed()
	if allowed <= 0 {
		return 0
	}
	return 1 - float64(sum(w.repeats))/allowed
}

func (w *Window) allowed() float64 {
	// The oldest step lies before the span in part, so its requests allow nothing any more, while its repeats still count.
	requests := sum(w.requests) - w.requests[(w.step+1)%windowSteps]
	return ratioKept*w.rate.Ratio*float64(requests) + w.rate.Burst
}

// ratioKept is the part of the ratio that is used: a span that lies across a lull may hold repeats that were allowed by requests before it.
const ratioKept = 0.9

// advance empties the steps that have gone by; one step more than the span is kept, so that a count never leaves early.
func (w *Window) advance(now time.Time) {
	length := int64(w.rate.Span) / (windowSteps - 1)
	step := now.UnixNano() / length
	if step <= w.step {
		return
	}
	for s := max(w.step+1, step-windowSteps+1); s <= step; s++ {
		w.requests[s%windowSteps] = 0
		w.repeats[s%windowSteps] = 0
	}
	w.step = step
}

func sum(counts [windowSteps]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
