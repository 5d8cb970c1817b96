package balancer

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the age at which a reported load counts half. Queues and slow phases of machines change within seconds.
	reportHalfLife = time.Second
	// maxReportAge is the age from which on a report is ignored.
	maxReportAge = 8 * reportHalfLife
	// initialObservedError and initialReportError are the errors from which the weight of a report starts, at 0.2. A report that is wrong loses its weight after a few replies.
	initialObservedError = 0.5
	initialReportError   = 1
	// errorSmoothing is the weight of a reply in the errors.
	errorSmoothing = 0.2
	// minReportedSlowness and maxReportedSlowness bound what a report can say.
	minReportedSlowness = 0.2
	maxReportedSlowness = 8
	// maxReportedQueue bounds the reported queue, in requests for each slot.
	maxReportedQueue = 10
)

// ReplicaLoad is the load that a replica reports.
type ReplicaLoad struct {
	IsStated bool
	Running  int
	Waiting  int
	Slots    int
	// WorkPercent is how long work takes on the replica's machine, in percent of the usual time; 0 if it does not say so.
	WorkPercent int
}

// slowness returns what the report says of the machine, 0 if nothing.
func (l *ReplicaLoad) slowness() float64 {
	if l.WorkPercent <= 0 {
		return 0
	}
	return min(maxReportedSlowness, max(minReportedSlowness, float64(l.WorkPercent)/100))
}

// queue returns how many requests are before a new one, for each slot.
func (l *ReplicaLoad) queue() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return min(maxReportedQueue, max(0, float64(l.Running+l.Waiting+1-l.Slots)/float64(l.Slots)))
}

// loadReport is the latest load that a replica has reported, and how well its reports have predicted reply times. A report may be false or out of date.
type loadReport struct {
	load ReplicaLoad
	at   time.Time
	// observedError and reportError are the mean errors of the slowness that was observed before and of the reported one.
	observedError float64
	reportError   float64
}

func (l *loadReport) record(now time.Time, load ReplicaLoad) {
	if !load.IsStated {
		return
	}
	if l.at.IsZero() {
		l.observedError, l.reportError = initialObservedError, initialReportError
	}
	l.load, l.at = load, now
}

// compare updates the errors by a reply that took ratio times as long as usual, while the given slowness had been observed before.
func (l *loadReport) compare(ratio, observed float64) {
	reported := l.load.slowness()
	if l.at.IsZero() || reported == 0 {
		return
	}
	l.observedError += errorSmoothing * (math.Abs(math.Log(ratio/observed)) - l.observedError)
	l.reportError += errorSmoothing * (math.Abs(math.Log(ratio/reported)) - l.reportError)
}

// weight returns how much the report counts beside what was observed, between 0 and 1: by the squares of the errors, and the less the older it is.
func (l *loadReport) weight(now time.Time) float64 {
	age := now.Sub(l.at)
	if l.at.IsZero() || age > maxReportAge {
		return 0
	}
	observed, reported := l.observedError*l.observedError, l.reportError*l.reportError
	if observed+reported == 0 {
		return 0
	}
	return observed / (observed + reported) * math.Exp2(-max(0, age.Seconds())/reportHalfLife.Seconds())
}

// slowness returns the slowness by the observed and the reported one.
func (l *loadReport) slowness(now time.Time, observed float64) float64 {
	reported := l.load.slowness()
	if reported == 0 {
		return observed
	}
	return observed + l.weight(now)*(reported-observed)
}

// wait returns how long an attempt waits for a slot by the report, if each request takes the given time.
func (l *loadReport) wait(now time.Time, latency time.Duration) time.Duration {
	queue := l.load.queue()
	if queue == 0 {
		return 0
	}
	return time.Duration(l.weight(now) * queue * float64(latency))
}
