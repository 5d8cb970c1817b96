package queuer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const stall = 50 * time.Millisecond

func replica(name string) *registrar.Replica {
	return &registrar.Replica{
		Upstream: name,
		Slots:    2,
	}
}

func TestQueue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := replica("a"), replica("b")
	item := func(name string, ms int) *Item[string] {
		return &Item[string]{
			Value:    name,
			Deadline: now.Add(time.Duration(ms) * time.Millisecond),
		}
	}
	cases := []struct {
		name string
		play func(q *Queuer[string])
		at   *registrar.Replica
		want string
	}{
		{name: "the earliest deadline first", want: "urgent", play: func(q *Queuer[string]) {
			q.Push(item("later", 20), []*registrar.Replica{a})
			q.Push(item("urgent", 10), []*registrar.Replica{a})
		}},
		{name: "in order of arrival at the same deadline", want: "first", play: func(q *Queuer[string]) {
			q.Push(item("first", 10), []*registrar.Replica{a})
			q.Push(item("second", 10), []*registrar.Replica{a})
		}},
		{name: "an item that was removed", want: "", play: func(q *Queuer[string]) {
			dead := item("dead", 10)
			q.Push(dead, []*registrar.Replica{a, b})
			q.Remove(dead)
			q.Remove(dead)
		}},
		{name: "an item that its other replica took", want: "", play: func(q *Queuer[string]) {
			q.Push(item("shared", 10), []*registrar.Replica{a, b})
			q.Next(now, b, stall)
		}},
		{name: "all slots taken, but none on its way", want: "waits", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Started(now, a, 1)
			q.Started(now, a, 2)
		}},
		{name: "all slots taken, one of them stalled", want: "", play: func(q *Queuer[string]) {
			for range stalledWaiting {
				q.Push(item("waits", 10), []*registrar.Replica{a})
			}
			q.Started(now.Add(-stall-1), a, 1)
			q.Started(now, a, 2)
		}},
		{name: "all slots taken and one on its way", want: "", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Started(now, a, 1)
			q.Started(now, a, 2)
			q.Started(now, a, 3)
		}},
		{name: "a slot freed", want: "waits", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Started(now, a, 1)
			q.Started(now, a, 2)
			q.Ended("a", 1)
		}},
		{name: "a slot has stalled", want: "", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Started(now.Add(-stall-1), a, 1)
		}},
		{name: "a slot has stalled, but many wait", want: "waits", play: func(q *Queuer[string]) {
			for range stalledWaiting {
				q.Push(item("waits", 10), []*registrar.Replica{a})
			}
			q.Started(now.Add(-stall-1), a, 1)
		}},
		{name: "a replica that was slow pauses", want: "", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now, "a", stall+1, stall)
		}},
		{name: "after the pause it gets one", want: "waits", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-firstPause), "a", stall+1, stall)
		}},
		{name: "and no second one beside it", want: "", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-firstPause), "a", stall+1, stall)
			q.Started(now, a, 1)
		}},
		{name: "a fast answer ends the suspicion", want: "waits", play: func(q *Queuer[string]) {
			q.Push(item("waits", 10), []*registrar.Replica{a})
			q.Observe(now.Add(-firstPause), "a", stall+1, stall)
			q.Started(now, a, 1)
			q.Observe(now, "a", stall, stall)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New[string]()
			c.play(q)
			got := ""
			if item, ok := q.Next(now, a, stall); ok {
				got = item.Value
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestWait(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := replica("a"), replica("b")
	both := []*registrar.Replica{a, b}
	q := New[string]()
	if wait := q.Wait(both, 10*time.Millisecond); wait != 0 {
		t.Errorf("idle, but a wait of %s", wait)
	}
	for i := range uint64(2) {
		q.Started(now, a, i)
		q.Started(now, b, 10+i)
	}
	for range 7 {
		q.Push(&Item[string]{
			Deadline: now,
		}, both)
	}
	if wait := q.Wait(both, 10*time.Millisecond); wait != 20*time.Millisecond {
		t.Errorf("7 wait for 4 slots, each taking 10 ms: a wait of %s, want 20 ms", wait)
	}
}
