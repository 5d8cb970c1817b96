package scatterer

import (
	"math"
	"time"
)

// in returns how many shards have answered.
func (j *Job) in() int { return j.answered }

// awaited returns how many shards may still answer.
func (j *Job) awaited() int {
	count := 0
	for _, s := range j.shards {
		if s.reply == nil && (len(s.pending) > 0 || !s.retryAt.IsZero()) {
			count++
		}
	}
	return count
}

// least returns how many shards an answer must hold.
func (j *Job) least() int {
	if !j.request.Route.IsGathered() {
		return 1
	}
	// A share that is met exactly must not be missed by rounding.
	const epsilon = 1e-9
	return max(1, int(math.Ceil(j.request.Route.LeastShare*float64(len(j.shards))-epsilon)))
}

// settle decides where nothing more can be won by waiting.
func (j *Job) settle(now time.Time) {
	if j.decision != nil {
		return
	}
	in, awaited, least := j.in(), j.awaited(), j.least()
	switch {
	case in == len(j.shards), awaited == 0 && in >= least:
		j.answer(ReasonShardsLost)
	case in+awaited < least:
		j.giveUp(ReasonNone)
	case in >= least && !now.Before(j.soft):
		j.answer(ReasonCut)
	case !now.Before(j.hard):
		j.giveUp(ReasonDeadline)
	}
}

func (j *Job) answer(reason Reason) {
	d := Decision{
		Kind: Gathered,
	}
	if !j.request.Route.IsGathered() {
		d.Kind = Relayed
	}
	for _, s := range j.shards {
		if s.reply == nil {
			d.Missing++
			continue
		}
		d.Replies = append(d.Replies, s.reply)
	}
	if d.Missing > 0 {
		d.Reason = reason
	}
	j.decide(d)
}

// giveUp says no more than what is proved: that nothing has run, or nothing at all.
func (j *Job) giveUp(reason Reason) {
	if !j.request.Route.IsGathered() && j.shards[0].failure != nil {
		j.decide(Decision{
			Kind:    Relayed,
			Reason:  ReasonBroken,
			Replies: []*Reply{j.shards[0].failure},
		})
		return
	}
	ran, rejected := false, false
	for _, s := range j.shards {
		ran = ran || s.runs > 0
		rejected = rejected || s.rejected
	}
	d := Decision{
		Kind:       Failed,
		Reason:     ReasonBroken,
		Missing:    len(j.shards) - j.in(),
		RetryAfter: retryAfterFault,
	}
	switch {
	case !ran && rejected:
		d.Kind = Refused
		d.Reason = ReasonRejected
		d.RetryAfter = retryAfterBusy
	case !ran:
		d.Kind = Refused
		d.Reason = ReasonNoReplica
	case reason == ReasonDeadline:
		d.Kind = Expired
		d.Reason = ReasonDeadline
	}
	j.decide(d)
}

func (j *Job) decide(d Decision) { j.decision = &d }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
