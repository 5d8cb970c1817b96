package advertiser

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestAdvertises(t *testing.T) {
	cut := Contact{
		Reached: 1,
		Known:   4,
	}
	whole := Contact{
		Reached: 4,
		Known:   4,
	}
	cases := []struct {
		name             string
		contact          Contact
		answered, failed int
		want             bool
	}{
		{"sound", whole, 20, 0, true},
		{"replicas down, control there", whole, 0, 20, true},
		{"control down, replicas there", Contact{
			Known: 4,
		}, 20, 2, true},
		{"cut off", cut, 3, 20, false},
		{"cut off, still answers", cut, 20, 10, true},
		{"cut off, nothing asked", cut, 0, 0, true},
		{"half of control", Contact{
			Reached: 2,
			Known:   4,
		}, 0, 20, true},
		{"single control instance down", Contact{
			Known: 1,
		}, 0, 20, true},
	}
	for _, c := range cases {
		a := New()
		for range c.answered {
			a.Observe(start, true)
		}
		for range c.failed {
			a.Observe(start, false)
		}
		if got := a.Advertises(start.Add(100*time.Millisecond), c.contact); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestComesBack holds that an instance comes back at once when the cut heals, and tries again by itself when nothing changes.
func TestComesBack(t *testing.T) {
	cut := Contact{
		Known: 4,
	}
	a := New()
	for range 10 {
		a.Observe(start, false)
	}
	now := start.Add(time.Second / 2)
	if a.Advertises(now, cut) {
		t.Fatal("not withdrawn")
	}
	if a.Advertises(now.Add(withdrawnFor/2), cut) {
		t.Error("came back while cut off")
	}
	if !a.Advertises(now.Add(withdrawnFor+time.Second), cut) {
		t.Error("does not try again")
	}
	for range 10 {
		a.Observe(now.Add(withdrawnFor+time.Second), false)
	}
	if a.Advertises(now.Add(withdrawnFor+time.Second), cut) {
		t.Error("still cannot answer, and is advertised")
	}
	if !a.Advertises(now.Add(withdrawnFor+2*time.Second), Contact{
		Reached: 3,
		Known:   4,
	}) {
		t.Error("does not come back when the cut has healed")
	}
}
