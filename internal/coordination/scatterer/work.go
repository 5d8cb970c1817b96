package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

// requestWork is what is known of the work of a request over shards.
type requestWork struct {
	// expected is the expected work of the request's class.
	expected time.Duration
	// half is how long the reply took with which half of the shards had answered, 0 before.
	half time.Duration
	// known is the median of the reply times once the request is decided.
	known time.Duration
	// replies holds the reply times until then.
	replies []balancer.ReplyTime
}

// best returns the best estimate so far.
func (w *requestWork) best() time.Duration {
	if w.half > 0 {
		return w.half
	}
	return w.expected
}

// demand returns what a replica of the shard is picked for.
func (j *Job) demand(s *shard) balancer.Demand {
	return balancer.Demand{
		Service: s.service,
		Work:    j.work.best(),
	}
}

// recordReplyTime records the time that a reply took. Those of shards are compared with each other once the request is decided.
func (j *Job) recordReplyTime(now time.Time, a *Attempt, elapsed time.Duration) {
	b := j.policies.Balancer
	if !j.request.Route.IsSharded() {
		b.RecordSuccess(now, a.Replica, j.class, elapsed)
		return
	}
	b.RecordAnswer(a.Replica, j.class, elapsed)
	reply := balancer.ReplyTime{
		Replica: a.Replica,
		Elapsed: elapsed,
	}
	if j.decision != nil {
		b.RecordLateReplyTime(now, reply, j.work.known)
		return
	}
	j.work.replies = append(j.work.replies, reply)
	if j.work.half == 0 && 2*len(j.work.replies) >= len(j.shards) {
		j.work.half = elapsed
	}
}

// learnWork records the request's work and the reply times once it is decided. If less than half of the shards have answered although attempts were made, the work is at least the time that has passed.
func (j *Job) learnWork(now time.Time) {
	if !j.request.Route.IsSharded() || j.work.known > 0 {
		return
	}
	b := j.policies.Balancer
	if j.work.half > 0 {
		j.work.known = b.RecordReplyTimes(now, j.class, j.work.replies)
		return
	}
	for _, reply := range j.work.replies {
		b.RecordLateReplyTime(now, reply, 0)
	}
	pending := 0
	for _, s := range j.shards {
		pending += min(1, len(s.pending))
	}
	if elapsed := now.Sub(j.request.ArrivedAt); 2*pending >= len(j.shards) && elapsed > j.work.expected {
		b.RecordMinWork(now, j.class, elapsed)
	}
}
