package relayer

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func newRelayer() *Relayer {
	r := New("entry-1", "a")
	r.Update([]Peer{
		{Instance: "entry-1", Zone: "b", Address: "1"},
		{Instance: "entry-2", Zone: "a", Address: "2"},
		{Instance: "entry-3", Zone: "b", Address: "3"},
		{Instance: "entry-4", Zone: "b", Address: "4"},
		{Instance: "entry-5", Zone: "c"},
	})
	return r
}

func TestChoose(t *testing.T) {
	r := newRelayer()
	first := r.Choose(start, "b", nil)
	if first == nil || first.Instance == "entry-1" {
		t.Fatalf("chose %+v", first)
	}
	for _, zone := range []string{"a", "c", "d"} {
		if p := r.Choose(start, zone, nil); p != nil {
			t.Errorf("chose %+v of zone %s", p, zone)
		}
	}
	cases := []struct {
		name string
		play func()
		at   time.Duration
		same bool
	}{
		{"sound", func() {}, 0, true},
		{"a call under way", func() { r.Began(start, first) }, silentAfter / 2, true},
		{"silent", func() {}, 2 * silentAfter, false},
		{"heard", func() { r.Heard(first, start) }, 2 * silentAfter, true},
		{"failed", func() {
			r.Began(start, first)
			r.Failed(start, first, start)
		}, firstRest / 2, false},
		{"rested", func() {}, firstRest, true},
		{"failed again", func() { r.Failed(start, first, start) }, firstRest + firstRest/2, false},
		{"heard, then failed", func() {
			r.Heard(first, start)
			r.Failed(start, first, start)
		}, firstRest, true},
	}
	for _, c := range cases {
		c.play()
		if got := r.Choose(start.Add(c.at), "b", nil); got == nil || (got == first) != c.same {
			t.Errorf("%s: chose %+v", c.name, got)
		}
	}
}

func TestEndedCalls(t *testing.T) {
	for _, after := range []time.Duration{silentAfter / 2, 2 * silentAfter} {
		r := newRelayer()
		first := r.Choose(start, "b", nil)
		r.Began(start, first)
		now := start.Add(after)
		r.Ended(now, first, start)
		if passed := r.Choose(now, "b", nil) != first; passed != (after > silentAfter) {
			t.Errorf("passed over after a call that was ended here after %s: %v", after, passed)
		}
	}
}

func TestUpdateKeepsWhatIsKnown(t *testing.T) {
	r := newRelayer()
	first := r.Choose(start, "b", nil)
	r.Failed(start, first, start)
	r.Update([]Peer{{Instance: first.Instance, Zone: "b", Address: first.Address}})
	if p := r.Choose(start, "b", nil); p != nil {
		t.Errorf("chose %+v, which has just failed", p)
	}
	r.Update([]Peer{{Instance: first.Instance, Zone: "b", Address: "elsewhere"}})
	if r.Choose(start, "b", nil) == nil {
		t.Error("an instance that was started anew elsewhere counts as failed")
	}
}

// TestAvoid holds that a peer from which a request has heard nothing is left for another, and used where it is the only one.
func TestAvoid(t *testing.T) {
	r := newRelayer()
	first := r.Choose(start, "b", nil)
	second := r.Choose(start, "b", []*Peer{first})
	if second == nil || second == first {
		t.Errorf("chose %+v beside %+v", second, first)
	}
	if p := r.Choose(start, "b", []*Peer{first, second}); p != first {
		t.Errorf("chose %+v where there is no other than those to avoid", p)
	}
}
