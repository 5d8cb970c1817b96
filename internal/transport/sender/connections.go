package sender

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// closeLinger is how long a connection counts after it was closed here.
	closeLinger = 100 * time.Millisecond
)

// ShareError is a connection that was not opened because this instance's share of the upstream's limit is used up.
type ShareError struct {
	Address string
	Allowed int
}

// Error names the address and the share.
func (e *ShareError) Error() string {
	return fmt.Sprintf("connection to %s: all %d of this instance's share are open", e.Address, e.Allowed)
}

// Connections counts the connections to each upstream, and opens none beyond what is allowed.
type Connections struct {
	allowed  func(ctx context.Context, address string) int
	mutex    sync.Mutex
	searches map[string]int
	runs     map[string]int
}

// NewConnections returns a counter; allowed says how many connections an address may have now.
func NewConnections(allowed func(ctx context.Context, address string) int) *Connections {
	return &Connections{
		allowed:  allowed,
		searches: map[string]int{},
		runs:     map[string]int{},
	}
}

// Open returns how many connections each address has.
func (c *Connections) Open() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := maps.Clone(c.searches)
	for address, count := range c.runs {
		open[address] += count
	}
	return open
}

// dialSearch opens the one connection for searches.
func (c *Connections) dialSearch(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(ctx, network, address, c.searches, min(1, c.allowed(ctx, address)))
}

// dialRun opens a connection for one non-idempotent request; one of the share stays kept for searches.
func (c *Connections) dialRun(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(ctx, network, address, c.runs, c.allowed(ctx, address)-1)
}

func (c *Connections) dial(ctx context.Context, network, address string, counts map[string]int, allowed int) (net.Conn, error) {
	if err := c.acquire(counts, address, allowed); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.release(counts, address)
		return nil, err
	}
	return &countedConn{
		Conn:        conn,
		connections: c,
		counts:      counts,
		address:     address,
	}, nil
}

func (c *Connections) acquire(counts map[string]int, address string, allowed int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if counts[address] >= allowed {
		return &ShareError{
			Address: address,
			Allowed: allowed,
		}
	}
	counts[address]++
	return nil
}

func (c *Connections) release(counts map[string]int, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts[address]--
	if counts[address] == 0 {
		delete(counts, address)
	}
}

// countedConn gives its place back some time after it is closed.
type countedConn struct {
	net.Conn

	connections *Connections
	counts      map[string]int
	address     string
	once        sync.Once
}

// Close closes the connection; its place is kept until the upstream has seen that.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		time.AfterFunc(closeLinger, func() { c.connections.release(c.counts, c.address) })
	})
	return err
}
