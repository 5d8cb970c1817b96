package scatterer

import (
	"testing"
	"time"
)

// TestDrainedZoneGetsNoAttempts guards against first attempts, retries and hedges at replicas whose availability zone was drained before or during the request, and against a refusal with a wrong reason or without a retry time.
func TestDrainedZoneGetsNoAttempts(t *testing.T) {
	p := newPolicies(10, shardNames(4)...)
	p.Balancer.SetDrainedZones(start, []string{"a"})
	j := newJob(shardedRoute(4, 1), p)
	attempts := j.Start(start)
	if len(attempts) != 4 {
		t.Fatalf("%d first attempts, want 4", len(attempts))
	}
	for _, a := range attempts {
		if a.Replica.Zone == "a" {
			t.Errorf("first attempt at %s in the drained zone", a.Replica.ID)
		}
	}
	if more := j.HandleOutcome(start.Add(time.Millisecond), attempts[0], outcomeOf(OutcomeRejected)); len(more) > 0 {
		t.Errorf("retry at %s", more[0].Replica.ID)
	}

	p = newPolicies(10, shardNames(4)...)
	j = newJob(shardedRoute(4, 1), p)
	attempts = j.Start(start)
	for _, a := range attempts[1:] {
		j.HandleOutcome(start.Add(2*time.Millisecond), a, replied(200))
	}
	p.Balancer.SetDrainedZones(start, []string{"b"})
	if hedges, _ := tickUntilSent(j, 80*time.Millisecond); len(hedges) > 0 {
		t.Errorf("hedge at %s", hedges[0].Replica.ID)
	}
	if j.HandleOutcome(start.Add(90*time.Millisecond), attempts[0], replied(200)); j.Decision() == nil || j.Decision().Kind != Gathered {
		t.Errorf("decision %+v, want the answer of attempts that were in flight", j.Decision())
	}

	p.Balancer.SetDrainedZones(start, []string{"a", "b"})
	j = newJob(shardedRoute(4, 0.5), p)
	if attempts := j.Start(start); len(attempts) > 0 {
		t.Errorf("%d attempts while all zones are drained", len(attempts))
	}
	if d := j.Decision(); d == nil || d.Kind != Refused || d.Reason != ReasonZoneDrained || d.RetryAfter < retryAfterDrain {
		t.Errorf("decision %+v, want refused because of the drain", d)
	}
}
