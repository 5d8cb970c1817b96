package claimer

import "container/heap"

// expiry is the time at which a key expires.
type expiry struct {
	atMs int64
	key  claimKey
}

// expiries is a min-heap of keys by expiry time; it implements heap.Interface.
type expiries []expiry

// Len returns the number of keys in the heap.
func (e *expiries) Len() int { return len(*e) }

// Less reports whether the key at i expires before the key at j.
func (e *expiries) Less(i, j int) bool { return (*e)[i].atMs < (*e)[j].atMs }

// Swap swaps the keys at i and j.
func (e *expiries) Swap(i, j int) { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }

// Push appends a key; callers use add.
func (e *expiries) Push(item any) { *e = append(*e, item.(expiry)) }

// Pop removes the last element; callers use popExpired.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]
	return item
}

func (e *expiries) add(key claimKey, atMs int64) {
	heap.Push(e, expiry{
		atMs: atMs,
		key:  key,
	})
}

// popExpired removes and returns a key that has expired, or returns false if there is none.
func (e *expiries) popExpired(nowMs int64) (claimKey, bool) {
	if len(*e) == 0 || (*e)[0].atMs > nowMs {
		return claimKey{}, false
	}
	return heap.Pop(e).(expiry).key, true
}
