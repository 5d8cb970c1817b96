package balancer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

// Notice is what a replica says of itself in a response.
type Notice struct {
	// RateLimit is the limit for the requests of all entry instances together.
	RateLimit limiter.RateLimit
	// IsLeaving is set if the replica is about to stop.
	IsLeaving bool
	// RetryAfter is how long the replica accepts no request from this instance, after it has rejected one.
	RetryAfter time.Duration
	// Load is the load that the replica reports, which may be false or out of date.
	Load ReplicaLoad
	// ColdFor is how much longer the replica is cold; 0 if it does not say that it is.
	ColdFor time.Duration
}

// leavingGrace is how long a replica that is leaving remains a last resort. It accepts work for a few seconds.
const leavingGrace = 2 * time.Second

// RecordNotice records what the replica says of itself in its latest response. A replica that has said that it is leaving does not come back in this incarnation.
func (b *Balancer) RecordNotice(now time.Time, r *ReplicaState, notice Notice) {
	if notice.IsLeaving && r.leavingSince.IsZero() {
		r.leavingSince = now
	}
	if until := now.Add(notice.RetryAfter); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	r.load.record(now, notice.Load)
	if notice.ColdFor > 0 {
		r.coldUntil = now.Add(notice.ColdFor)
	}
	switch {
	case !notice.RateLimit.IsStated:
		r.pacer = nil
	case r.pacer == nil:
		r.pacer = limiter.NewPacer(now, notice.RateLimit, b.instances, b.random)
	default:
		r.pacer.SetLimit(now, notice.RateLimit, b.instances)
	}
}

// Notice returns what the replica has said of itself, with what is left of a pause.
func (r *ReplicaState) Notice(now time.Time) Notice {
	notice := Notice{
		IsLeaving:  !r.leavingSince.IsZero(),
		RetryAfter: max(0, r.pausedUntil.Sub(now)),
		ColdFor:    max(0, r.statedColdEnd().Sub(now)),
	}
	if r.pacer != nil {
		notice.RateLimit = r.pacer.Limit()
	}
	return notice
}

// Accepts reports whether the replica accepts requests from this instance at all, leaving aside its rate limit.
func (r *ReplicaState) Accepts(now time.Time) bool {
	return !r.hasLeft(now) && !now.Before(r.pausedUntil)
}

// hasLeft reports whether the replica has been leaving for so long that it accepts no work.
func (r *ReplicaState) hasLeft(now time.Time) bool {
	return !r.leavingSince.IsZero() && now.Sub(r.leavingSince) >= leavingGrace
}

// nextSend returns when the replica accepts an attempt, which is now or earlier if it does already.
func (r *ReplicaState) nextSend(now time.Time) time.Time {
	if r.pacer == nil {
		return r.pausedUntil
	}
	if permit := r.pacer.NextPermit(now); permit.After(r.pausedUntil) {
		return permit
	}
	return r.pausedUntil
}
