package scatterer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// minRemainingShare is the share of the target latency that must remain for a request to be sent again along a newer route.
const minRemainingShare = 0.5

// ShouldReroute reports whether a request without an answer is sent again along the route of a newer configuration, for example after an index was repartitioned and the replicas of its old shards have left. It must have been refused for lack of a replica, or be idempotent and use only other services on the new route, and an answer must still be possible in time.
func ShouldReroute(request *Request, d *Decision, next *matcher.Route, now time.Time) bool {
	route := request.Route
	if next == nil || next.Idempotent != route.Idempotent {
		return false
	}
	if now.Sub(request.ArrivedAt) > time.Duration((1-minRemainingShare)*float64(route.TargetLatency)) {
		return false
	}
	switch d.Kind {
	case Refused:
		return d.Reason == ReasonNoReplica
	case Failed, Expired:
		return route.Idempotent && d.Reason != ReasonCallerGone && !haveCommonService(route, next)
	default:
		return false
	}
}

func haveCommonService(a, b *matcher.Route) bool {
	return slices.ContainsFunc(a.ServiceNames(), func(name string) bool { return slices.Contains(b.ServiceNames(), name) })
}
