package scatterer

import "time"

const (
	// stoppingTargets and stoppingWorks are how many times the target latency and the expected work of its route a request may need at most, as assumed of one that arrives while the instance stops.
	stoppingTargets = 2
	stoppingWorks   = 4
	// stoppingOnceFactor is by how much more is assumed for a request that may not be sent again if it is cut off.
	stoppingOnceFactor = 2
)

// CanFinish reports whether a request that arrives while this instance stops can be expected to be answered before it ends. What is expected of the request's work may be 0 if nothing is known of it.
func CanFinish(request *Request, expectedWork time.Duration, now, end time.Time) bool {
	limit := request.ArrivedAt.Add(request.Route.Timeout)
	if !request.Deadline.IsZero() {
		limit = earlier(limit, request.Deadline)
	}
	needed := max(stoppingTargets*request.Route.TargetLatency, stoppingWorks*expectedWork)
	if !request.Route.Idempotent {
		needed *= stoppingOnceFactor
	}
	if needed == 0 {
		return !limit.After(end)
	}
	return !earlier(limit, now.Add(needed)).After(end)
}
