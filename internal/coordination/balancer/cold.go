package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

const (
	// rampSteps is in how many steps the limit of a replica that has become warm is doubled before it ends, and rampStep how long each lasts.
	rampSteps = 3
	rampStep  = 2 * time.Second
	// drainCaution is how long replicas are taken for cold after the end of a drain of their zone, in which they may have turned cold. It is longer than it takes until a heartbeat that says so has arrived.
	drainCaution = 3 * time.Second
)

// ColdLimit is how a service's cold replicas are limited.
type ColdLimit struct {
	// PerSecond is how many requests a cold replica accepts from all instances together; 0 means no limit.
	PerSecond float64
	// Duration is how long a replica is cold after its start.
	Duration time.Duration
}

// ColdPolicy is how cold replicas are limited, and by how much the requests at one may exceed its limit in a second.
type ColdPolicy struct {
	// Limit returns the limit of a service. It must not call the balancer.
	Limit     func(service string) ColdLimit
	Overage   float64
	Tolerance float64
}

// coldShare is this instance's part of the limits of cold replicas.
type coldShare struct {
	instances int
	phase     float64
}

// SetColdPolicy sets how cold replicas are limited. Without it they are not.
func (b *Balancer) SetColdPolicy(policy ColdPolicy) { b.coldPolicy = policy }

// SetColdShare sets the number of entry instances that share the limits of cold replicas, and this instance's place among them, from 0 to below 1.
func (b *Balancer) SetColdShare(instances int, phase float64) {
	b.coldShare = coldShare{
		instances: instances,
		phase:     phase,
	}
}

// TryRelay takes the permit for an attempt that this instance sends to the replica for another one, and reports whether there is one. Replicas that are not limited as cold ones need none.
func (b *Balancer) TryRelay(now time.Time, r *ReplicaState) bool {
	if b.nextColdPermit(now, r).After(now) {
		return false
	}
	b.takeColdPermit(now, r)
	return true
}

// ColdCount returns how many replicas are limited because they are cold or were until recently.
func (b *Balancer) ColdCount(now time.Time) int {
	count := 0
	for _, r := range b.replicasByID {
		if b.coldRate(now, r) > 0 {
			count++
		}
	}
	return count
}

// IsCold reports whether the replica is limited because it is cold or was until recently.
func (b *Balancer) IsCold(now time.Time, r *ReplicaState) bool { return b.coldRate(now, r) > 0 }

// nextSend returns when the replica accepts an attempt, by its pauses, its rate limit and its limit while it is cold.
func (b *Balancer) nextSend(now time.Time, r *ReplicaState) time.Time {
	next := r.nextSend(now)
	if permit := b.nextColdPermit(now, r); permit.After(next) {
		return permit
	}
	return next
}

// nextColdPermit returns when this instance may send the replica an attempt while it is cold, which is the zero time if it is not.
func (b *Balancer) nextColdPermit(now time.Time, r *ReplicaState) time.Time {
	rate := b.coldRate(now, r)
	if rate == 0 {
		r.coldPacer = nil
		return time.Time{}
	}
	share := limiter.AlignedShare{
		PerSecond: limiter.PermitRate(rate, b.coldPolicy.Overage, b.coldPolicy.Tolerance),
		Instances: b.coldShare.instances,
		Phase:     b.coldPhase(r.Zone),
		Lifetime:  limiter.PermitLifetime(rate, b.coldPolicy.Overage, b.coldPolicy.Tolerance),
	}
	if r.coldPacer == nil {
		r.coldPacer = limiter.NewAlignedPacer(now, share)
	} else {
		r.coldPacer.SetShare(now, share)
	}
	return r.coldPacer.NextPermit(now)
}

func (b *Balancer) takeColdPermit(now time.Time, r *ReplicaState) {
	if b.nextColdPermit(now, r); r.coldPacer != nil {
		r.coldPacer.Take(now)
	}
}

// coldPhase returns the phase of this instance's permits in the zone. It is the same for all replicas of the zone, so that a query over many shards finds permits for all of them at once, and differs between zones, so that the replicas of a shard have theirs at different times.
func (b *Balancer) coldPhase(zone string) float64 {
	phase := b.coldShare.phase + float64(xxhash.Sum64String(zone)>>11)/(1<<53)
	if phase >= 1 {
		phase--
	}
	return phase
}

// coldRate returns how many requests a second the replica accepts from all instances together because it is cold, or was until recently, or 0 if that does not limit it.
func (b *Balancer) coldRate(now time.Time, r *ReplicaState) float64 {
	if b.coldPolicy.Limit == nil {
		return 0
	}
	limit := b.coldPolicy.Limit(r.Service)
	if !(limit.PerSecond > 0) {
		return 0
	}
	end := r.coldEnd(now, limit.Duration)
	if drainEnd, ok := b.drainEnds[r.Zone]; ok && end.Before(drainEnd.Add(drainCaution)) {
		end = drainEnd.Add(drainCaution)
	}
	warmFor := now.Sub(end)
	if warmFor < 0 {
		return limit.PerSecond
	}
	if step := warmFor / rampStep; step < rampSteps {
		return limit.PerSecond * float64(int(2)<<step)
	}
	return 0
}

// coldEnd returns when the replica is, or was, warm: by what it has said in responses and, through control, in heartbeats, or by its start if it has said nothing. A start time in the future by more than the duration is ignored, since the clocks differ then.
func (r *ReplicaState) coldEnd(now time.Time, duration time.Duration) time.Time {
	if end := r.statedColdEnd(); !end.IsZero() {
		return end
	}
	born := time.UnixMilli(r.BornMs)
	if r.BornMs == 0 || born.After(now.Add(duration)) {
		return time.Time{}
	}
	return born.Add(duration)
}

// statedColdEnd returns when the replica is warm by what it has said, or the zero time if it has not said that it is cold.
func (r *ReplicaState) statedColdEnd() time.Time {
	if r.coldUntil.After(r.ColdUntil) {
		return r.coldUntil
	}
	return r.ColdUntil
}
