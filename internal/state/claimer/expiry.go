package claimer

import "container/heap"

// expiry is when a key's window passes.
type expiry struct {
	atMs int64
	key  claimKey
}

// expiries is a heap with the earliest expiry first.
type expiries []expiry

// Len returns how many keys have a window.
func (e *expiries) Len() int { return len(*e) }

// Less compares two places of the heap.
func (e *expiries) Less(i, j int) bool { return (*e)[i].atMs < (*e)[j].atMs }

// Swap changes two places of the heap.
func (e *expiries) Swap(i, j int) { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }

// Push adds a key's window at the heap's end.
func (e *expiries) Push(added any) { *e = append(*e, added.(expiry)) }

// Pop takes the heap's last place.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	taken := (*e)[last]
	*e = (*e)[:last]
	return taken
}

func (e *expiries) add(key claimKey, atMs int64) {
	heap.Push(e, expiry{
		atMs: atMs,
		key:  key,
	})
}

// takePassed returns a key whose window has passed, and false where there is none.
func (e *expiries) takePassed(nowMs int64) (claimKey, bool) {
	if len(*e) == 0 || (*e)[0].atMs > nowMs {
		return claimKey{}, false
	}
	return heap.Pop(e).(expiry).key, true
}
