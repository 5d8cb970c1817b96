package scatterer

import (
	"testing"
	"time"
)

// TestRequestWithoutProspectIsRefused checks that a request is refused before anything is sent only if it is nearly certain that too few shards answer, and that it is sent at the time it is told to come back. A wrong refusal would turn away requests that replicas could serve.
func TestRequestWithoutProspectIsRefused(t *testing.T) {
	const shards = 20
	cases := map[string]struct {
		// attempts is the number of recent attempts at each replica of the rejecting shards, and rejected how many of five it rejects.
		shards, attempts, rejected int
		zones                      []string
		isRefused                  bool
	}{
		"all replicas of many shards reject all":     {12, 10, 5, []string{"a", "b"}, true},
		"all replicas of many shards reject a share": {12, 10, 3, []string{"a", "b"}, false},
		"one replica of each shard rejects all":      {20, 10, 5, []string{"a"}, false},
		"all replicas of few shards reject all":      {2, 40, 5, []string{"a", "b"}, false},
		"little is known":                            {20, 2, 5, []string{"a", "b"}, false},
	}
	for name, c := range cases {
		route := shardedRoute(shards, 0.9)
		p := newPolicies(100, route.Shards...)
		for _, service := range route.Shards[:c.shards] {
			for _, zone := range c.zones {
				rejectSome(p, service+"-"+zone, c.attempts, c.rejected)
			}
		}
		j := newJob(route, p)
		attempts := j.Start(start)
		if (len(attempts) == 0) != c.isRefused {
			t.Errorf("%s: %d attempts", name, len(attempts))
		}
		if !c.isRefused {
			continue
		}
		d := j.Decision()
		if d == nil || d.Kind != Refused || d.Reason != ReasonRejecting || d.RetryAfter < retryAfterOverload {
			t.Fatalf("%s: decision %+v", name, d)
		}
		back := start.Add(d.RetryAfter)
		if again := newJobAt(back, route, p); len(again.Start(back)) == 0 {
			t.Errorf("%s: refused again after Retry-After of %s", name, d.RetryAfter)
		}
	}
}

// rejectSome records attempts at a replica that rejects the given number of each five.
func rejectSome(p *Policies, replica string, attempts, rejected int) {
	r := p.Balancer.Find(replica)
	for i := range attempts {
		if i%5 < rejected {
			p.Balancer.RecordRejection(start, r)
		} else {
			p.Balancer.RecordSuccess(start, r, "gathered", time.Millisecond)
		}
	}
}
