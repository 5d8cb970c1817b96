package scatterer

import (
	"testing"
	"time"
)

// TestOverrun holds that one slow answer moves nothing for long, and that what most answers take is allowed for, up to a quarter of the target.
func TestOverrun(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name   string
		late   []time.Duration
		target time.Duration
		want   time.Duration
	}{
		{"nothing seen", nil, 40 * ms, 0},
		{"start, then usual", []time.Duration{60 * ms, 2 * ms}, 40 * ms, 2 * ms},
		{"a pause among many", []time.Duration{2 * ms, 2 * ms, 90 * ms, 2 * ms, 2 * ms}, 40 * ms, 2 * ms},
		{"slow throughout", []time.Duration{8 * ms, 9 * ms, 8 * ms, 9 * ms, 8 * ms}, 40 * ms, 8 * ms},
		{"beyond the target", []time.Duration{90 * ms, 90 * ms, 90 * ms}, 40 * ms, 10 * ms},
		{"early", []time.Duration{-5 * ms, -5 * ms}, 40 * ms, 0},
	}
	for _, c := range cases {
		o := &Overrun{}
		for _, late := range c.late {
			o.Observe(late)
		}
		if got := o.For(c.target); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	o := &Overrun{}
	for i := range 100 * overrunSamples {
		o.Observe(time.Duration(i) * ms)
	}
	if len(o.samples) != overrunSamples || o.For(time.Hour) < 99*overrunSamples*ms {
		t.Errorf("%d samples kept, overrun %s", len(o.samples), o.For(time.Hour))
	}
}

// TestSlowInstance plays an instance whose answers are written 8 ms after their moment: it answers so much sooner that they are in time.
func TestSlowInstance(t *testing.T) {
	const late = 8 * time.Millisecond
	route := gathered(10, 0.5)
	p := newPolicies(0, route.Shards...)
	limit := start.Add(route.Target - p.Allowance)
	for i := range 5 {
		j := newJob(route, p)
		sends := j.Start(start)
		for _, a := range sends[:8] {
			j.Ended(start.Add(5*time.Millisecond), a, replied(200))
		}
		moment := j.soft
		if j.Tick(moment); j.Decision() == nil || j.Decision().Missing != 2 {
			t.Fatalf("no answer in part at its moment: %+v", j.Decision())
		}
		written := moment.Add(late)
		if i > 0 && written.After(limit) {
			t.Errorf("answer %d is written %s too late", i, written.Sub(limit))
		}
		j.Written(written)
	}
}
