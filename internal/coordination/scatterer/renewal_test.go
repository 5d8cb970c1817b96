package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// TestRenews holds which requests are begun anew by a newer configuration: never one that may have run and must not run again, nor one that has its answer or no time left.
func TestRenews(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		kind       DecisionKind
		reason     Reason
		after      time.Duration
		// service is the newer route's; the older one's is "one".
		service string
		want    bool
	}{
		{"no replica", true, Refused, ReasonNoReplica, 0, "two", true},
		{"no replica, once", false, Refused, ReasonNoReplica, 0, "two", true},
		{"congested", true, Refused, ReasonCongested, 0, "two", false},
		{"rejected", false, Refused, ReasonRejected, 0, "two", false},
		{"broke off", true, Failed, ReasonBroken, 10 * time.Millisecond, "two", true},
		{"broke off, once", false, Failed, ReasonBroken, 10 * time.Millisecond, "two", false},
		{"expired, once", false, Expired, ReasonDeadline, 10 * time.Millisecond, "two", false},
		{"caller gone", true, Failed, ReasonAbandoned, 0, "two", false},
		{"too late", true, Refused, ReasonNoReplica, 60 * time.Millisecond, "two", false},
		{"no replica, same service", true, Refused, ReasonNoReplica, 0, "one", true},
		{"broke off, same service", true, Failed, ReasonBroken, 0, "one", false},
		{"no route any more", true, Refused, ReasonNoReplica, 0, "", false},
		{"answered", true, Gathered, ReasonNone, 0, "two", false},
		{"answered in part", true, Gathered, ReasonShardsLost, 0, "two", false},
		{"failure relayed", true, Relayed, ReasonBroken, 0, "two", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := &Request{
				Route:   single(c.idempotent),
				Arrived: start,
			}
			d := &Decision{
				Kind:   c.kind,
				Reason: c.reason,
			}
			var next *matcher.Route
			if c.service != "" {
				next = single(c.idempotent)
				next.Service = c.service
			}
			if got := Renews(request, d, next, start.Add(c.after)); got != c.want {
				t.Errorf("begun anew: %t", got)
			}
		})
	}
}
