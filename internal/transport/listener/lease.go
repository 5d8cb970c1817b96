package listener

import (
	"context"
	"errors"
	"io"
)

const (
	// bodyAllowance is the size of a body that each request may have at any time, in bytes.
	bodyAllowance = 2 << 10
	// bodyByteCost is how much memory a byte of a body takes, in bytes: a buffer that grows takes up to twice the body, beside the one before it.
	bodyByteCost = 3
	// bodyCostStep is the amount in which memory for a body is leased, in bytes.
	bodyCostStep = 8 << 10
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

// leasedBody is the body of a request whose bytes are counted as they are read.
type leasedBody struct {
	io.ReadCloser

	lease *Lease
	size  int64
	held  int64
	// isWhole is set once the body has arrived.
	isWhole bool
}

// Read reads a part of the body. The error is an OverloadError if there is no memory for it, or if the client is cut off in favor of others.
func (b *leasedBody) Read(content []byte) (int, error) {
	c := b.lease.conn
	n, err := b.ReadCloser.Read(content)
	b.size += int64(n)
	if !b.grow() || err != nil && c.isCutOff.Load() {
		return 0, newOverloadError()
	}
	if errors.Is(err, io.EOF) && !b.isWhole {
		b.isWhole = true
		c.finishBody()
	}
	return n, err
}

// grow leases the memory for what has been read, and reports whether there is any.
func (b *leasedBody) grow() bool {
	missing := (b.size-bodyAllowance)*bodyByteCost - b.held
	if missing <= 0 {
		return true
	}
	missing = max(missing, bodyCostStep)
	if !b.lease.TryGrow(missing) {
		return false
	}
	b.held += missing
	return true
}
