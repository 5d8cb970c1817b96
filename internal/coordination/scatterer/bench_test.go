package scatterer

import (
	"testing"
	"time"
)

// BenchmarkQuery measures the decisions of one query over 180 shards whose replies arrive one by one.
func BenchmarkQuery(b *testing.B) {
	const shards = 180
	route := shardedRoute(shards, 0.95)
	p := newPolicies(1e9, shardNames(shards)...)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		j := newJobAt(now, route, p)
		for i, a := range j.Start(now) {
			j.HandleOutcome(now.Add(time.Duration(i)*50*time.Microsecond), a, replied(200))
			j.NextTick()
		}
		if j.Decision() == nil {
			b.Fatal("no decision")
		}
	}
}
