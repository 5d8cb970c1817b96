package scatterer

import (
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/apportioner"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

// TestFairShares checks that an organisation far above its usual use gets whole queries refused while shards shed load, with a time to come back and without an attempt. It guards against refusals of others, of requests without an organisation, and while few enough shards shed load for an answer.
func TestFairShares(t *testing.T) {
	cases := []struct {
		name         string
		organisation *matcher.Organisation
		// congested is the number of shards that shed load.
		congested int
		isRefused bool
	}{
		{"above its usual use", &matcher.Organisation{
			Name: "hot",
		}, 4, true},
		{"above its usual use, one shard of four congested", &matcher.Organisation{
			Name: "hot",
		}, 1, false},
		{"at its usual use", &matcher.Organisation{
			Name: "usual",
		}, 4, false},
		{"no organisation", nil, 4, false},
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
		congest(now, p, route, c.congested)
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

// congest has the first shards of the route shed load.
func congest(now time.Time, p *Policies, route *matcher.Route, count int) {
	for _, service := range route.Shards[:count] {
		for range 12 {
			p.Shedder.Observe(now, shedder.Traffic{
				Service:  service,
				Class:    route.Name,
				Priority: route.Priority,
			}, true)
		}
	}
}
