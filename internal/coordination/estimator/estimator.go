package estimator

import (
	"math"
	"time"
)

const (
	// workSmoothing is the weight of a new request in the expected work of its class. An instance receives a query every second or two, so that it follows a change within ten seconds.
	workSmoothing = 0.2
	// maxClasses bounds the memory; the class that was seen longest ago is forgotten first.
	maxClasses = 256
	// fleetPrior is the number of attempts without a failure that the fleet's mean starts from.
	fleetPrior = 20
)

// class is the expected work of the requests of one class.
type class struct {
	requests int
	mean     float64
	variance float64
	seenAt   time.Time
}

// Estimator holds what is known of the classes of requests and of the fleet's mean. It is not safe for concurrent use.
type Estimator struct {
	classes map[string]*class
	fleet   endings
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{
		classes: map[string]*class{},
	}
}

// Work is the expected work of a request and its standard deviation.
type Work struct {
	Mean   time.Duration
	Spread time.Duration
}

// Work returns the expected work of the class, 0 if none was observed.
func (e *Estimator) Work(name string) Work {
	c := e.classes[name]
	if c == nil {
		return Work{}
	}
	return Work{
		Mean:   time.Duration(c.mean),
		Spread: time.Duration(math.Sqrt(c.variance)),
	}
}

// RecordWork records the work of a request of the class.
func (e *Estimator) RecordWork(now time.Time, name string, work time.Duration) {
	c := e.classes[name]
	if c == nil {
		e.makeRoom()
		c = &class{}
		e.classes[name] = c
	}
	c.requests++
	c.seenAt = now
	smoothing := max(workSmoothing, 1/float64(c.requests))
	delta := float64(work) - c.mean
	c.mean += smoothing * delta
	c.variance = (1 - smoothing) * (c.variance + smoothing*delta*delta)
}

// makeRoom forgets the class that was seen longest ago if there are too many.
func (e *Estimator) makeRoom() {
	if len(e.classes) < maxClasses {
		return
	}
	var oldest string
	var oldestAt time.Time
	for name, c := range e.classes {
		if oldestAt.IsZero() || c.seenAt.Before(oldestAt) {
			oldest, oldestAt = name, c.seenAt
		}
	}
	delete(e.classes, oldest)
}

// RecordReplies records that so many replicas have replied, which RecordReply is called for one by one.
func (e *Estimator) RecordReplies(now time.Time, replies int) {
	e.fleet.add(ticksAt(now), float64(replies), 0, 0)
}

// RecordReply records that the replica has answered a request of the given work, 0 if unknown, in the given time.
func (e *Estimator) RecordReply(now time.Time, s *Service, r *Replica, work, elapsed time.Duration) {
	ticks := ticksAt(now)
	r.endings.add(ticks, 1, 0, 0)
	recordSlowness(ticks, s, r, work, elapsed)
}

// RecordSlowReply records that the replica has not answered a request of the given work within the given time, which is a lower bound of its reply time.
func (e *Estimator) RecordSlowReply(now time.Time, s *Service, r *Replica, work, elapsed time.Duration) {
	if work > 0 && float64(elapsed) > float64(work)*s.Weight()*r.Slowness(now) {
		recordSlowness(ticksAt(now), s, r, work, elapsed)
	}
}

func recordSlowness(now int64, s *Service, r *Replica, work, elapsed time.Duration) {
	if work <= 0 {
		return
	}
	ratio := boundRatio(float64(elapsed) / float64(work))
	r.slowness.add(now, 1, boundRatio(ratio/s.Weight()))
	s.deviation += serviceSmoothing * (ratio - s.Weight())
}

func boundRatio(ratio float64) float64 { return min(maxRatio, max(minRatio, ratio)) }

// RecordRejection records that the replica has rejected a request without running it.
func (e *Estimator) RecordRejection(now time.Time, r *Replica) { e.recordFailure(now, r, 1, 0) }

// RecordLoss records that the replica has left a request without a useful reply.
func (e *Estimator) RecordLoss(now time.Time, r *Replica) { e.recordFailure(now, r, 0, 1) }

func (e *Estimator) recordFailure(now time.Time, r *Replica, rejected, lost float64) {
	ticks := ticksAt(now)
	r.endings.add(ticks, 1, rejected, lost)
	e.fleet.add(ticks, 1, rejected, lost)
}

// FleetFailures returns the probability that an attempt at any replica fails.
func (e *Estimator) FleetFailures(now time.Time) Failures {
	fleet := e.fleet.at(ticksAt(now))
	total := fleet.attempts + fleetPrior
	return Failures{
		Rejected: fleet.rejected / total,
		Lost:     fleet.lost / total,
		Evidence: fleet.attempts,
	}
}

// MayFail reports whether an attempt at the replica may fail, by anything known. On calm days nothing has failed for long.
func (e *Estimator) MayFail(r *Replica) bool {
	return e.fleet.rejected > 0 || e.fleet.lost > 0 || r.endings.rejected > 0 || r.endings.lost > 0 || r.sharedEndings.attempts > 0
}

// Failures returns the probability that an attempt at the replica fails in a fleet with the given mean. The fewer and older the observations, the closer it is to the mean.
func (e *Estimator) Failures(now time.Time, r *Replica, fleet Failures) Failures {
	if !e.MayFail(r) {
		return Failures{
			Evidence: r.endings.attempts,
		}
	}
	return r.failures(now, fleet)
}
