package queuer

import (
	"cmp"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// stallBypassLength is the queue length at which a suspect replica gets items for its free slots anyway.
	stallBypassLength = 10
	// initialBackoff is how long a slow replica gets no items. It doubles with each slow attempt after the backoff,
	// up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Item is a sub-request that waits for a slot of any of its replicas.
type Item[T any] struct {
	Value    T
	Deadline time.Time

	sequence uint64
	replicas []*registrar.Replica
	removed  bool
}

// replicaQueue holds the items that wait for one replica and the attempts that run on it.
type replicaQueue[T any] struct {
	replica *registrar.Replica
	items   *Heap[*Item[T]]
	// waiting counts the items that have not been removed.
	waiting int
	// running maps the IDs of the attempts to their start times.
	running map[uint64]time.Time
	// slowStreak counts the slow attempts since the last fast one, without those during a backoff. While it is
	// positive and the queue is shorter than stallBypassLength, the replica gets no item until backoffUntil, and
	// then one at a time.
	slowStreak   int
	backoffUntil time.Time
}

// Queuer keeps a queue for each replica whose slots this instance uses, ordered by deadline. It is not safe for
// concurrent use.
type Queuer[T any] struct {
	queues       map[string]*replicaQueue[T]
	lastSequence uint64
}

// New returns a queuer without waiting items or running attempts.
func New[T any]() *Queuer[T] {
	return &Queuer[T]{
		queues: map[string]*replicaQueue[T]{},
	}
}

// Push adds the item to the queues of all its replicas. The first replica with a free slot takes it.
func (q *Queuer[T]) Push(item *Item[T], replicas []*registrar.Replica) {
	q.lastSequence++
	item.sequence = q.lastSequence
	item.replicas = replicas
	for _, replica := range replicas {
		queue := q.queueFor(replica)
		queue.items.Push(item)
		queue.waiting++
	}
}

// Remove removes an item from every queue it waits in.
func (q *Queuer[T]) Remove(item *Item[T]) {
	if item.removed {
		return
	}
	item.removed = true
	for _, replica := range item.replicas {
		q.queueFor(replica).waiting--
	}
}

// Next removes and returns the item with the earliest deadline that the replica may run now, or false if
// there is none.
func (q *Queuer[T]) Next(now time.Time, replica *registrar.Replica, stallThreshold time.Duration) (*Item[T], bool) {
	queue := q.queueFor(replica)
	if !queue.acceptsItem(now, stallThreshold) && !queue.acceptsPipelined(now, stallThreshold) {
		return nil, false
	}
	for queue.items.Len() > 0 {
		item := queue.items.Pop()
		if item.removed {
			continue
		}
		q.Remove(item)
		return item, true
	}
	return nil, false
}

// Candidates returns the replicas of the first item in a replica's queue, or nil if the queue is empty.
func (q *Queuer[T]) Candidates(replica *registrar.Replica) []*registrar.Replica {
	queue := q.queueFor(replica)
	for {
		item, ok := queue.items.Peek()
		switch {
		case !ok:
			return nil
		case !item.removed:
			return item.replicas
		}
		queue.items.Pop()
	}
}

// IsFree reports whether no item waits for the replica and it would run a new one at once.
func (q *Queuer[T]) IsFree(now time.Time, replica *registrar.Replica, stallThreshold time.Duration) bool {
	queue := q.queueFor(replica)
	return queue.waiting == 0 && queue.acceptsItem(now, stallThreshold)
}

// StartAttempt records that an attempt occupies a slot of the replica.
func (q *Queuer[T]) StartAttempt(now time.Time, replica *registrar.Replica, attempt uint64) {
	q.queueFor(replica).running[attempt] = now
}

// EndAttempt records that an attempt has released its slot.
func (q *Queuer[T]) EndAttempt(upstream string, attempt uint64) {
	if queue, ok := q.queues[upstream]; ok {
		delete(queue.running, attempt)
	}
}

// Observe records the latency of an attempt, or how long it went without a reply. A latency above stallThreshold
// makes the replica suspect and starts a backoff. Slow attempts during the backoff do not extend it.
func (q *Queuer[T]) Observe(now time.Time, upstream string, elapsed, stallThreshold time.Duration) {
	queue, ok := q.queues[upstream]
	if !ok {
		return
	}
	if elapsed <= stallThreshold {
		queue.slowStreak = 0
		return
	}
	if now.Before(queue.backoffUntil) {
		return
	}
	queue.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(queue.slowStreak, 10)))
	queue.slowStreak++
}

