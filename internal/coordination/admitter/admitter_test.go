package admitter

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestAdmission checks how many of the calls that arrive at once are admitted, and that the others return one after the other.
func TestAdmission(t *testing.T) {
	cases := []struct {
		name string
		call Call
		want int
	}{
		{"with a leader", Call{HasLeader: true}, 12},
		{"during an election", Call{}, 6},
		{"large state", Call{HasLeader: true, Bytes: 24 * unitBytes}, 1},
		{"old form", Call{HasLeader: true, IsPlain: true}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(start)
			admitted, previous := 0, time.Duration(0)
			for range 30 {
				d := a.Ask(start, c.call)
				if d.Admitted {
					admitted++
					continue
				}
				inOrder := d.RetryAfter > previous || d.RetryAfter == minRetryAfter
				if !inOrder || d.RetryAfter > maxRetryAfter {
					t.Errorf("retry after %s, the one before after %s", d.RetryAfter, previous)
				}
				previous = d.RetryAfter
			}
			if admitted != c.want {
				t.Errorf("admitted %d, want %d", admitted, c.want)
			}
		})
	}
}

// TestPeers checks that a refusal names instances that hold the state, those in the caller's zone first and each in turn, and neither the caller nor instances that have been silent.
func TestPeers(t *testing.T) {
	a := New(start)
	for i := range 4 {
		for _, zone := range []string{"a", "b"} {
			a.RecordHolder(start, Peer{
				Instance: fmt.Sprintf("%s%d", zone, i),
				Zone:     zone,
				Address:  "address",
			})
		}
	}
	a.tokens = 0
	ask := func(now time.Time, caller, zone string) string {
		names := ""
		for _, peer := range a.Ask(now, Call{Instance: caller, Zone: zone}).Peers {
			names += peer.Instance + " "
		}
		a.tokens = 0
		return names
	}
	for _, want := range []string{"a1 a2 a3 ", "a1 a2 a3 "} {
		if got := ask(start, "a0", "a"); got != want {
			t.Errorf("names %q, want %q", got, want)
		}
	}
	if got := ask(start, "b0", "b"); got != "b1 b2 b3 " {
		t.Errorf("names %q to a caller of zone b", got)
	}
	later := start.Add(2 * holderTTL)
	a.RecordHolder(later, Peer{
		Instance: "b2",
		Zone:     "b",
		Address:  "address",
	})
	a.filledAt = later
	if got := ask(later, "a0", "a"); got != "b2 " {
		t.Errorf("names %q, want the only instance that was heard lately", got)
	}
}
