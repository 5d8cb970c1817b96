package estimator

import (
	"math"
	"time"
)

const (
	// minToldShare is the share of failed attempts from which on a replica's condition is told to peers, and the slowness outside minToldSlowness to maxToldSlowness.
	minToldShare    = 0.1
	minToldSlowness = 0.7
	maxToldSlowness = 1.4
	// minToldEvidence is the number of attempts or replies that a condition must be based on.
	minToldEvidence = 1
	// workLeftLifetime is how long a peer's attempts in flight are taken into account at most.
	workLeftLifetime = 200 * time.Millisecond
	// maxConditionAge is the age from which on a condition is ignored.
	maxConditionAge = 8 * endingsHalfLife
)

// Condition is what an instance tells its peers of a replica, by its own observations.
type Condition struct {
	Rejected float64
	Lost     float64
	// Slowness is 0 if too little is known of it.
	Slowness float64
	// WorkLeft is the work of the attempts in flight when the condition is told.
	WorkLeft time.Duration
	// Age is the age of the latest ending of an attempt.
	Age time.Duration
}

// Condition returns what this instance has observed of the replica, and whether it deviates so much from the mean that peers are to know. What peers have told is left out, so that nothing is told in circles.
func (r *Replica) Condition(now time.Time) (Condition, bool) {
	c := Condition{}
	ticks := ticksAt(now)
	deviates := false
	if own := r.endings.at(ticks); own.attempts >= minToldEvidence {
		c.Rejected = own.rejected / own.attempts
		c.Lost = own.repeatedLosses() / own.attempts
		c.Age = time.Duration(max(0, ticks-r.endings.since)) * tick
		deviates = c.Rejected+c.Lost >= minToldShare
	}
	if weight, _ := r.slowness.at(ticks); weight >= minToldEvidence {
		c.Slowness = shrink(ticks, &r.slowness, nil)
		deviates = deviates || c.Slowness < minToldSlowness || c.Slowness > maxToldSlowness
	}
	return c, deviates
}

// MayDeviate reports whether Condition may say that the replica deviates. It is cheaper, since it leaves the age aside.
func (r *Replica) MayDeviate() bool {
	if e := &r.endings; e.attempts >= minToldEvidence && e.rejected+e.repeatedLosses() >= minToldShare*e.attempts {
		return true
	}
	mean := (slownessPrior + r.slowness.sum) / (slownessPrior + r.slowness.weight)
	return mean < minToldSlowness || mean > maxToldSlowness
}

// Merge adds what a peer has told of the replica, the less of it the older it is.
func (r *Replica) Merge(now time.Time, c Condition) {
	if c.Age < 0 || c.Age > maxConditionAge || !isShare(c.Rejected) || !isShare(c.Lost) || c.Rejected+c.Lost > 1 {
		return
	}
	ticks := ticksAt(now)
	weight := sharedWeight * remaining(int64(c.Age/tick))
	r.sharedEndings.add(ticks, weight, weight*c.Rejected, weight*c.Lost)
	r.sharedEndings.limit(maxSharedWeight)
	if c.Slowness > 0 {
		r.sharedSlowness.add(ticks, weight, min(maxRatio, max(minRatio, c.Slowness)))
		r.sharedSlowness.limit(maxSharedWeight)
	}
	r.workLeft, r.workLeftAt = min(c.WorkLeft, workLeftLifetime), now
}

// HasWorkLeft reports whether WorkLeft may return more than 0.
func (r *Replica) HasWorkLeft() bool { return r.workLeft > 0 }

// WorkLeft returns what is left of the work that peers had in flight at the replica.
func (r *Replica) WorkLeft(now time.Time) time.Duration {
	if r.workLeft == 0 {
		return 0
	}
	return max(0, r.workLeft-now.Sub(r.workLeftAt))
}

func isShare(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= 1 }
