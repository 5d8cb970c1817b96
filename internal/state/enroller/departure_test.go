package enroller

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestAmbiguousDepartures guards against a late departure of one incarnation that takes the next one out of use, and against departures that are refused though they can be of one incarnation only.
func TestAmbiguousDepartures(t *testing.T) {
	const startMs = 100_000
	cases := []struct {
		name  string
		steps []*wire.Replica
		nowMs int64
		want  bool
	}{
		{"unknown replica", nil, startMs, false},
		{"first incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready)}, startMs, false},
		{"next incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 8, 1, ready)}, startMs + 3000, true},
		{"next incarnation after a drain", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, draining), newAnnouncement("a", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 8, 2, ready)}, startMs + 3000, true},
		{"next incarnation after a departure, which may be repeated", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 2, left), newAnnouncement("a", "1:1", 8, 1, ready)}, startMs + 3000, true},
		{"next incarnation, lost", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 8, 1, lost)}, startMs + 3000, true},
		{"next incarnation, draining", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 8, 1, ready), newAnnouncement("a", "1:1", 8, 2, draining)}, startMs + 3000, false},
		{"next incarnation, long in use", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 8, 1, ready)}, startMs + lateDepartureMs, false},
		{"another replica at the address", []*wire.Replica{newAnnouncement("b", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 8, 1, ready)}, startMs + 3000, false},
	}
	for _, c := range cases {
		e := New(nil)
		for i, step := range c.steps {
			// Later announcements of an incarnation must not move its start.
			e.Enroll(WithTimes(step, startMs+int64(step.GetSequence()-1)*1000), uint64(i+1))
		}
		for _, table := range []*Enroller{e, New(e.Replicas(0))} {
			if got := IsDepartureAmbiguous(table.Find("a"), c.nowMs); got != c.want {
				t.Errorf("%s: ambiguous %t, want %t", c.name, got, c.want)
			}
		}
	}
}

// TestCompleteDeparture guards against a departure that is not recorded because it states less than is known of the replica.
func TestCompleteDeparture(t *testing.T) {
	known := newAnnouncement("a", "1:1", 5, 8, ready)
	cases := []struct {
		name             string
		known            *wire.Replica
		bornMs, sequence int64
		want             *wire.Replica
	}{
		{"known", known, 0, 0, newAnnouncement("a", "1:1", 5, 8, left)},
		{"with start time and sequence", known, 9, 11, newAnnouncement("a", "1:1", 9, 11, left)},
		{"unknown", nil, 0, 0, &wire.Replica{
			Id:    "a",
			State: left,
		}},
	}
	for _, c := range cases {
		got := CompleteDeparture(&wire.Replica{
			Id:       "a",
			BornMs:   c.bornMs,
			Sequence: uint64(c.sequence),
		}, c.known)
		if !proto.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOpenDrains guards against a drain that is acknowledged without effect by an instance whose table is behind.
func TestOpenDrains(t *testing.T) {
	superseding := newAnnouncement("b", "1:1", 8, 1, ready)
	cases := []struct {
		name  string
		steps []*wire.Replica
		want  bool
	}{
		{"unknown", nil, true},
		{"unknown, at the address of a later one", []*wire.Replica{superseding}, true},
		{"ready", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready)}, true},
		{"ready by a later announcement", []*wire.Replica{newAnnouncement("a", "1:1", 5, 9, ready)}, true},
		{"superseded", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), superseding}, true},
		{"earlier incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 4, 1, left)}, true},
		{"later incarnation", []*wire.Replica{newAnnouncement("a", "1:1", 6, 1, ready)}, false},
		{"draining", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, draining)}, false},
		{"left", []*wire.Replica{newAnnouncement("a", "1:1", 5, 1, ready), newAnnouncement("a", "1:1", 5, 1, left)}, false},
	}
	for _, c := range cases {
		e := New(nil)
		for i, step := range c.steps {
			e.Enroll(step, uint64(i+1))
		}
		if got := e.IsOpenDrain(newAnnouncement("a", "1:1", 5, 2, draining)); got != c.want {
			t.Errorf("%s: open %t, want %t", c.name, got, c.want)
		}
	}
}
