package relayer

import (
	"fmt"
	"slices"
	"testing"
)

// newFleet returns the peers of availability zones a and b, with the given number in each.
func newFleet(perZone int) []Peer {
	var peers []Peer
	for _, zone := range []string{"a", "b"} {
		for i := range perZone {
			name := fmt.Sprintf("entry-%s-%d", zone, i)
			peers = append(peers, Peer{
				Instance: name,
				Zone:     zone,
				Address:  name + ":1",
			})
		}
	}
	return peers
}

// TestRelaysAreAgreedOn checks that all instances choose the same few relays in each availability zone, and that these know that they are relays.
func TestRelaysAreAgreedOn(t *testing.T) {
	const perZone, count = 40, 3
	fleet := newFleet(perZone)
	relays, chosen := map[string]bool{}, map[string]bool{}
	for _, self := range fleet {
		r := New(self.Instance, self.Zone)
		r.Update(fleet)
		r.SetRelayCount(count)
		if r.IsRelay() {
			relays[self.Instance] = true
		}
		other := map[string]string{"a": "b", "b": "a"}[self.Zone]
		chosen[r.Choose(start, other, nil).Instance] = true
		for _, p := range r.ChooseLocal(start, perZone, nil) {
			chosen[p.Instance] = true
		}
	}
	if len(relays) != 2*count || len(chosen) != 2*count {
		t.Errorf("%d relays, %d chosen as such, want %d", len(relays), len(chosen), 2*count)
	}
	for name := range chosen {
		if !relays[name] {
			t.Errorf("%s was chosen and takes itself for no relay", name)
		}
	}
}

// TestRelayThatFailsIsReplaced checks that the next relay is asked while one hangs or is to be avoided, and another peer while all relays do.
func TestRelayThatFailsIsReplaced(t *testing.T) {
	r := New("entry-a-0", "a")
	r.Update(newFleet(40))
	r.SetRelayCount(2)
	first := r.Choose(start, "b", nil)
	second := r.Choose(start, "b", []*Peer{first})
	if second == first || second.zoneRank >= 2 {
		t.Fatalf("chose %+v in place of %+v", second, first)
	}
	late := start.Add(2 * responseTimeout)
	r.RecordStart(start, first)
	if got := r.Choose(late, "b", nil); got != second {
		t.Errorf("chose %+v while the first relay hangs", got)
	}
	r.RecordStart(start, second)
	if got := r.Choose(late, "b", nil); got == nil || got == first || got == second {
		t.Errorf("chose %+v while both relays hang", got)
	}
}

// TestRelaysAreStable checks that an instance that leaves changes no other relay than the one that takes its place.
func TestRelaysAreStable(t *testing.T) {
	fleet := newFleet(40)
	r := New("entry-a-0", "a")
	r.Update(fleet)
	r.SetRelayCount(3)
	before := r.ChooseLocal(start, 40, nil)
	left := slices.DeleteFunc(slices.Clone(fleet), func(p Peer) bool { return p.Instance == before[0].Instance })
	r.Update(left)
	after := r.ChooseLocal(start, 40, nil)
	kept := 0
	for _, p := range before[1:] {
		if slices.Contains(after, p) {
			kept++
		}
	}
	if kept != len(before)-1 || slices.Contains(after, before[0]) {
		t.Errorf("%d of %d other relays are kept", kept, len(before)-1)
	}
}
