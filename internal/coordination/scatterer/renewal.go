package scatterer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// renewalShare of the target latency must be left for a request to be begun anew.
const renewalShare = 0.5

// Renews reports whether a request that could not be answered is to be begun anew by the route of a newer configuration, as where an index is partitioned anew and the replicas of its former shards have left: only what has not run, or may run again by replicas that were not asked yet, and only while an answer could still be in time.
func Renews(request *Request, d *Decision, next *matcher.Route, now time.Time) bool {
	route := request.Route
	if next == nil || next.Idempotent != route.Idempotent {
		return false
	}
	if now.Sub(request.Arrived) > time.Duration((1-renewalShare)*float64(route.Target)) {
		return false
	}
	switch d.Kind {
	case Refused:
		return d.Reason == ReasonNoReplica
	case Failed, Expired:
		return route.Idempotent && d.Reason != ReasonAbandoned && !shareServices(route, next)
	default:
		return false
	}
}

func shareServices(a, b *matcher.Route) bool {
	return slices.ContainsFunc(a.ServiceNames(), func(name string) bool { return slices.Contains(b.ServiceNames(), name) })
}
