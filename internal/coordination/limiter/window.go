package limiter

import "time"

// bucketCount is the number of time buckets in which a window counts requests and repeats.
const bucketCount = 10

// WindowLimit limits the repeats in a window, that is its retries and hedges, to a ratio of the requests in
// it plus a burst.
type WindowLimit struct {
	Ratio  float64
	Burst  float64
	Length time.Duration
}

// Window limits the repeats of one service over a sliding window. It protects against a fault in which every
// request would be repeated. It is not safe for concurrent use.
type Window struct {
	limit WindowLimit
	// bucket is the number of the current bucket, counted from the Unix epoch.
	bucket   int64
	requests [bucketCount]int
	repeats  [bucketCount]int
}

// NewWindow returns an empty window.
func NewWindow(limit WindowLimit) *Window {
	return &Window{
		limit: limit,
	}
}

// SetLimit changes the limit from now on.
func (w *Window) SetLimit(limit WindowLimit) { w.limit = limit }

// CountRequest counts the first attempt of a request.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[w.bucket%bucketCount]++
}

// TryRepeat counts one repeat if the window allows it, and reports whether it does.
func (w *Window) TryRepeat(now time.Time) bool {
	if !w.CanRepeat(now) {
		return false
	}
	w.repeats[w.bucket%bucketCount]++
	return true
}

// CanRepeat reports whether the window allows one more repeat.
func (w *Window) CanRepeat(now time.Time) bool {
	w.advance(now)
	return float64(sumBuckets(w.repeats)+1) <= w.maxRepeats()
}

// MayRepeatAt reports whether the window may allow a repeat at a later time, without a change to it.
func (w *Window) MayRepeatAt(now time.Time) bool {
	later := *w
	return later.CanRepeat(now)
}

// RemainingShare returns the unused share of the allowed repeats. It is negative if the window holds more
// repeats than are allowed now.
func (w *Window) RemainingShare(now time.Time) float64 {
	w.advance(now)
	maxRepeats := w.maxRepeats()
	if maxRepeats <= 0 {
		return 0
	}
	return 1 - float64(sumBuckets(w.repeats))/maxRepeats
}

func (w *Window) maxRepeats() float64 {
	// The oldest bucket lies only partly within the window, so its requests no longer allow repeats, while its
	// repeats still count.
	requests := sumBuckets(w.requests) - w.requests[(w.bucket+1)%bucketCount]
	return ratioSafetyFactor*w.limit.Ratio*float64(requests) + w.limit.Burst
}

// ratioSafetyFactor is the part of the ratio that is used: a window that spans an idle period may hold
// repeats that were allowed by requests before it.
const ratioSafetyFactor = 0.9

// advance clears the buckets that have expired. One bucket more than the window is kept, so that no count is
// dropped early.
func (w *Window) advance(now time.Time) {
	bucketLength := int64(w.limit.Length) / (bucketCount - 1)
	bucket := now.UnixNano() / bucketLength
	if bucket <= w.bucket {
		return
	}
	for b := max(w.bucket+1, bucket-bucketCount+1); b <= bucket; b++ {
		w.requests[b%bucketCount] = 0
		w.repeats[b%bucketCount] = 0
	}
	w.bucket = bucket
}

func sumBuckets(counts [bucketCount]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
