package scatterer

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// TestHomeRegions guards against attempts of any kind outside the home regions of the route or the organisation, and against a request without a candidate that waits or names a wrong reason.
func TestHomeRegions(t *testing.T) {
	cases := []struct {
		name                string
		route, organisation []string
		drained             []string
		zones               string
		reason              Reason
	}{
		{"none", nil, nil, nil, "ab", ReasonNone},
		{"route", []string{"east"}, nil, nil, "a", ReasonNone},
		{"organisation", nil, []string{"west"}, nil, "b", ReasonNone},
		{"both", []string{"east", "west"}, []string{"west", "north"}, nil, "b", ReasonNone},
		{"in contradiction", []string{"east"}, []string{"west"}, nil, "", ReasonHomeRegions},
		{"without replicas", []string{"north"}, nil, nil, "", ReasonHomeRegions},
		{"drained", []string{"east"}, nil, []string{"a"}, "", ReasonZoneDrained},
		{"zone of an unknown region", []string{""}, nil, nil, "", ReasonHomeRegions},
	}
	for _, c := range cases {
		p := newPolicies(10, shardNames(4)...)
		p.ZoneRegions = map[string]string{
			"a": "east",
			"b": "west",
		}
		if c.name == "zone of an unknown region" {
			p.ZoneRegions = nil
		}
		p.Balancer.SetDrainedZones(start, c.drained)
		route := shardedRoute(4, 1)
		route.HomeRegions = c.route
		j := New(Request{
			ID:        "1",
			Route:     route,
			ArrivedAt: start,
			Organisation: &matcher.Organisation{
				HomeRegions: c.organisation,
			},
		}, p)
		attempts := sendAllKinds(j)
		if d := j.Decision(); c.reason != ReasonNone && (d == nil || d.Kind != Refused || d.Reason != c.reason || d.RetryAfter <= 0) {
			t.Errorf("%s: decision %+v, want refused with reason %q", c.name, d, c.reason)
		}
		if got := zonesOf(attempts); got != c.zones {
			t.Errorf("%s: attempts in zones %q, want %q", c.name, got, c.zones)
		}
	}
}

// sendAllKinds starts the job and returns its first attempts, the hedge of a straggler and the retry of an attempt that is rejected, as far as it sends them.
func sendAllKinds(j *Job) []*Attempt {
	attempts := j.Start(start)
	if j.Decision() != nil {
		return attempts
	}
	for _, a := range attempts[1:] {
		j.HandleOutcome(start.Add(2*time.Millisecond), a, replied(200))
	}
	hedges, _ := tickUntilSent(j, 80*time.Millisecond)
	retries := j.HandleOutcome(start.Add(90*time.Millisecond), attempts[0], outcomeOf(OutcomeRejected))
	return slices.Concat(attempts, hedges, retries)
}

// zonesOf returns the zones of the attempts' replicas in order.
func zonesOf(attempts []*Attempt) string {
	seen := map[string]bool{}
	for _, a := range attempts {
		seen[a.Replica.Zone] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(seen)), "")
}
