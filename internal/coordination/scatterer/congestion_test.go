package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

// TestCongestion checks which ends of first attempts count as congestion of their service. Otherwise an instance that was cut off from replicas would refuse requests for seconds after it reaches them again.
func TestCongestion(t *testing.T) {
	noConnection := Outcome{
		Kind:  OutcomeUnsent,
		Cause: "no connection: timeout",
	}
	givenUp := Outcome{
		Kind:  OutcomeBroken,
		Cause: CauseCancelled,
	}
	cases := []struct {
		name string
		// arrivedBefore is how long before the attempt the request arrived, and after is when the attempt ended.
		arrivedBefore, after time.Duration
		outcome              Outcome
		isCongestion         bool
	}{
		{"answered in time", 0, 10 * time.Millisecond, replied(200), false},
		{"answered too late", 0, 80 * time.Millisecond, replied(200), true},
		{"rejected", 0, 10 * time.Millisecond, outcomeOf(OutcomeRejected), true},
		{"given up", 0, 90 * time.Millisecond, givenUp, true},
		{"no connection", 0, 400 * time.Millisecond, noConnection, false},
		{"not carried by a peer", 0, 200 * time.Millisecond, Outcome{
			Kind:  OutcomeUnsent,
			Cause: CausePeerFailed,
		}, false},
		{"little time from the start", 75 * time.Millisecond, 20 * time.Millisecond, replied(200), false},
		{"target passed before the start", 150 * time.Millisecond, 20 * time.Millisecond, replied(200), false},
	}
	for _, c := range cases {
		route := shardedRoute(2, 1)
		p := newPolicies(100, route.Shards...)
		now := start.Add(c.arrivedBefore)
		j := newJobAt(start, route, p)
		attempts := j.Start(now)
		j.HandleOutcome(now.Add(c.after), attempts[0], c.outcome)
		traffic := shedder.Traffic{
			Service: attempts[0].Service,
			Class:   route.Name,
		}
		if got := p.Shedder.AdmittedShare(now.Add(c.after), traffic) < 1; got != c.isCongestion {
			t.Errorf("%s: congestion: %t", c.name, got)
		}
	}
}
