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
	// Rejected and Lost are the probabilities that the attempt is rejected or left without a useful reply.
	Rejected float64
	Lost     float64
}

// Total returns the expected time to a useful reply.
func (c *Cost) Total() time.Duration { return c.Work + c.Wait + c.Zone + c.Repeats + c.Avoided }

// setCost sets the expected time to a useful reply of an attempt at the replica. c must be empty; it is not returned because copies take a part of the time for a decision.
func (b *Balancer) setCost(c *Cost, now time.Time, s *serviceState, r *ReplicaState, work time.Duration) {
	c.Slowness = r.slowness(now)
	c.Work = time.Duration(float64(work) * c.Slowness)
	if r.isBusy() {
		latency := time.Duration(float64(s.typicalLatency()) * c.Slowness)
		c.Wait = max(r.wait(now, latency), r.load.wait(now, latency))
	}
	if r.Zone != b.zone {
		c.Zone = crossZonePenalty
	}
	if b.estimator.MayFail(&r.estimate) {
		c.Rejected, c.Lost, c.Repeats = b.repeatPrice(now, r, work)
	}
	if oldestAge := r.oldestAttemptAge(now); oldestAge > stallFactor*max(work, s.typicalLatency()) {
		c.Avoided += oldestAge
	}
	if r.IsBackingOff(now) {
		c.Avoided += maxBackoff
	}
	if r.isLastResort() {
		c.Avoided += 2 * maxBackoff
	}
}

// isBusy reports whether an attempt at the replica may have to wait, by anything known.
func (r *ReplicaState) isBusy() bool {
	return len(r.startTimes)+len(r.relayedTimes) > 0 || !r.load.at.IsZero() || r.estimate.HasWorkLeft()
}

// repeatPrice returns the probabilities that an attempt is rejected and lost, and the expected price of its repeats. A rejection takes little time, but while many attempts fail, each repeat takes the place of another one in the retry budget.
func (b *Balancer) repeatPrice(now time.Time, r *ReplicaState, work time.Duration) (float64, float64, time.Duration) {
	fleet := b.fleetFailures(now)
	f := b.estimator.Failures(now, &r.estimate, fleet)
	if r.isProbeDue(now) {
		f.Lost = 0
	}
	scarcity := min(1, (fleet.Rejected+fleet.Lost)/scarceShare)
	price := repeatTime + work + time.Duration(scarcity*float64(scarcityPrice))
	return f.Rejected, f.Lost, time.Duration((f.Rejected+f.Lost)*float64(price) + f.Lost*float64(lossTime))
}

// isProbeDue reports whether the replica is to be tried after a failure, so that one that was lost comes back.
func (r *ReplicaState) isProbeDue(now time.Time) bool {
	return r.consecutiveFailures > 0 && !r.IsBackingOff(now)
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
func (r *ReplicaState) slowness(now time.Time) float64 {
	return r.load.slowness(now, r.estimate.Slowness(now))
}

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
	r := reply.Replica
	s := r.service
	if work > 0 && !r.load.at.IsZero() {
		r.load.compare(float64(reply.Elapsed)/(float64(work)*s.estimate.Weight()), r.estimate.Slowness(now))
	}
	b.estimator.RecordReply(now, &s.estimate, &r.estimate, work, reply.Elapsed)
	b.noteDeviation(now, r)
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
	if work == 0 {
		work = r.service.typicalLatency()
	}
	var c Cost
	b.setCost(&c, now, r.service, r, work)
	return c
}
