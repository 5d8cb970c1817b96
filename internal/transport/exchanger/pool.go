package exchanger

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds an attempt to open a connection; replicas take some milliseconds.
	dialTimeout = 400 * time.Millisecond
	// freshFor is how lately a connection must have been used for a request that may run just once: one that was forgotten on the way would leave open whether it ran.
	freshFor = 300 * time.Millisecond
)

// pool holds the connections to one replica.
type pool struct {
	address string
	idle    []*connection
	open    int
	// freed wakes those who wait for a connection.
	freed chan struct{}
}

// pools holds the connections to all replicas, within a limit for each.
type pools struct {
	mutex  sync.Mutex
	byID   map[string]*pool
	limit  func(Target) int
	dialer net.Dialer
	opened func()
}

// get returns an idle connection, or opens one within the limit; while the limit is reached it waits.
func (p *pools) get(x *Exchange, target Target, fresh bool) (*connection, error) {
	known, conn, wait := p.take(target, fresh)
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := x.begin()
	defer cancel()
	for {
		if wait == nil {
			return p.dial(ctx, known)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if known, conn, wait = p.take(target, fresh); conn != nil {
			return conn, nil
		}
	}
}

// take returns an idle connection, or room to open one, or what to wait for.
func (p *pools) take(target Target, fresh bool) (*pool, *connection, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.poolOf(target)
	now := time.Now()
	for i := len(known.idle) - 1; i >= 0; i-- {
		conn := known.idle[i]
		known.idle = known.idle[:i]
		if conn.isSound(now) && (!fresh || now.Sub(conn.idleSince) < freshFor) {
			return known, conn, nil
		}
		known.open--
		_ = conn.Close()
	}
	if known.open < p.limit(target) {
		known.open++
		return known, nil, nil
	}
	return known, nil, known.freed
}

func (p *pools) poolOf(target Target) *pool {
	known, ok := p.byID[target.Replica]
	if !ok || known.address != target.Address {
		known = &pool{
			address: target.Address,
			freed:   make(chan struct{}),
		}
		p.byID[target.Replica] = known
	}
	return known
}

func (p *pools) dial(ctx context.Context, known *pool) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", known.address)
	if err != nil {
		p.leave(known)
		return nil, err
	}
	p.opened()
	return newConnection(raw), nil
}

// warm opens a connection to a replica that has none, and keeps it idle.
func (p *pools) warm(ctx context.Context, target Target) error {
	p.mutex.Lock()
	known := p.poolOf(target)
	if known.open > 0 {
		p.mutex.Unlock()
		return nil
	}
	known.open++
	p.mutex.Unlock()
	conn, err := p.dial(ctx, known)
	if err != nil {
		return err
	}
	p.put(target, conn, true)
	return nil
}

// leave gives the room of a connection back.
func (p *pools) leave(known *pool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known.open--
	known.wake()
}

// put gives a connection back: kept where it may be used again, else closed.
func (p *pools) put(target Target, conn *connection, keep bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.byID[target.Replica]
	if known == nil || known.address != target.Address {
		_ = conn.Close()
		return
	}
	if !keep || known.open > p.limit(target) {
		known.open--
		_ = conn.Close()
	} else {
		conn.idleSince = time.Now()
		conn.kept = true
		conn.wrote = 0
		known.idle = append(known.idle, conn)
	}
	known.wake()
}

func (p *pools) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, known := range p.byID {
		count += known.open
	}
	return count
}

func (k *pool) wake() {
	close(k.freed)
	k.freed = make(chan struct{})
}

// forget closes the idle connections of a replica that is gone; those in use end with their attempts.
func (p *pools) forget(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.byID[id]
	if known == nil {
		return
	}
	delete(p.byID, id)
	for _, conn := range known.idle {
		_ = conn.Close()
	}
}
