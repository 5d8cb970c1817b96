package queuer

import (
	"cmp"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// stalledWaiting is how many must wait before a suspect replica is given more.
	stalledWaiting = 10
	// firstPause is how long a replica that was outrun gets nothing; it doubles with each further time.
	firstPause = 50 * time.Millisecond
	mostPause  = 400 * time.Millisecond
)

// Item is one sub-request that waits for a slot of any of its replicas.
type Item[T any] struct {
	Value    T
	Deadline time.Time

	order    uint64
	replicas []*registrar.Replica
	gone     bool
}

// queue is what waits for one replica, and what runs there.
type queue[T any] struct {
	replica *registrar.Replica
	items   *Heap[*Item[T]]
	waiting int
	running map[uint64]time.Time
	// outrun counts how often in a row the replica was slow; until then it gets nothing, and then one item.
	outrun int
	pause  time.Time
}

// Queuer keeps one queue for each owned replica, the earliest deadline first; it is not safe for concurrent use.
type Queuer[T any] struct {
	queues map[string]*queue[T]
	pushed uint64
}

// New returns a queuer in which nothing waits or runs.
func New[T any]() *Queuer[T] {
	return &Queuer[T]{
		queues: map[string]*queue[T]{},
	}
}

// Push queues the item at each of the replicas; the first slot that is free takes it.
func (q *Queuer[T]) Push(item *Item[T], replicas []*registrar.Replica) {
	q.pushed++
	item.order = q.pushed
	item.replicas = replicas
	for _, replica := range replicas {
		at := q.at(replica)
		at.items.Push(item)
		at.waiting++
	}
}

// Remove takes an item out of every queue it waits in.
func (q *Queuer[T]) Remove(item *Item[T]) {
	if item.gone {
		return
	}
	item.gone = true
	for _, replica := range item.replicas {
		q.at(replica).waiting--
	}
}

// Next takes the most urgent item that the replica may run now, and false where there is none.
func (q *Queuer[T]) Next(now time.Time, replica *registrar.Replica, stall time.Duration) (*Item[T], bool) {
	at := q.at(replica)
	if !at.takes(now, stall) && !at.pipelines(now, stall) {
		return nil, false
	}
	for at.items.Len() > 0 {
		item := at.items.Pop()
		if item.gone {
			continue
		}
		q.Remove(item)
		return item, true
	}
	return nil, false
}

// Candidates returns the replicas that the most urgent item of a replica's queue may go to, or nothing where none waits.
func (q *Queuer[T]) Candidates(replica *registrar.Replica) []*registrar.Replica {
	at := q.at(replica)
	for {
		item, ok := at.items.Peek()
		switch {
		case !ok:
			return nil
		case !item.gone:
			return item.replicas
		}
		at.items.Pop()
	}
}

// IsFree reports whether the replica would run one more item at once.
func (q *Queuer[T]) IsFree(now time.Time, replica *registrar.Replica, stall time.Duration) bool {
	at := q.at(replica)
	return at.waiting == 0 && at.takes(now, stall)
}

// Started notes that an attempt took a slot of the replica.
func (q *Queuer[T]) Started(now time.Time, replica *registrar.Replica, attempt uint64) {
	q.at(replica).running[attempt] = now
}

// Ended notes that an attempt has left its slot.
func (q *Queuer[T]) Ended(upstream string, attempt uint64) {
	if at, ok := q.queues[upstream]; ok {
		delete(at.running, attempt)
	}
}

// Observe notes how long an attempt took, or was waited for in vain; one longer than stall makes the replica suspect.
func (q *Queuer[T]) Observe(now time.Time, upstream string, took, stall time.Duration) {
	at, ok := q.queues[upstream]
	if !ok {
		return
	}
	if took <= stall {
		at.outrun = 0
		return
	}
	if now.Before(at.pause) {
		return
	}
	at.pause = now.Add(min(mostPause, firstPause<<min(at.outrun, 10)))
	at.outrun++
}

// InFlight returns how many attempts the replica runs.
func (q *Queuer[T]) InFlight(upstream string) int {
	at, ok := q.queues[upstream]
	if !ok {
		return 0
	}
	return len(at.running)
}

// Waiting returns the replicas that items wait for.
func (q *Queuer[T]) Waiting() []*registrar.Replica {
	var list []*registrar.Replica
	for _, at := range q.queues {
		if at.waiting > 0 {
			list = append(list, at.replica)
		}
	}
	slices.SortFunc(list, func(a, b *registrar.Replica) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// Wait estimates how long a new item for these replicas would wait, each item taking the given time.
func (q *Queuer[T]) Wait(replicas []*registrar.Replica, each time.Duration) time.Duration {
	var slots, busy, waiting int
	for _, replica := range replicas {
		at := q.at(replica)
		slots += int(replica.Slots)
		busy += len(at.running)
		waiting = max(waiting, at.waiting)
	}
	ahead := waiting + busy - slots + 1
	if ahead <= 0 || slots == 0 {
		return 0
	}
	return each * time.Duration(ahead) / time.Duration(slots)
}

// Forget drops the queues of replicas that are idle and not kept.
func (q *Queuer[T]) Forget(keep func(upstream string) bool) {
	for upstream, at := range q.queues {
		if at.waiting == 0 && len(at.running) == 0 && !keep(upstream) {
			delete(q.queues, upstream)
		}
	}
}

// Known returns how many replicas have a queue.
func (q *Queuer[T]) Known() int { return len(q.queues) }

func (q *Queuer[T]) at(replica *registrar.Replica) *queue[T] {
	known, ok := q.queues[replica.Upstream]
	if !ok {
		known = &queue[T]{
			items:   NewHeap(isMoreUrgent[T]),
			running: map[uint64]time.Time{},
		}
		q.queues[replica.Upstream] = known
	}
	known.replica = replica
	return known
}

func isMoreUrgent[T any](a, b *Item[T]) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.order < b.order
	}
	return a.Deadline.Before(b.Deadline)
}

// takes reports whether the replica has a free slot and is trusted with one more item.
func (at *queue[T]) takes(now time.Time, stall time.Duration) bool {
	if len(at.running) >= int(at.replica.Slots) {
		return false
	}
	if at.waiting >= stalledWaiting {
		return true
	}
	if at.outrun > 0 && (now.Before(at.pause) || len(at.running) > 0) {
		return false
	}
	return !at.isStalled(now, stall)
}

// pipelines reports whether one more item may be on its way while all slots are taken, so that none idles for the time of the way.
func (at *queue[T]) pipelines(now time.Time, stall time.Duration) bool {
	return len(at.running) == int(at.replica.Slots) && at.outrun == 0 && !at.isStalled(now, stall)
}

// isStalled reports whether an attempt has been running for longer than stall.
func (at *queue[T]) isStalled(now time.Time, stall time.Duration) bool {
	for _, started := range at.running {
		if now.Sub(started) > stall {
			return true
		}
	}
	return false
}
