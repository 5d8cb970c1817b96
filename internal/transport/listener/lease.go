package listener

import (
	"context"
)

// connKey and leaseKey are the keys of the connection and the lease in the context of a request.
type (
	connKey  struct{}
	leaseKey struct{}
)

// Lease is the memory that a request holds beyond its allowance. The guard's mutex guards its fields.
type Lease struct {
	conn     *conn
	bytes    int64
	holders  int
	hasEnded bool
}

// LeaseOf returns the lease of the request with the context, or nil if its connection has not passed a gate.
func LeaseOf(ctx context.Context) *Lease {
	if lease, ok := ctx.Value(leaseKey{}).(*Lease); ok {
		return lease
	}
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.currentLease()
	}
	return nil
}

// TryGrow has the request hold more bytes, and reports whether it may. A nil lease has no limit.
func (l *Lease) TryGrow(bytes int64) bool {
	if l == nil || bytes <= 0 {
		return true
	}
	return l.conn.gate.guard.grow(l.conn, bytes, &l.bytes)
}

// Hold keeps the lease beyond the end of the request, until Drop is called. It does nothing for a nil lease.
func (l *Lease) Hold() {
	if l == nil {
		return
	}
	g := l.conn.gate.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.holders++
}

// Drop ends what Hold started. The bytes are returned once the request has ended and nothing holds the lease.
func (l *Lease) Drop() {
	if l == nil {
		return
	}
	g := l.conn.gate.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.holders--
	l.returnUnheld()
}

// end ends the lease of a request that has been answered.
func (l *Lease) end() {
	g := l.conn.gate.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// The connection may be cut off for the next request, while these bytes are still held.
	l.bytes = g.reclaimer.Detach(l.conn.client, l.bytes)
	l.hasEnded = true
	l.returnUnheld()
}

// returnUnheld returns the bytes if nothing holds the lease; the guard's mutex must be held.
func (l *Lease) returnUnheld() {
	if l.hasEnded && l.holders == 0 {
		l.conn.gate.guard.reclaimer.Return(l.bytes)
		l.bytes = 0
	}
}
