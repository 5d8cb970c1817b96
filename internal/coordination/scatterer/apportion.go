package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/apportioner"
)

// isApportioned reports whether the request counts for fair shares: a query of an organisation.
func (j *Job) isApportioned() bool {
	return j.policies.Apportioner != nil && j.request.Organisation != nil && j.request.Route.IsSharded()
}

// isOverloaded reports whether so many shards shed load that the request would probably get no answer. Fewer shed shards cost an answer nothing but parts.
func (j *Job) isOverloaded(now time.Time) bool {
	spare := len(j.shards) - j.requiredCount()
	for _, s := range j.shards {
		if j.policies.Shedder.IsShedding(now, j.traffic(s.service)) {
			spare--
		}
		if spare < 0 {
			return true
		}
	}
	return false
}

// apportion returns 0 if the request may be sent as far as its organisation's share goes, and otherwise when its caller is to come back.
func (j *Job) apportion(now time.Time) time.Duration {
	if !j.isApportioned() || j.policies.Apportioner.Level(now) == 0 || !j.isOverloaded(now) {
		return 0
	}
	return j.policies.Apportioner.Admit(now, apportioner.Traffic{
		Organisation: j.request.Organisation.Name,
		Priority:     j.request.Priority(),
	})
}

// observeForApportioner records an attempt of an organisation's query.
func (j *Job) observeForApportioner(now time.Time, isCongested bool) {
	if j.isApportioned() {
		j.policies.Apportioner.ObserveAttempt(now, isCongested)
	}
}
