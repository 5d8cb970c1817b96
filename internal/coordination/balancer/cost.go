package balancer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/estimator"
)

const (
	// repeatTime is the time that a repeat adds beyond the work that is done again.
	repeatTime = 2 * time.Millisecond
	// scarcityPrice is the price of a repeat while all of the retry budget is used. Retries and hedges may be 0.2 of the requests, so that a tenth of failed attempts leaves room for the hedges of others.
	scarcityPrice = 150 * time.Millisecond
	scarceShare   = 0.1
	// lossTime is the time that passes until a lost attempt is noticed.
	lossTime = 50 * time.Millisecond
	// minWorkLeftShare is the share of its expected work that an attempt in flight has left at least: one that has taken long may take much longer.
	minWorkLeftShare = 0.25
)

// Demand is what is known of a request when a replica is picked for it.
type Demand struct {
	Service string
	// Work is the expected time for the request at a typical replica; 0 stands for the service's typical latency.
	Work time.Duration
}

// Cost is the expected time to a useful reply and its parts.
type Cost struct {
	Work time.Duration
	Wait time.Duration
	Zone time.Duration
	// Repeats is the price of the repeats after a rejection or a loss.
	Repeats time.Duration
	// Avoided is the penalty of a replica that stalls, has failed or may stop at any moment.
	Avoided  time.Duration
	Slowness float64
	Failures estimator.Failures
}

// Total returns the expected time to a useful reply.
func (c *Cost) Total() time.Duration { return c.Work + c.Wait + c.Zone + c.Repeats + c.Avoided }

// costOf returns the expected time to a useful reply of an attempt at the replica.
func (b *Balancer) costOf(now time.Time, s *serviceState, r *ReplicaState, work time.Duration) Cost {
	slowness := r.slowness(now)
	c := Cost{
		Slowness: slowness,
		Work:     time.Duration(float64(work) * slowness),
		Failures: b.estimator.Failures(now, &r.estimate, b.fleetFailures(now)),
	}
	c.Wait = r.wait(now, time.Duration(float64(s.typicalLatency())*slowness))
	if r.Zone != b.zone {
		c.Zone = crossZonePenalty
	}
	if r.isProbeDue(now) {
		c.Failures.Lost = 0
	}
	if c.Failures.Rejected > 0 || c.Failures.Lost > 0 {
		c.Repeats = b.repeatPrice(now, work, &c.Failures)
	}
	if oldestAge := r.oldestAttemptAge(now); oldestAge > stallFactor*max(work, s.typicalLatency()) {
		c.Avoided += oldestAge
	}
	if r.isBackingOff(now) {
		c.Avoided += maxBackoff
	}
	if r.isLastResort() {
		c.Avoided += 2 * maxBackoff
	}
	return c
}

// repeatPrice returns the expected price of the repeats. A rejection takes little time, but while many attempts fail, each repeat takes the place of another one in the retry budget.
func (b *Balancer) repeatPrice(now time.Time, work time.Duration, f *estimator.Failures) time.Duration {
	fleet := b.fleetFailures(now)
	scarcity := min(1, (fleet.Rejected+fleet.Lost)/scarceShare)
	price := repeatTime + work + time.Duration(scarcity*float64(scarcityPrice))
	return time.Duration((f.Rejected+f.Lost)*float64(price) + f.Lost*float64(lossTime))
}

// isProbeDue reports whether the replica is to be tried after a failure, so that one that was lost comes back.
func (r *ReplicaState) isProbeDue(now time.Time) bool {
	return r.consecutiveFailures > 0 && !r.isBackingOff(now)
}

// fleetFailures returns the share of attempts at all replicas that fail.
func (b *Balancer) fleetFailures(now time.Time) estimator.Failures {
	if !now.Equal(b.fleetFailuresAt) {
		b.fleetFailuresAt = now
		b.fleet = b.estimator.FleetFailures(now)
	}
	return b.fleet
}

// slowness returns how long the replica takes for a request, in relation to the mean of its service.
func (r *ReplicaState) slowness(now time.Time) float64 { return r.estimate.Slowness(now) }

