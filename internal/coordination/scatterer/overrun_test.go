package scatterer

import (
	"testing"
	"time"
)

// TestOverrun checks that a single slow answer has no lasting effect, and that the delay of most answers is allowed for, up to a quarter of the target.
func TestOverrun(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name   string
		delays []time.Duration
		target time.Duration
		want   time.Duration
	}{
		{"no samples", nil, 40 * ms, 0},
		{"one slow start, then typical", []time.Duration{60 * ms, 2 * ms}, 40 * ms, 2 * ms},
		{"one pause among many", []time.Duration{2 * ms, 2 * ms, 90 * ms, 2 * ms, 2 * ms}, 40 * ms, 2 * ms},
		{"slow throughout", []time.Duration{8 * ms, 9 * ms, 8 * ms, 9 * ms, 8 * ms}, 40 * ms, 8 * ms},
		{"beyond the target", []time.Duration{90 * ms, 90 * ms, 90 * ms}, 40 * ms, 10 * ms},
		{"early", []time.Duration{-5 * ms, -5 * ms}, 40 * ms, 0},
	}
	for _, c := range cases {
		o := &Overrun{}
		for _, delay := range c.delays {
			o.Observe(delay)
		}
		if got := o.AllowanceFor(c.target); got != c.want {
			t.Errorf("%s: overrun %s, want %s", c.name, got, c.want)
		}
	}
	o := &Overrun{}
	for i := range 100 * maxOverrunSamples {
		o.Observe(time.Duration(i) * ms)
	}
	if len(o.samples) != maxOverrunSamples || o.AllowanceFor(time.Hour) < 99*maxOverrunSamples*ms {
		t.Errorf("%d samples kept, overrun %s", len(o.samples), o.AllowanceFor(time.Hour))
	}
}

// TestSlowInstance simulates an instance that writes its partial answers 8 ms after the decision: from the second answer on it decides early enough for them to be on time.
func TestSlowInstance(t *testing.T) {
	const writeDelay = 8 * time.Millisecond
	route := shardedRoute(10, 0.5)
	p := newPolicies(0, route.Shards...)
	writeDeadline := start.Add(route.TargetLatency - p.CallerAllowance)
	for i := range 5 {
		j := newJob(route, p)
		attempts := j.Start(start)
		for _, a := range attempts[:8] {
			j.HandleOutcome(start.Add(5*time.Millisecond), a, replied(200))
		}
		decideAt := j.softDeadline
		if j.Tick(decideAt); j.Decision() == nil || j.Decision().MissingShards != 2 {
			t.Fatalf("no partial answer at the soft deadline: %+v", j.Decision())
		}
		writtenAt := decideAt.Add(writeDelay)
		if i > 0 && writtenAt.After(writeDeadline) {
			t.Errorf("answer %d is written %s too late", i, writtenAt.Sub(writeDeadline))
		}
		j.RecordWritten(writtenAt)
	}
}
