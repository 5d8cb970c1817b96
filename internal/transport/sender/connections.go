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
	// closeGracePeriod is how long a connection still counts after it was closed on this side, since the upstream sees the close a little later.
	closeGracePeriod = 100 * time.Millisecond
)

// ConnectionLimitError reports that a connection was not opened because this instance has used up its share of the upstream's connection limit.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error returns the address and the number of connections allowed.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connection to %s: this instance's share of %d connections is used up", e.Address, e.Limit)
}

// ConnectionLimiter counts and limits the connections to each upstream.
type ConnectionLimiter struct {
	allowance    func(ctx context.Context, address string) int
	mutex        sync.Mutex
	searchCounts map[string]int
	runCounts    map[string]int
}

// NewConnectionLimiter returns a limiter without connections; allowance returns how many connections to an address are currently allowed.
func NewConnectionLimiter(allowance func(ctx context.Context, address string) int) *ConnectionLimiter {
	return &ConnectionLimiter{
		allowance:    allowance,
		searchCounts: map[string]int{},
		runCounts:    map[string]int{},
	}
}

// CountByAddress returns the number of connections by address, including those being opened and those closed less than closeGracePeriod ago.
func (c *ConnectionLimiter) CountByAddress() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := maps.Clone(c.searchCounts)
	for address, count := range c.runCounts {
		open[address] += count
	}
	return open
}

// dialSearch opens the single connection for searches.
func (c *ConnectionLimiter) dialSearch(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(ctx, network, address, c.searchCounts, min(1, c.allowance(ctx, address)))
}

// dialRun opens a connection for one non-idempotent request. One connection of the allowance is reserved for searches.
func (c *ConnectionLimiter) dialRun(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(ctx, network, address, c.runCounts, c.allowance(ctx, address)-1)
}

func (c *ConnectionLimiter) dial(ctx context.Context, network, address string, counts map[string]int, limit int) (net.Conn, error) {
	if err := c.acquire(counts, address, limit); err != nil {
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

func (c *ConnectionLimiter) acquire(counts map[string]int, address string, limit int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if counts[address] >= limit {
		return &ConnectionLimitError{
			Address: address,
			Limit:   limit,
		}
	}
	counts[address]++
	return nil
}

func (c *ConnectionLimiter) release(counts map[string]int, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts[address]--
	if counts[address] == 0 {
		delete(counts, address)
	}
}

// countedConn releases its slot in the count some time after it is closed.
type countedConn struct {
	net.Conn

	connections *ConnectionLimiter
	counts      map[string]int
	address     string
	once        sync.Once
}

// Close closes the connection. The slot is released only after the upstream has had time to see the close.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		time.AfterFunc(closeGracePeriod, func() { c.connections.release(c.counts, c.address) })
	})
	return err
}