// InFlight returns the number of attempts that this instance has in flight at the replica.
func (q *Queuer[T]) InFlight(upstream string) int {
	queue, ok := q.queues[upstream]
	if !ok {
		return 0
	}
	return len(queue.running)
}

// WaitingReplicas returns the replicas for which items wait, ordered by upstream.
func (q *Queuer[T]) WaitingReplicas() []*registrar.Replica {
	var list []*registrar.Replica
	for _, queue := range q.queues {
		if queue.waiting > 0 {
			list = append(list, queue.replica)
		}
	}
	slices.SortFunc(list, func(a, b *registrar.Replica) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// EstimateWait estimates how long a new item for these replicas would wait if each item takes itemDuration.
func (q *Queuer[T]) EstimateWait(replicas []*registrar.Replica, itemDuration time.Duration) time.Duration {
	var slots, busy, waiting int
	for _, replica := range replicas {
		queue := q.queueFor(replica)
		slots += int(replica.Slots)
		busy += len(queue.running)
		waiting = max(waiting, queue.waiting)
	}
	ahead := waiting + busy - slots + 1
	if ahead <= 0 || slots == 0 {
		return 0
	}
	return itemDuration * time.Duration(ahead) / time.Duration(slots)
}

// RemoveIdle removes the queues of idle replicas for which keep returns false.
func (q *Queuer[T]) RemoveIdle(keep func(upstream string) bool) {
	for upstream, queue := range q.queues {
		if queue.waiting == 0 && len(queue.running) == 0 && !keep(upstream) {
			delete(q.queues, upstream)
		}
	}
}

// QueueCount returns the number of replicas that have a queue.
func (q *Queuer[T]) QueueCount() int { return len(q.queues) }

func (q *Queuer[T]) queueFor(replica *registrar.Replica) *replicaQueue[T] {
	queue, ok := q.queues[replica.Upstream]
	if !ok {
		queue = &replicaQueue[T]{
			items:   NewHeap(isMoreUrgent[T]),
			running: map[uint64]time.Time{},
		}
		q.queues[replica.Upstream] = queue
	}
	queue.replica = replica
	return queue
}

func isMoreUrgent[T any](a, b *Item[T]) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.sequence < b.sequence
	}
	return a.Deadline.Before(b.Deadline)
}

// acceptsItem reports whether the replica has a free slot and either is not suspect or has a long queue.
func (rq *replicaQueue[T]) acceptsItem(now time.Time, stallThreshold time.Duration) bool {
	if len(rq.running) >= int(rq.replica.Slots) {
		return false
	}
	if rq.waiting >= stallBypassLength {
		return true
	}
	if rq.slowStreak > 0 && (now.Before(rq.backoffUntil) || len(rq.running) > 0) {
		return false
	}
	return !rq.isStalled(now, stallThreshold)
}

// acceptsPipelined reports whether one more item may be sent while all slots are occupied, so that no slot is
// idle for the network latency.
func (rq *replicaQueue[T]) acceptsPipelined(now time.Time, stallThreshold time.Duration) bool {
	return len(rq.running) == int(rq.replica.Slots) && rq.slowStreak == 0 && !rq.isStalled(now, stallThreshold)
}

// isStalled reports whether an attempt has been running for longer than stallThreshold.
func (rq *replicaQueue[T]) isStalled(now time.Time, stallThreshold time.Duration) bool {
	for _, startedAt := range rq.running {
		if now.Sub(startedAt) > stallThreshold {
			return true
		}
	}
	return false
}
