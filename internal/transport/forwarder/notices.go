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

// logNotice logs what a replica says of itself if it differs from what it said before; the mutex must be held.
func (f *Forwarder) logNotice(r *balancer.ReplicaState, before balancer.Notice) {
	limit, limitBefore := r.Notice().RateLimit, before.RateLimit
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
	message := &wire.ReplicaNotice{}
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
	}
}
