package limiter

import "sync"

// ByteBudget limits the bytes that are held at the same time, and those of each holder to a part of them, so that one holder leaves room for the others. It protects the memory against many large responses at once, each of which is within the limit of one. It is safe for concurrent use.
type ByteBudget struct {
	limit int64
	// holderLimit is the limit of one holder, in bytes.
	holderLimit int64
	mutex       sync.Mutex
	held        int64
	byHolder    map[string]int64
}

// NewByteBudget returns a budget of which nothing is held; the limits are in bytes.
func NewByteBudget(limit, holderLimit int64) *ByteBudget {
	return &ByteBudget{
		limit:       limit,
		holderLimit: holderLimit,
		byHolder:    map[string]int64{},
	}
}

// NewLease returns a lease of the holder for 0 bytes.
func (b *ByteBudget) NewLease(holder string) *ByteLease {
	return &ByteLease{
		budget: b,
		holder: holder,
	}
}

// Held returns the bytes that are held.
func (b *ByteBudget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// ByteLease is bytes of a budget that are held until they are released. It is safe for concurrent use.
type ByteLease struct {
	budget     *ByteBudget
	holder     string
	bytes      int64
	isReleased bool
}

// TryGrow holds count more bytes if the budget allows it and the lease has not been released, and reports whether it does.
func (l *ByteLease) TryGrow(count int64) bool {
	b := l.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.isReleased || b.held+count > b.limit || b.byHolder[l.holder]+count > b.holderLimit {
		return false
	}
	l.bytes += count
	b.held += count
	b.byHolder[l.holder] += count
	return true
}

// Bytes returns how many bytes the lease holds.
func (l *ByteLease) Bytes() int64 {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return l.bytes
}

// Release returns the bytes to the budget. Further calls, and those on a nil lease, do nothing.
func (l *ByteLease) Release() {
	if l == nil {
		return
	}
	b := l.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.isReleased = true
	b.held -= l.bytes
	if b.byHolder[l.holder] -= l.bytes; b.byHolder[l.holder] <= 0 {
		delete(b.byHolder, l.holder)
	}
	l.bytes = 0
}
