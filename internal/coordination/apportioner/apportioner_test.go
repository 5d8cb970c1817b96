package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// congest has an apportioner observe congested attempts for a time.
func congest(a *Apportioner, duration time.Duration) time.Time {
	now := start
	for ; now.Before(start.Add(duration)); now = now.Add(10 * time.Millisecond) {
		a.ObserveAttempt(now, true)
	}
	return now
}

// TestRetryTimesAreOrdered checks that callers are told to come back in the order of urgency and arrival, and within a bounded time.
func TestRetryTimesAreOrdered(t *testing.T) {
	var r returns
	r.last = map[int]time.Time{}
	first, second, lessUrgent := r.next(start, 1), r.next(start, 1), r.next(start, 2)
	if urgent := r.next(start, 0); urgent >= second || first >= second || second >= lessUrgent {
		t.Errorf("urgent %s, then %s and %s, less urgent %s", urgent, first, second, lessUrgent)
	}
	for range 1000 {
		if got := r.next(start, 1); got > maxReturn {
			t.Fatalf("%s to come back", got)
		}
	}
	if got := r.next(start.Add(time.Minute), 2); got != minReturn {
		t.Errorf("%s to come back a minute later", got)
	}
}

// TestUncongestedAdmitsAll checks that nothing is refused while attempts are answered in time, whatever an organisation uses, and again once congestion is over.
func TestUncongestedAdmitsAll(t *testing.T) {
	a := New(rand.New(rand.NewPCG(1, 2)))
	traffic := Traffic{
		Organisation: "hot",
	}
	a.Observe(start, "hot", 700, 100)
	now := congest(a, 3*time.Second)
	refused := 0
	for range 20 {
		a.Observe(now, "hot", 700, 100)
		if a.Admit(now, traffic) > 0 {
			refused++
		}
	}
	if refused == 0 || refused > 14 {
		t.Errorf("%d of 20 refused under congestion", refused)
	}
	now = now.Add(time.Minute)
	for range 20 {
		if a.Admit(now, traffic) > 0 {
			t.Fatal("refused a minute after the congestion")
		}
	}
}

// TestAccountsAreBounded guards against memory that grows with the names of organisations.
func TestAccountsAreBounded(t *testing.T) {
	a := New(rand.New(rand.NewPCG(1, 2)))
	for i := range maxOrganisations + 50 {
		a.Observe(start.Add(time.Duration(i)), fmt.Sprint(i), 1, 1)
	}
	if len(a.accounts) != maxOrganisations || a.usualSum != maxOrganisations {
		t.Errorf("%d accounts of usual use %f", len(a.accounts), a.usualSum)
	}
}
