package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// TestShouldReroute checks which requests are sent again under a newer configuration: never one that may have run and is not idempotent, that has its answer, or that has too little time left.
func TestShouldReroute(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		kind       DecisionKind
		reason     Reason
		elapsed    time.Duration
		// service is the newer route's service; the older route uses "one".
		service string
		want    bool
	}{
		{"no replica", true, Refused, ReasonNoReplica, 0, "two", true},
		{"no replica, not idempotent", false, Refused, ReasonNoReplica, 0, "two", true},
		{"congested", true, Refused, ReasonCongested, 0, "two", false},
		{"rejected", false, Refused, ReasonRejected, 0, "two", false},
		{"broken", true, Failed, ReasonReplicaFailed, 10 * time.Millisecond, "two", true},
		{"broken, not idempotent", false, Failed, ReasonReplicaFailed, 10 * time.Millisecond, "two", false},
		{"expired, not idempotent", false, Expired, ReasonDeadline, 10 * time.Millisecond, "two", false},
		{"caller gone", true, Failed, ReasonCallerGone, 0, "two", false},
		{"too little time left", true, Refused, ReasonNoReplica, 60 * time.Millisecond, "two", false},
		{"no replica, same service", true, Refused, ReasonNoReplica, 0, "one", true},
		{"broken, same service", true, Failed, ReasonReplicaFailed, 0, "one", false},
		{"no matching route", true, Refused, ReasonNoReplica, 0, "", false},
		{"answered", true, Gathered, ReasonNone, 0, "two", false},
		{"partial answer", true, Gathered, ReasonShardsLost, 0, "two", false},
		{"relayed failure", true, Relayed, ReasonReplicaFailed, 0, "two", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := &Request{
				Route:     singleRoute(c.idempotent),
				ArrivedAt: start,
			}
			d := &Decision{
				Kind:   c.kind,
				Reason: c.reason,
			}
			var next *matcher.Route
			if c.service != "" {
				next = singleRoute(c.idempotent)
				next.Service = c.service
			}
			if got := ShouldReroute(request, d, next, start.Add(c.elapsed)); got != c.want {
				t.Errorf("rerouted: %t", got)
			}
		})
	}
}
