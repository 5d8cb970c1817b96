package queuer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const stallThreshold = 50 * time.Millisecond

func newReplica(name string) *registrar.Replica {
	return &registrar.Replica{
		Upstream: name,
		Slots:    2,
	}
}

func TestQueue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := newReplica("a"), newReplica("b")
	item := func(name string, ms int) *Item[string] {
		return &Item[string]{
			Value:    name,
			Deadline: now.Add(time.Duration(ms) * time.Millisecond),
		}
	}
	cases := []struct {
		name  string
		setUp func(q *Queuer[string])
		at    *registrar.Replica
		want  string
	}{
		{name: "earliest deadline first", want: "urgent", setUp: func(q *Queuer[string]) {
			q.Push(item("later", 20), []*registrar.Replica{a})
			q.Push(item("urgent", 10), []*registrar.Replica{a})
		}},
		{name: "arrival order at the same deadline", want: "first", setUp: func(q *Queuer[string]) {
			q.Push(item("first", 10), []*registrar.Replica{a})
			q.Push(item("second", 10), []*registrar.Replica{a})
		}},
		{name: "removed item", want: "", setUp: func(q *Queuer[string]) {
			removed := item("removed", 10)
			q.Push(removed, []*registrar.Replica{a, b})
			q.Remove(removed)
			q.Remove(removed)
		}},
		{name: "item taken by its other replica", want: "", setUp: func(q *Queuer[string]) {
			q.Push(item("shared", 10), []*registrar.Replica{a, b})
			q.Next(now, b, stallThreshold)
		}},
		{name: "all slots occupied, none pipelined", want: "waits", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.StartAttempt(now, a, 1)
			q.StartAttempt(now, a, 2)
		}},
		{name: "all slots occupied, one stalled", want: "", setUp: func(q *Queuer[string]) {
			for range stallBypassLength {
				q.Push(item("waits", 10), []*registrar.Replica{a})
			}
			q.StartAttempt(now.Add(-stallThreshold-1), a, 1)
			q.StartAttempt(now, a, 2)
		}},
		{name: "all slots occupied, one pipelined", want: "", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.StartAttempt(now, a, 1)
			q.StartAttempt(now, a, 2)
			q.StartAttempt(now, a, 3)
		}},
		{name: "slot released", want: "waits", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.StartAttempt(now, a, 1)
			q.StartAttempt(now, a, 2)
			q.EndAttempt("a", 1)
		}},
		{name: "stalled attempt", want: "", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.StartAttempt(now.Add(-stallThreshold-1), a, 1)
		}},
		{name: "stalled attempt, long queue", want: "waits", setUp: func(q *Queuer[string]) {
			for range stallBypassLength {
				q.Push(item("waits", 10), []*registrar.Replica{a})
			}
			q.StartAttempt(now.Add(-stallThreshold-1), a, 1)
		}},
		{name: "backoff after a slow attempt", want: "", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now, "a", stallThreshold+1, stallThreshold)
		}},
		{name: "one item after the backoff", want: "waits", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-initialBackoff), "a", stallThreshold+1, stallThreshold)
		}},
		{name: "no second item after the backoff", want: "", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-initialBackoff), "a", stallThreshold+1, stallThreshold)
			q.StartAttempt(now, a, 1)
		}},
		{name: "fast reply ends the suspicion", want: "waits", setUp: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-initialBackoff), "a", stallThreshold+1, stallThreshold)
			q.StartAttempt(now, a, 1)
			q.Observe(now, "a", stallThreshold, stallThreshold)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New[string]()
			c.setUp(q)
			got := ""
			if item, ok := q.Next(now, a, stallThreshold); ok {
				got = item.Value
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestEstimateWait(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := newReplica("a"), newReplica("b")
	both := []*registrar.Replica{a, b}
	q := New[string]()
	if wait := q.EstimateWait(both, 10*time.Millisecond); wait != 0 {
		t.Errorf("estimated wait of %s for idle replicas, want 0", wait)
	}
	for i := range uint64(2) {
		q.StartAttempt(now, a, i)
		q.StartAttempt(now, b, 10+i)
	}
	for range 7 {
		q.Push(&Item[string]{
			Deadline: now,
		}, both)
	}
	if wait := q.EstimateWait(both, 10*time.Millisecond); wait != 20*time.Millisecond {
		t.Errorf("estimated wait of %s for 7 items of 10 ms on 4 slots, want 20 ms", wait)
	}
}
