package scatterer

import (
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/apportioner"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
)

// TestFairShares checks that an organisation far above its usual use gets whole queries refused under congestion, with a time to come back and without an attempt. It guards against refusals of others, and of requests without an organisation.
func TestFairShares(t *testing.T) {
	cases := []struct {
		name         string
		organisation *matcher.Organisation
		isRefused    bool
	}{
		{"above its usual use", &matcher.Organisation{
			Name: "hot",
		}, true},
		{"at its usual use", &matcher.Organisation{
			Name: "usual",
		}, false},
		{"no organisation", nil, false},
	}
	route := shardedRoute(4, 0.75)
	for _, c := range cases {
		p := newPolicies(100, route.Shards...)
		p.Apportioner = apportioner.New(rand.New(rand.NewPCG(1, 2)))
		now := start
		// Half a second of congestion leaves the level below 1, where no priority is shed.
		for range 50 {
			now = now.Add(10 * time.Millisecond)
			p.Apportioner.ObserveAttempt(now, true)
		}
		p.Apportioner.Observe(now, "hot", 700, 100)
		p.Apportioner.Observe(now, "usual", 100, 100)
		refused := 0
		for range 20 {
			j := newJobAt(now, route, p)
			j.request.Organisation = c.organisation
			attempts := j.Start(now)
			if d := j.Decision(); d != nil && d.Reason == ReasonOverShare {
				refused++
				if len(attempts) > 0 || d.Kind != Refused || d.RetryAfter == 0 {
					t.Fatalf("%s: %d attempts, decision %+v", c.name, len(attempts), d)
				}
			}
			for _, a := range attempts {
				p.Balancer.RecordEnd(a.Replica, a.StartedAt)
			}
		}
		if (refused > 0) != c.isRefused || refused > 14 {
			t.Errorf("%s: %d of 20 refused", c.name, refused)
		}
	}
}
