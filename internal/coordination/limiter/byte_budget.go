package limiter

import "sync/atomic"

// ByteBudget limits the bytes that are held at the same time. It protects the memory against many large responses at
// once, each of which is within the limit of one. It is safe for concurrent use.
type ByteBudget struct {
	limit int64
	held  atomic.Int64
}

// NewByteBudget returns a budget of which nothing is held.
func NewByteBudget(limit int64) *ByteBudget {
	return &ByteBudget{
		limit: limit,
	}
}

// TryAcquire holds count more bytes if the budget allows it, and reports whether it does.
func (b *ByteBudget) TryAcquire(count int64) bool {
	if b.held.Add(count) <= b.limit {
		return true
	}
	b.held.Add(-count)
	return false
}

// Release returns bytes to the budget.
func (b *ByteBudget) Release(count int64) { b.held.Add(-count) }
