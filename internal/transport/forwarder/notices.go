package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// recordNotice records what a replica says of itself in the response to a peer's attempt; nil is ignored.
func (f *Forwarder) recordNotice(r *balancer.ReplicaState, notice *balancer.Notice) {
	if notice == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := r.Notice()
	f.balancer.RecordNotice(time.Now(), r, *notice)
	f.logNotice(r, before)
}

// refusalNotice returns what the replica has said of itself if it accepts no requests from this instance, and nil if it does.
func (f *Forwarder) refusalNotice(r *balancer.ReplicaState) *balancer.Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Accepts(time.Now()) {
		return nil
	}
	notice := r.Notice()
	return &notice
}

// logNotice logs what a replica says of itself if it differs from what it said before; the mutex must be held.
func (f *Forwarder) logNotice(r *balancer.ReplicaState, before balancer.Notice) {
	notice := r.Notice()
	if notice.IsLeaving && !before.IsLeaving {
		f.log.Info("replica is leaving", "replica", r.ID, "service", r.Service, "address", r.Address)
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
		Leaving: notice.IsLeaving,
	}
	if notice.RateLimit.IsStated {
		message.RateLimit = &notice.RateLimit.PerSecond
	}
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
		IsLeaving: message.GetLeaving(),
	}
}
