package exchanger

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout limits opening a connection; replicas take a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// maxIdleAtMostOnce is the maximum idle time of a connection for a request that must not run more than once. An older one may have been dropped silently along the path, and then it would be unknown whether the request ran.
	maxIdleAtMostOnce = 300 * time.Millisecond
)

// pool holds the connections to one replica.
type pool struct {
	address   string
	idle      []*connection
	openCount int
	// released is closed and replaced whenever a connection is released, which wakes the goroutines that wait for one.
	released chan struct{}
}

// poolSet holds a pool for each replica and limits the connections of each.
type poolSet struct {
	mutex           sync.Mutex
	byID            map[string]*pool
	connectionLimit func(Target) int
	dialer          net.Dialer
	onOpen          func()
}

// acquire returns an idle connection or opens one; it waits while the limit is reached.
func (p *poolSet) acquire(x *Exchange, target Target, needsFresh bool) (*connection, error) {
	replicaPool, conn, released := p.tryAcquire(target, needsFresh)
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := x.newContext()
	defer cancel()
	for {
		if released == nil {
			x.setDialing()
			return p.dial(ctx, replicaPool)
		}
		select {
		case <-released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if replicaPool, conn, released = p.tryAcquire(target, needsFresh); conn != nil {
			return conn, nil
		}
	}
}

// tryAcquire returns an idle connection, or reserves a slot for a new one, or returns a channel to wait on if the limit is reached.
func (p *poolSet) tryAcquire(target Target, needsFresh bool) (*pool, *connection, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicaPool := p.poolOf(target)
	now := time.Now()
	for i := len(replicaPool.idle) - 1; i >= 0; i-- {
		conn := replicaPool.idle[i]
		replicaPool.idle = replicaPool.idle[:i]
		if conn.isReusable(now) && (!needsFresh || now.Sub(conn.idleSince) < maxIdleAtMostOnce) {
			return replicaPool, conn, nil
		}
		replicaPool.openCount--
		_ = conn.Close()
	}
	if replicaPool.openCount < p.connectionLimit(target) {
		replicaPool.openCount++
		return replicaPool, nil, nil
	}
	return replicaPool, nil, replicaPool.released
}

func (p *poolSet) poolOf(target Target) *pool {
	replicaPool, ok := p.byID[target.Replica]
	if !ok || replicaPool.address != target.Address {
		replicaPool = &pool{
			address:  target.Address,
			released: make(chan struct{}),
		}
		p.byID[target.Replica] = replicaPool
	}
	return replicaPool
}

func (p *poolSet) dial(ctx context.Context, replicaPool *pool) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", replicaPool.address)
	if err != nil {
		p.releaseSlot(replicaPool)
		return nil, err
	}
	p.onOpen()
	return newConnection(raw), nil
}

// preconnect opens a connection to a replica that has none, and adds it to the idle ones.
func (p *poolSet) preconnect(ctx context.Context, target Target) error {
	p.mutex.Lock()
	replicaPool := p.poolOf(target)
	if replicaPool.openCount > 0 {
		p.mutex.Unlock()
		return nil
	}
	replicaPool.openCount++
	p.mutex.Unlock()
	conn, err := p.dial(ctx, replicaPool)
	if err != nil {
		return err
	}
	p.release(target, conn, true)
	return nil
}

func (p *poolSet) isConnected(target Target) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicaPool := p.byID[target.Replica]
	return replicaPool != nil && replicaPool.address == target.Address && replicaPool.openCount > 0
}

// releaseSlot returns the slot of a connection that could not be opened.
func (p *poolSet) releaseSlot(replicaPool *pool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicaPool.openCount--
	replicaPool.wakeWaiters()
}

// release returns a connection to the pool, or closes it if it can't be reused or exceeds the limit.
func (p *poolSet) release(target Target, conn *connection, canReuse bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicaPool := p.byID[target.Replica]
	if replicaPool == nil || replicaPool.address != target.Address {
		_ = conn.Close()
		return
	}
	if !canReuse || replicaPool.openCount > p.connectionLimit(target) {
		replicaPool.openCount--
		_ = conn.Close()
	} else {
		conn.idleSince = time.Now()
		conn.wasIdle = true
		conn.bytesWritten = 0
		replicaPool.idle = append(replicaPool.idle, conn)
	}
	replicaPool.wakeWaiters()
}

func (p *poolSet) openConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, replicaPool := range p.byID {
		count += replicaPool.openCount
	}
	return count
}

func (p *pool) wakeWaiters() {
	close(p.released)
	p.released = make(chan struct{})
}

// removeReplica closes the idle connections of a replica that no longer exists; connections in use are closed when their attempts end.
func (p *poolSet) removeReplica(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicaPool := p.byID[id]
	if replicaPool == nil {
		return
	}
	delete(p.byID, id)
	for _, conn := range replicaPool.idle {
		_ = conn.Close()
	}
}
