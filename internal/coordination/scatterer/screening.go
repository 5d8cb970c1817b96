package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/screener"
)

// screening is the state of a request that may crash the replicas that run it.
type screening struct {
	// isCautious is set if replicas have crashed under the request. While no shard has answered, only one attempt is then in flight beyond those already sent.
	isCautious bool
	// probe is that attempt.
	probe *Attempt
	// hasFailed is set once a probe's replica has crashed too; nothing is sent after that.
	hasFailed bool
}

// screen skips the shards from which the request is quarantined. If too few are left for an answer, it returns when the caller may come again.
func (j *Job) screen(now time.Time) time.Duration {
	verdict := j.policies.Screener.Check(now, j.request.Fingerprint)
	j.screening.isCautious = verdict.IsSuspect && j.request.Route.IsSharded()
	if verdict.QuarantinedFor == 0 {
		return 0
	}
	allowed := 0
	for _, s := range j.shards {
		s.skipped = j.isQuarantined(now, s)
		if !s.skipped {
			allowed++
		}
	}
	if allowed >= j.requiredCount() {
		return 0
	}
	return verdict.RetryAfter
}

// sendOrder returns the indexes of the shards in the order of their first attempts. The probe of a suspect request goes to a shard whose replicas have not crashed under it, if there is one.
func (j *Job) sendOrder() []int {
	order := make([]int, 0, len(j.shards))
	var crashed []int
	for i, s := range j.shards {
		if j.screening.isCautious && j.policies.Screener.HasCrashed(j.request.Fingerprint, s.service) {
			crashed = append(crashed, i)
			continue
		}
		order = append(order, i)
	}
	return append(order, crashed...)
}

// isQuarantined reports whether the request is kept from the shard.
func (j *Job) isQuarantined(now time.Time, s *shard) bool {
	if j.request.Route.IsSharded() {
		return j.policies.Screener.IsShardQuarantined(now, j.request.Fingerprint, s.service)
	}
	return j.policies.Screener.Check(now, j.request.Fingerprint).QuarantinedFor > 0
}

// isHeld reports whether an attempt has to wait for the result of the probe.
func (j *Job) isHeld() bool {
	return j.screening.isCautious && j.answeredShards == 0 && j.screening.probe != nil
}

// notePlaced remembers the attempt as the probe if one is needed.
func (j *Job) notePlaced(a *Attempt) {
	if j.screening.isCautious && j.answeredShards == 0 {
		j.screening.probe = a
	}
}

// updateScreening handles the outcome of an attempt of a request over shards. A crash before any shard has answered may be the request's fault, so that a retry of each shard could crash the rest of the replicas.
func (j *Job) updateScreening(a *Attempt, outcome Outcome) {
	if !j.request.Route.IsSharded() {
		return
	}
	wasProbe := a == j.screening.probe
	if wasProbe {
		j.screening.probe = nil
	}
	if !outcome.ConnectionLost || j.answeredShards > 0 {
		return
	}
	j.screening.isCautious = true
	if wasProbe {
		j.screening.hasFailed = true
		j.noteChange()
		for _, s := range j.shards {
			s.retryAt = time.Time{}
		}
	}
}

// releaseShards returns the attempts of the shards that waited for the probe, once a shard has answered.
func (j *Job) releaseShards(now time.Time) []*Attempt {
	if !j.screening.isCautious || j.answeredShards == 0 {
		return nil
	}
	j.screening.isCautious = false
	j.noteChange()
	var attempts []*Attempt
	for i, s := range j.shards {
		if s.reply == nil && len(s.pending) == 0 && !s.retryAt.IsZero() {
			attempts = append(attempts, j.sendShard(now, i, s)...)
		}
	}
	return attempts
}

// recordSuspicion records whether the attempt's replica crashed, answered, or has run on after a supposed crash.
func (j *Job) recordSuspicion(now time.Time, a *Attempt, outcome Outcome) {
	ended := screener.Attempt{
		Fingerprint: j.request.Fingerprint,
		Service:     a.Service,
		Replica:     a.Replica.ID,
		BornMs:      a.Replica.BornMs,
		Round:       a.round,
	}
	switch {
	case outcome.ConnectionLost:
		j.policies.Screener.RecordCrash(now, ended)
	case outcome.Kind == OutcomeReplied:
		j.policies.Screener.RecordAnswer(now, ended)
	}
	if outcome.Kind == OutcomeReplied || outcome.Kind == OutcomeRejected {
		j.policies.Screener.RecordResponse(now, ended, screener.Delivery{
			SentAt:      a.StartedAt,
			ConnectedAt: outcome.ConnectedAt,
		})
	}
}
