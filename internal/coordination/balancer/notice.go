package balancer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

// Notice is what a replica says of itself in a response.
type Notice struct {
	// RateLimit is the limit for the requests of all entry instances together.
	RateLimit limiter.RateLimit
}

// RecordNotice records what the replica says of itself in its latest response.
func (b *Balancer) RecordNotice(now time.Time, r *ReplicaState, notice Notice) {
	switch {
	case !notice.RateLimit.IsStated:
		r.pacer = nil
	case r.pacer == nil:
		r.pacer = limiter.NewPacer(now, notice.RateLimit, b.instances, b.random)
	default:
		r.pacer.SetLimit(now, notice.RateLimit, b.instances)
	}
}

// Notice returns what the replica has said of itself.
func (r *ReplicaState) Notice() Notice {
	var notice Notice
	if r.pacer != nil {
		notice.RateLimit = r.pacer.Limit()
	}
	return notice
}

// nextSend returns when the replica accepts an attempt, which is now or earlier if it does already.
func (r *ReplicaState) nextSend(now time.Time) time.Time {
	if r.pacer == nil {
		return now
	}
	return r.pacer.NextPermit(now)
}
