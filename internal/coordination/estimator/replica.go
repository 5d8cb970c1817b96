package estimator

import "time"

const (
	// endingsHalfLife is the age at which an ending of an attempt counts half. Replicas reject shares of their requests for some ten seconds at a time.
	endingsHalfLife = 4 * time.Second
	// slownessHalfLife is longer, since the speed of a machine changes seldom and single reply times vary much.
	slownessHalfLife = 20 * time.Second
	// endingsPrior is the number of attempts that the fleet's mean counts for.
	endingsPrior = 1.5
	// slownessPrior is the number of replies that the service's mean counts for. The reply times of one replica vary by a factor of 2.5, so that a few of them say little about its speed.
	slownessPrior = 6
	// minRatio and maxRatio bound a sample of slowness, so that a pause does not count as a slow machine.
	minRatio = 0.2
	maxRatio = 8
	// serviceSmoothing is the weight of a reply in the weight of its service, which follows from the size of a shard and hardly changes.
	serviceSmoothing = 0.02
	// sharedWeight is the number of attempts that one condition told by a peer counts for, and maxSharedWeight the most that all of them count for. Peers repeat what they have told before.
	sharedWeight    = 3
	maxSharedWeight = 6
	// negligible is the number of failed attempts below which they are forgotten altogether, so that calm days cost no time.
	negligible = 0.01
	// forgivenLosses is how many recent losses do not count as a share of the attempts: a replica that was restarted loses an attempt and then answers all.
	forgivenLosses = 1
)

// endings counts how attempts have ended, by weights that decay with age.
type endings struct {
	age
	attempts float64
	rejected float64
	lost     float64
}

func (e *endings) add(now int64, attempts, rejected, lost float64) {
	factor := e.advance(now, 1)
	e.attempts = e.attempts*factor + attempts
	e.rejected = e.rejected*factor + rejected
	e.lost = e.lost*factor + lost
	if e.rejected+e.lost < negligible {
		e.rejected, e.lost = 0, 0
	}
}

// at returns the counts as they are now.
func (e *endings) at(now int64) endings {
	if e.attempts == 0 {
		return endings{}
	}
	factor := remaining(now - e.since)
	return endings{
		attempts: e.attempts * factor,
		rejected: e.rejected * factor,
		lost:     e.lost * factor,
	}
}

// repeatedLosses returns the losses beyond the forgiven ones.
func (e *endings) repeatedLosses() float64 { return max(0, e.lost-forgivenLosses) }

func (e *endings) limit(maxAttempts float64) {
	if e.attempts > maxAttempts {
		factor := maxAttempts / e.attempts
		e.attempts = maxAttempts
		e.rejected *= factor
		e.lost *= factor
	}
}

// Replica is what is known of one replica. The zero value is a replica like the mean of its service.
type Replica struct {
	endings       endings
	sharedEndings endings
	slowness      average
	// sharedSlowness is what peers have told of the slowness.
	sharedSlowness average
	// workLeft is the work of the attempts that a peer had in flight at workLeftAt.
	workLeft   time.Duration
	workLeftAt time.Time
}

// Service is what is known of a service: how long it takes for a request in relation to the other services of the route.
type Service struct {
	deviation float64
}

// Weight returns how long the service takes for a request, in relation to the others of the route.
func (s *Service) Weight() float64 { return 1 + s.deviation }

// Slowness returns how long the replica takes for a request, in relation to the mean of its service.
func (r *Replica) Slowness(now time.Time) float64 {
	return shrink(ticksAt(now), &r.slowness, &r.sharedSlowness)
}

// shrink returns the mean of the observations and of slownessPrior ones of 1.
func shrink(now int64, own, shared *average) float64 {
	weight, sum := own.at(now)
	if shared != nil {
		sharedWeight, sharedSum := shared.at(now)
		weight += sharedWeight
		sum += sharedSum
	}
	if weight == 0 {
		return 1
	}
	return (slownessPrior + sum) / (slownessPrior + weight)
}

// Failures is the probability that an attempt fails.
type Failures struct {
	Rejected float64
	Lost     float64
	// Evidence is the number of recent attempts that the probabilities are based on.
	Evidence float64
}

// failures returns the probabilities for the replica in a fleet with the given ones.
func (r *Replica) failures(now time.Time, fleet Failures) Failures {
	ticks := ticksAt(now)
	own, shared := r.endings.at(ticks), r.sharedEndings.at(ticks)
	evidence := own.attempts + shared.attempts
	total := evidence + endingsPrior
	return Failures{
		Rejected: (own.rejected + shared.rejected + endingsPrior*fleet.Rejected) / total,
		Lost:     (own.repeatedLosses() + shared.lost + endingsPrior*fleet.Lost) / total,
		Evidence: evidence,
	}
}
