package diverter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func newDiverter(peers ...string) *Diverter {
	d := New("self", rand.New(rand.NewPCG(1, 2)))
	var list []Peer
	for _, name := range peers {
		list = append(list, Peer{
			Instance: name,
			Address:  name + ":1",
		})
	}
	d.Update(list)
	return d
}

// TestIsolation checks which silence of replicas means that this instance is cut off from them.
func TestIsolation(t *testing.T) {
	const late = silenceDelay
	cases := []struct {
		name string
		// sent holds the replicas that attempts were sent to at the start.
		sent       []string
		contactAt  time.Duration
		sentAfter  []string
		checkedAt  time.Duration
		expected   time.Duration
		isIsolated bool
	}{
		{"nothing sent", nil, 0, nil, late, 0, false},
		{"two silent", []string{"1", "2"}, 0, nil, late, 0, true},
		{"two for a shorter time", []string{"1", "2"}, 0, nil, late - 1, 0, false},
		{"slow service", []string{"1", "2"}, 0, nil, late, time.Second, false},
		{"slow service, long silent", []string{"1", "2"}, 0, nil, patienceFactor * time.Second, time.Second, true},
		{"one, asked often", []string{"1", "1", "1", "1"}, 0, nil, late, 0, false},
		{"another has responded since", []string{"1", "2", "3"}, 10 * time.Millisecond, nil, late, 0, false},
		{"silent again", []string{"1", "2", "3"}, 10 * time.Millisecond, []string{"4", "5", "6"}, 10*time.Millisecond + late, 0, true},
	}
	for _, c := range cases {
		d := newDiverter()
		for _, replica := range c.sent {
			d.RecordSent(start, replica, c.expected)
		}
		if c.contactAt > 0 {
			d.RecordContact()
		}
		for _, replica := range c.sentAfter {
			d.RecordSent(start.Add(c.contactAt), replica, c.expected)
		}
		if got := d.isIsolatedUntil(c.checkedAt); got != c.isIsolated {
			t.Errorf("%s: isolated: %t", c.name, got)
		}
	}
}

// isIsolatedUntil checks the isolation at short intervals from the start and returns the last result.
func (d *Diverter) isIsolatedUntil(end time.Duration) bool {
	const interval = 50 * time.Millisecond
	for at := time.Duration(0); at < end; at += interval {
		d.IsIsolated(start.Add(at))
	}
	return d.IsIsolated(start.Add(end))
}

// TestStallIsNoIsolation checks that an instance that stood still itself does not take that time for silence of the replicas.
func TestStallIsNoIsolation(t *testing.T) {
	d := newDiverter()
	d.RecordSent(start, "1", 0)
	d.RecordSent(start, "2", 0)
	d.IsIsolated(start)
	const stall = 5 * time.Second
	if d.IsIsolated(start.Add(stall)) {
		t.Error("isolated right after a stall")
	}
	for at := stall; at < stall+silenceDelay; at += 50 * time.Millisecond {
		d.IsIsolated(start.Add(at))
	}
	if !d.IsIsolated(start.Add(stall + silenceDelay)) {
		t.Error("not isolated although the replicas remain silent")
	}
}

// TestIsolationLastsUntilContact checks that an isolated instance that sends nothing remains isolated until it reaches a replica.
func TestIsolationLastsUntilContact(t *testing.T) {
	d := newDiverter()
	for _, replica := range []string{"1", "2", "3"} {
		d.RecordSent(start, replica, 0)
	}
	d.isIsolatedUntil(silenceDelay)
	for _, after := range []time.Duration{silenceDelay, time.Minute} {
		if !d.IsIsolated(start.Add(after)) {
			t.Errorf("not isolated after %s", after)
		}
	}
	d.RecordContact()
	if d.IsIsolated(start.Add(time.Hour)) {
		t.Error("isolated after a contact")
	}
}

// TestChoose checks that peers take turns, that one which failed is skipped for a while, and that the instance itself is no peer.
func TestChoose(t *testing.T) {
	d := newDiverter("a", "self", "b", "c")
	counts := map[string]int{}
	for range 9 {
		counts[d.Choose(start, nil).Instance]++
	}
	if counts["a"] != 3 || counts["b"] != 3 || counts["c"] != 3 {
		t.Errorf("choices %v", counts)
	}
	failed := d.Choose(start, nil)
	for range 10 {
		d.RecordFailure(start, failed)
	}
	var chosen []*Peer
	for p := d.Choose(start, nil); p != nil; p = d.Choose(start, chosen) {
		chosen = append(chosen, p)
	}
	if len(chosen) != 2 || slices.Contains(chosen, failed) {
		t.Errorf("%d peers beside the one that failed", len(chosen))
	}
	d.RecordFailure(start.Add(initialBackoff), failed)
	if failed.backoffUntil != start.Add(3*initialBackoff) {
		t.Errorf("second backoff until %s", failed.backoffUntil.Sub(start))
	}
	d.RecordAnswer(failed)
	d.Update([]Peer{{
		Instance: failed.Instance,
		Address:  failed.Address,
	}})
	if p := d.Choose(start.Add(time.Minute), nil); p != failed {
		t.Error("a peer that is still listed lost its state")
	}
}
