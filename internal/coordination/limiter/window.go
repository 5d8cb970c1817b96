package limiter

import "time"

// bucketCount is the number of time buckets in which a window counts requests and repeats.
const bucketCount = 10

// WindowRate limits the repeats in a window, that is its retries and hedges, to a ratio of the requests in it
// plus a burst.
type WindowRate struct {
	Ratio float64
	Burst float64
	Span  time.Duration
}

// Window limits the repeats of one service over a sliding window. It protects against a fault in which every
// request would be repeated. It is not safe for concurrent use.
type Window struct {
	rate     WindowRate
	bucket   int64
	requests [bucketCount]int
	repeats  [bucketCount]int
}

// NewWindow returns an empty window.
func NewWindow(rate WindowRate) *Window {
	return &Window{
		rate: rate,
	}
}

// SetRate changes the limit from now on.
func (w *Window) SetRate(rate WindowRate) { w.rate = rate }

// Note counts the first attempt of a request.
func (w *Window) Note(now time.Time) {
	w.advance(now)
	w.requests[w.bucket%bucketCount]++
}

// Spend counts one repeat if the window allows it, and reports whether it does.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	if float64(sumBuckets(w.repeats)+1) > w.maxRepeats() {
		return false
	}
	w.repeats[w.bucket%bucketCount]++
	return true
}

// Left returns the share of the allowed repeats that is still unused.
func (w *Window) Left(now time.Time) float64 {
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
	return ratioSafetyFactor*w.rate.Ratio*float64(requests) + w.rate.Burst
}

// ratioSafetyFactor is the part of the ratio that is used: a window that spans a lull may hold repeats that
// were allowed by requests before it.
const ratioSafetyFactor = 0.9

// advance clears the buckets that have expired. One bucket more than the window is kept, so that no count is
// dropped early.
func (w *Window) advance(now time.Time) {
	bucketLength := int64(w.rate.Span) / (bucketCount - 1)
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
