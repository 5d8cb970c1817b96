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
		t.Fatalf("chose %+v, want a peer other than self", first)
	}
	for _, zone := range []string{"a", "c", "d"} {
		if p := r.Choose(start, zone, nil); p != nil {
			t.Errorf("chose %+v of zone %s, want none", p, zone)
		}
	}
	cases := []struct {
		name      string
		act       func()
		offset    time.Duration
		wantFirst bool
	}{
		{"healthy", func() {}, 0, true},
		{"call in flight", func() { r.RecordStart(start, first) }, responseTimeout / 2, true},
		{"unanswered past the timeout", func() {}, 2 * responseTimeout, false},
		{"answered", func() { r.RecordResponse(first, start) }, 2 * responseTimeout, true},
		{"failed", func() {
			r.RecordStart(start, first)
			r.RecordFailure(start, first, start)
		}, initialBackoff / 2, false},
		{"backoff over", func() {}, initialBackoff, true},
		{"failed again", func() { r.RecordFailure(start, first, start) }, initialBackoff + initialBackoff/2, false},
		{"answered, then failed", func() {
			r.RecordResponse(first, start)
			r.RecordFailure(start, first, start)
		}, initialBackoff, true},
	}
	for _, c := range cases {
		c.act()
		if got := r.Choose(start.Add(c.offset), "b", nil); got == nil || (got == first) != c.wantFirst {
			t.Errorf("%s: chose %+v", c.name, got)
		}
	}
}

func TestCancelledCalls(t *testing.T) {
	for _, duration := range []time.Duration{responseTimeout / 2, 2 * responseTimeout} {
		r := newRelayer()
		first := r.Choose(start, "b", nil)
		r.RecordStart(start, first)
		now := start.Add(duration)
		r.RecordCancellation(now, first, start)
		if skipped := r.Choose(now, "b", nil) != first; skipped != (duration > responseTimeout) {
			t.Errorf("skipped after a call cancelled after %s: %t", duration, skipped)
		}
	}
}

func TestUpdateKeepsPeerState(t *testing.T) {
	r := newRelayer()
	first := r.Choose(start, "b", nil)
	r.RecordFailure(start, first, start)
	r.Update([]Peer{{Instance: first.Instance, Zone: "b", Address: first.Address}})
	if p := r.Choose(start, "b", nil); p != nil {
		t.Errorf("chose %+v, which is in backoff", p)
	}
	r.Update([]Peer{{Instance: first.Instance, Zone: "b", Address: "elsewhere"}})
	if r.Choose(start, "b", nil) == nil {
		t.Error("an instance restarted at another address is still in backoff")
	}
}

// TestAvoid checks that a peer to avoid is used only if there is no other healthy peer.
func TestAvoid(t *testing.T) {
	r := newRelayer()
	first := r.Choose(start, "b", nil)
	second := r.Choose(start, "b", []*Peer{first})
	if second == nil || second == first {
		t.Errorf("chose %+v, want a peer other than %+v", second, first)
	}
	if p := r.Choose(start, "b", []*Peer{first, second}); p != first {
		t.Errorf("chose %+v with every peer to avoid, want the first", p)
	}
}

// TestIsolatedPeer checks that a peer that reaches no replica is skipped for longer than after a failure, and that its isolation is news once, until it responds again.
func TestIsolatedPeer(t *testing.T) {
	r := newRelayer()
	p := r.Choose(start, "b", nil)
	r.RecordStart(start, p)
	if !r.RecordIsolation(start, p, start) {
		t.Error("the first refusal is no news")
	}
	if got := r.Choose(start.Add(isolationBackoff-1), "b", nil); got == p {
		t.Error("chose the peer during its backoff")
	}
	again := start.Add(isolationBackoff)
	if got := r.Choose(again, "b", nil); got != p {
		t.Error("did not choose the peer after its backoff")
	}
	if r.RecordIsolation(again, p, again) {
		t.Error("the second refusal is news")
	}
	r.RecordResponse(p, again)
	if !r.RecordIsolation(again, p, again) {
		t.Error("a refusal after a response is no news")
	}
}
