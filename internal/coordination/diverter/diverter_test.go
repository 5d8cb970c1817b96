package diverter

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// TestSilence checks which silence of replicas means that this instance may be cut off from them.
func TestSilence(t *testing.T) {
	const late = silenceDelay
	cases := []struct {
		name string
		// sent holds the replicas that attempts were sent to at the start.
		sent      []string
		contactAt time.Duration
		sentAfter []string
		checkedAt time.Duration
		expected  time.Duration
		isSuspect bool
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
		if got := d.checkUntil(c.checkedAt); got != c.isSuspect {
			t.Errorf("%s: suspect: %t", c.name, got)
		}
	}
}

// checkUntil checks at short intervals from the start whether the instance may be isolated, and returns the last result.
func (d *Diverter) checkUntil(end time.Duration) bool {
	const interval = 50 * time.Millisecond
	for at := time.Duration(0); at < end; at += interval {
		d.IsSuspect(start.Add(at))
	}
	return d.IsSuspect(start.Add(end))
}

// TestStallIsNoSilence checks that an instance that stood still itself does not take that time for silence of the replicas.
func TestStallIsNoSilence(t *testing.T) {
	d := newDiverter()
	d.RecordSent(start, "1", 0)
	d.RecordSent(start, "2", 0)
	d.IsSuspect(start)
	const stall = 5 * time.Second
	if d.IsSuspect(start.Add(stall)) {
		t.Error("suspect right after a stall")
	}
	for at := stall; at < stall+silenceDelay; at += 50 * time.Millisecond {
		d.IsSuspect(start.Add(at))
	}
	if !d.IsSuspect(start.Add(stall + silenceDelay)) {
		t.Error("not suspect although the replicas remain silent")
	}
}

// TestNewConnectionsFail checks that replicas that take no connections make an instance suspect although others respond over open ones.
func TestNewConnectionsFail(t *testing.T) {
	d := newDiverter()
	for range 5 {
		d.RecordNoConnection("1")
		d.RecordNoConnection("2")
		d.RecordContact()
	}
	if d.IsSuspect(start) {
		t.Error("suspect because of two replicas")
	}
	d.RecordNoConnection("3")
	if !d.IsSuspect(start) {
		t.Error("not suspect because of three replicas")
	}
	d.RecordConnection()
	if d.IsSuspect(start) {
		t.Error("suspect after a connection was opened")
	}
}

// TestProbesDecide checks that an instance is isolated by the result of its probes alone, until others get a response.
func TestProbesDecide(t *testing.T) {
	d := newDiverter()
	d.RecordProbes(false)
	d.RecordContact()
	d.RecordConnection()
	if !d.IsIsolated() {
		t.Error("not isolated after probes without a response")
	}
	d.RecordNoConnection("1")
	d.RecordSent(start, "2", 0)
	d.RecordProbes(true)
	if d.IsIsolated() || len(d.waits)+len(d.unreachable) > 0 {
		t.Error("isolated, or suspect, after a probe with a response")
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

// TestIsolatedPeersAreAvoided checks that in a fleet of which most are isolated, requests soon meet no isolated peer, and are spread over several others.
func TestIsolatedPeersAreAvoided(t *testing.T) {
	const (
		fleet    = 72
		isolated = 50
		requests = 60
		interval = 500 * time.Millisecond
	)
	var names []string
	for i := range fleet {
		names = append(names, strconv.Itoa(i))
	}
	d := newDiverter(names...)
	refusals := 0
	answers := map[string]int{}
	for i := range requests {
		now := start.Add(time.Duration(i) * interval)
		var tried []*Peer
		for p := d.Choose(now, tried); p != nil; p = d.Choose(now, tried) {
			tried = append(tried, p)
			if number, _ := strconv.Atoi(p.Instance); number >= isolated {
				d.RecordAnswer(p)
				answers[p.Instance]++
				break
			}
			d.RecordFailure(now, p)
			refusals++
		}
	}
	if refusals > requests/3 || len(answers) < minProvenPeers {
		t.Errorf("%d refusals of %d requests, answers by %d peers", refusals, requests, len(answers))
	}
}
