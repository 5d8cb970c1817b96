package tracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

var start = time.Unix(1000, 0)

func newTracker(useAnnouncedAddresses bool) *Tracker {
	return New(&wire.Member{
		Instance:    "self",
		Incarnation: 5,
	}, DefaultTimeouts, rand.New(rand.NewPCG(1, 1)), useAnnouncedAddresses)
}

func otherMember(incarnation, sequence uint64, isLeaving bool) *wire.Member {
	return &wire.Member{
		Instance:    "other",
		Address:     "other:1",
		Zone:        "zone",
		Incarnation: incarnation,
		Sequence:    sequence,
		Leaving:     isLeaving,
	}
}

func TestStates(t *testing.T) {
	type update struct {
		at     time.Duration
		member *wire.Member
	}
	const second = time.Second
	cases := []struct {
		name    string
		updates []update
		at      time.Duration
		want    string
	}{
		{"alive", []update{{0, otherMember(1, 1, false)}}, second, "[0]"},
		{"suspect", []update{{0, otherMember(1, 1, false)}}, 2 * second, "[1]"},
		{"alive after suspect", []update{{0, otherMember(1, 1, false)}, {2 * second, otherMember(1, 2, false)}}, 3 * second, "[0]"},
		{"stale update", []update{{0, otherMember(1, 2, false)}, {2 * second, otherMember(1, 2, false)}, {2 * second, otherMember(1, 1, false)}}, 3 * second, "[1]"},
		{"dead", []update{{0, otherMember(1, 1, false)}}, 30 * second, "[2]"},
		{"alive after dead", []update{{0, otherMember(1, 1, false)}, {40 * second, otherMember(1, 2, false)}}, 41 * second, "[0]"},
		{"left", []update{{0, otherMember(1, 1, false)}, {1, otherMember(1, 2, true)}}, second, "[3]"},
		{"heartbeat after leaving", []update{{0, otherMember(1, 2, true)}, {1, otherMember(1, 3, false)}}, second, "[3]"},
		{"next incarnation", []update{{0, otherMember(1, 2, true)}, {1, otherMember(2, 1, false)}}, second, "[0]"},
		{"earlier incarnation", []update{{0, otherMember(2, 1, true)}, {1, otherMember(1, 9, false)}}, second, "[3]"},
		{"removed", []update{{0, otherMember(1, 1, false)}}, time.Hour, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := newTracker(true)
			for _, u := range c.updates {
				tr.Tick(start.Add(u.at))
				tr.Merge(start.Add(u.at), u.member)
			}
			tr.Tick(start.Add(c.at))
			var states []int
			for _, m := range tr.Members("zone") {
				states = append(states, int(m.State))
			}
			if got := fmt.Sprint(states); got != c.want {
				t.Errorf("states %s, want %s", got, c.want)
			}
		})
	}
}

func TestPreviousIncarnation(t *testing.T) {
	cases := []struct {
		name            string
		incarnation     uint64
		isLeaving       bool
		wantIncarnation uint64
		wantEpoch       uint64
	}{
		{"crashed", 3, false, 5, 2},
		{"left", 3, true, 5, 5},
		{"crashed, and its clock moved back", 9, false, 10, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := newTracker(true)
			tr.ResolveEpoch(&wire.Member{
				Instance:    "self",
				Incarnation: c.incarnation,
				Sequence:    100,
				Epoch:       2,
				Revision:    7,
				Leaving:     c.isLeaving,
			})
			self := tr.Self()
			if self.GetIncarnation() != c.wantIncarnation || self.GetEpoch() != c.wantEpoch || tr.RevisionFloor() != 7 || tr.WasKnown() == c.isLeaving {
				t.Errorf("self %v, floor %d, was known %t", self, tr.RevisionFloor(), tr.WasKnown())
			}
		})
	}
}

func TestTargetsAreBoundedAndRotate(t *testing.T) {
	tr := newTracker(true)
	for i := range 30 {
		m := otherMember(1, 1, i == 0)
		m.Instance = fmt.Sprintf("entry-%d", i)
		tr.Merge(start, m)
	}
	seen := map[string]int{}
	for range 10 {
		targets := tr.Targets(8)
		if len(targets) != 8 {
			t.Fatalf("%d targets, want 8", len(targets))
		}
		for _, m := range targets {
			seen[m.Instance]++
		}
	}
	if len(seen) != 29 || seen["entry-0"] > 0 {
		t.Errorf("%d members were targets in 10 rounds, want 29 and none that left", len(seen))
	}
	if gossip := tr.Gossip(16); len(gossip) != 16 {
		t.Errorf("gossip of %d members, want 16", len(gossip))
	}
}

func TestListedPeersOnly(t *testing.T) {
	tr := newTracker(false)
	tr.Merge(start, otherMember(1, 1, false))
	if targets := tr.Targets(8); len(targets) != 0 {
		t.Fatalf("a peer that is not listed is a target: %v", targets)
	}
	tr.RecordContact("other", "proxy:1", start)
	if targets := tr.Targets(8); len(targets) != 1 || targets[0].Address != "proxy:1" {
		t.Errorf("unexpected targets: %v", targets)
	}
}
