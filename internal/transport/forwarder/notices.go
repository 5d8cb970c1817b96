package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// recordRelayed records what the end of a peer's attempt says about the replica and the path to it.
func (f *Forwarder) recordRelayed(r *balancer.ReplicaState, outcome *scatterer.Outcome) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recordPath(r.ID, outcome)
	if outcome.Notice == nil {
		return
	}
	now := time.Now()
	before := r.Notice(now)
	f.balancer.RecordNotice(now, r, *outcome.Notice)
	f.logNotice(now, r, before)
}

// refusalNotice returns what the replica has said of itself if this instance may not send it a peer's attempt now, and nil if it may. An attempt at a cold replica takes a permit of this instance.
func (f *Forwarder) refusalNotice(r *balancer.ReplicaState) *balancer.Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if r.Accepts(now) && f.balancer.TryRelay(now, r) {
		return nil
	}
	notice := r.Notice(now)
	return &notice
}

// logNotice logs what a replica says of itself if it differs from what it said before; the mutex must be held.
func (f *Forwarder) logNotice(now time.Time, r *balancer.ReplicaState, before balancer.Notice) {
	notice := r.Notice(now)
	if notice.IsLeaving && !before.IsLeaving {
		f.log.Info("replica is leaving", "replica", r.ID, "service", r.Service, "address", r.Address)
	}
	if notice.RetryAfter > before.RetryAfter {
		f.log.Info("replica paused", "replica", r.ID, "service", r.Service, "retry-after-ms", notice.RetryAfter.Milliseconds())
	}
	if notice.ColdFor > 0 && before.ColdFor == 0 {
		f.log.Info("replica is cold", "replica", r.ID, "service", r.Service, "for-ms", notice.ColdFor.Milliseconds())
	}
	limit, limitBefore := notice.RateLimit, before.RateLimit
	if limit != limitBefore {
		f.log.Info("replica rate limit changed", "replica", r.ID, "service", r.Service, "limited", limit.IsStated, "per-second", limit.PerSecond,
			"limited-before", limitBefore.IsStated, "per-second-before", limitBefore.PerSecond, "instances", f.entryInstances)
	}
}

// targetOf returns how to reach the replica; the mutex must be held.
func targetOf(r *balancer.ReplicaState) exchanger.Target {
	return exchanger.Target{
		Replica: r.ID,
		Service: r.Service,
		Address: r.Address,
		Zone:    r.Zone,
	}
}

func noticeToWire(notice *balancer.Notice) *wire.ReplicaNotice {
	if notice == nil {
		return nil
	}
	message := &wire.ReplicaNotice{
		Leaving:      notice.IsLeaving,
		RetryAfterUs: uint64(notice.RetryAfter.Microseconds()),
		ColdMs:       uint32(notice.ColdFor.Milliseconds()),
	}
	if notice.RateLimit.IsStated {
		message.RateLimit = &notice.RateLimit.PerSecond
	}
	message.Load = loadToWire(&notice.Load)
	return message
}

func noticeFromWire(message *wire.ReplicaNotice) *balancer.Notice {
	if message == nil {
		return nil
	}
	return &balancer.Notice{
		RateLimit: limiter.RateLimit{
			IsStated:  message.RateLimit != nil,
			PerSecond: message.GetRateLimit(),
		},
		IsLeaving:  message.GetLeaving(),
		RetryAfter: time.Duration(message.GetRetryAfterUs()) * time.Microsecond,
		Load:       loadFromWire(message.GetLoad()),
		ColdFor:    time.Duration(message.GetColdMs()) * time.Millisecond,
	}
}