// wait returns how long an attempt waits for a slot and for the work in progress, if each attempt takes the given time.
func (r *ReplicaState) wait(now time.Time, latency time.Duration) time.Duration {
	left, inFlight := r.workLeft(now, latency)
	if inFlight == 0 {
		return 0
	}
	wait := left / 4
	if queued := inFlight + 1 - float64(r.Slots); queued > 0 && r.Slots > 0 {
		wait += left / inFlight * queued / float64(r.Slots)
	}
	return time.Duration(wait)
}

// workLeft returns the expected work of the attempts in flight as far as it is known, and their number.
func (r *ReplicaState) workLeft(now time.Time, latency time.Duration) (float64, float64) {
	left, inFlight := r.ownWorkLeft(now, latency)
	if shared := r.estimate.WorkLeft(now); shared > 0 && latency > 0 {
		left += float64(shared)
		inFlight += float64(shared) / float64(latency)
	}
	return left, inFlight
}

// ownWorkLeft returns the expected work of the attempts that this instance has in flight, and their number.
func (r *ReplicaState) ownWorkLeft(now time.Time, latency time.Duration) (float64, float64) {
	left := 0.0
	inFlight := float64(len(r.startTimes) + len(r.relayedTimes))
	for _, startedAt := range r.startTimes {
		left += float64(attemptLeft(now.Sub(startedAt), latency))
	}
	for _, startedAt := range r.relayedTimes {
		left += float64(attemptLeft(now.Sub(startedAt), latency))
	}
	return left, inFlight
}

func attemptLeft(age, latency time.Duration) time.Duration {
	return max(latency-age, time.Duration(minWorkLeftShare*float64(latency)))
}

// ReplyTime is the time that a replica took for a reply.
type ReplyTime struct {
	Replica *ReplicaState
	Elapsed time.Duration
}

// RecordReplyTimes records the reply times of one request at many services and returns its work, which is the median. A request that is slow everywhere is costly, and says nothing against the replicas.
func (b *Balancer) RecordReplyTimes(now time.Time, class string, replies []ReplyTime) time.Duration {
	work := b.medianElapsed(replies)
	if work == 0 {
		return 0
	}
	b.estimator.RecordWork(now, class, work)
	b.estimator.RecordReplies(now, len(replies))
	for _, reply := range replies {
		b.recordReplyTime(now, reply, work)
	}
	return work
}

// RecordLateReplyTime records the reply time of one replica that is not among those of RecordReplyTimes, for a request of the given work, 0 if it is unknown.
func (b *Balancer) RecordLateReplyTime(now time.Time, reply ReplyTime, work time.Duration) {
	b.estimator.RecordReplies(now, 1)
	b.recordReplyTime(now, reply, work)
}

func (b *Balancer) recordReplyTime(now time.Time, reply ReplyTime, work time.Duration) {
	if s := b.services[reply.Replica.Service]; s != nil {
		b.estimator.RecordReply(now, &s.estimate, &reply.Replica.estimate, work, reply.Elapsed)
		b.noteDeviation(now, reply.Replica)
	}
}

func (b *Balancer) medianElapsed(replies []ReplyTime) time.Duration {
	if len(replies) == 0 {
		return 0
	}
	b.sortSpace = b.sortSpace[:0]
	for _, reply := range replies {
		b.sortSpace = append(b.sortSpace, reply.Elapsed)
	}
	slices.Sort(b.sortSpace)
	return b.sortSpace[len(b.sortSpace)/2]
}

// ExpectedWork returns the expected work of a request of the class, 0 if none was observed.
func (b *Balancer) ExpectedWork(class string) estimator.Work { return b.estimator.Work(class) }

// RecordRejection records that the replica has rejected an attempt. It accepts others perhaps, so that it is not avoided altogether.
func (b *Balancer) RecordRejection(now time.Time, r *ReplicaState) {
	b.estimator.RecordRejection(now, &r.estimate)
	b.noteDeviation(now, r)
}

// RecordMinWork records a lower bound of the work of a request of the class.
func (b *Balancer) RecordMinWork(now time.Time, class string, work time.Duration) {
	b.estimator.RecordWork(now, class, work)
}

// Explain returns the cost of an attempt at the replica for a request of the given work.
func (b *Balancer) Explain(now time.Time, r *ReplicaState, work time.Duration) Cost {
	s := b.services[r.Service]
	if s == nil {
		return Cost{}
	}
	if work == 0 {
		work = s.typicalLatency()
	}
	return b.costOf(now, s, r, work)
}
