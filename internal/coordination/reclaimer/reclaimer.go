package reclaimer

import (
	"container/list"
	"time"
)

const (
	// Patience is how long a request may take to arrive, or a part of a response to be received, before its client may be cut off in favor of another one.
	Patience = 500 * time.Millisecond
	// contention is how long clients give way after a newcomer has been refused.
	contention = time.Second
	// maxWeighedAge is the age of an arriving request from which on it makes no difference.
	maxWeighedAge = 10 * time.Second
)

// Stage is what the connection of a client is in use for.
type Stage int

// The stages of a connection. Clients whose requests are being served are never cut off, since what they hold would outlive their connections.
const (
	// Idle is a connection on which no part of a request has arrived since the last response.
	Idle Stage = iota
	// Receiving is a connection on which a part of a request has arrived.
	Receiving
	// Serving is a connection whose request is complete.
	Serving
	// Sending is a connection on which a part of a response waits for its client to receive it.
	Sending
	// Ending is a connection that is about to be closed, once its client has had time to receive the response.
	Ending
	stageCount
)

// class divides the clients of a stage: those of whom no request has been served yet are cut off before the others.
type class int

const (
	newClients class = iota
	servedClients
	classCount
)

// Client is the connection of a client. The owner is what the caller knows it by.
type Client[T any] struct {
	Owner T

	group *Group[T]
	stage Stage
	class class
	// since is when the stage began.
	since time.Time
	bytes int64
	// place is the client's position among those of its stage and class, nil once it is closed or cut off.
	place *list.Element
}

// Stage returns what the connection is in use for, or was when it was cut off.
func (c *Client[T]) Stage() Stage { return c.stage }

// Reclaimer accounts for the memory that clients hold beyond that of their connections. It is not safe for concurrent use.
type Reclaimer[T any] struct {
	limit  int64
	held   int64
	groups []*Group[T]
}

// New returns a reclaimer for clients that together hold up to limit bytes.
func New[T any](limit int64) *Reclaimer[T] {
	return &Reclaimer[T]{
		limit: limit,
	}
}

// Held returns the bytes that are held.
func (r *Reclaimer[T]) Held() int64 { return r.held }

// Group is the clients of one listener.
type Group[T any] struct {
	reclaimer *Reclaimer[T]
	limit     int
	// clients holds the clients by their stage and class, each in the order in which the stage began.
	clients [stageCount][classCount]*list.List
	// refusedAt is when a newcomer was last refused.
	refusedAt time.Time
}

// NewGroup adds a group of up to limit clients.
func (r *Reclaimer[T]) NewGroup(limit int) *Group[T] {
	g := &Group[T]{
		reclaimer: r,
		limit:     limit,
	}
	for stage := range g.clients {
		for class := range g.clients[stage] {
			g.clients[stage][class] = list.New()
		}
	}
	r.groups = append(r.groups, g)
	return g
}

// Len returns the number of clients.
func (g *Group[T]) Len() int {
	count := 0
	for _, stage := range g.clients {
		for _, clients := range stage {
			count += clients.Len()
		}
	}
	return count
}

// Admit adds a client, which is idle. If the group is full, the second client returned is to be cut off in favor of the new one; both are nil if there is none to cut off.
func (g *Group[T]) Admit(now time.Time, owner T) (*Client[T], *Client[T]) {
	var victim *Client[T]
	if g.Len() >= g.limit {
		victim = g.findVictim(now)
		if victim == nil {
			g.refusedAt = now
			return nil, nil
		}
		g.reclaimer.Close(victim)
	}
	client := &Client[T]{
		Owner: owner,
		group: g,
		since: now,
	}
	client.enter()
	return client, victim
}

// IsContended reports whether a newcomer was refused within the last second, so that a client who sends its next request before the response to the last one has to give way.
func (g *Group[T]) IsContended(now time.Time) bool { return now.Sub(g.refusedAt) < contention }

// enter adds the client to those of its stage and class.
func (c *Client[T]) enter() { c.place = c.group.clients[c.stage][c.class].PushBack(c) }

// leave removes the client from those of its stage and class.
func (c *Client[T]) leave() {
	c.group.clients[c.stage][c.class].Remove(c.place)
	c.place = nil
}

// findVictim returns the client to cut off for a connection, or nil if there is none.
func (g *Group[T]) findVictim(now time.Time) *Client[T] {
	for _, stage := range []Stage{Ending, Idle, Receiving, Sending} {
		for _, clients := range g.clients[stage] {
			oldest := first[T](clients)
			if oldest != nil && now.Sub(oldest.since) >= patienceWith(stage) {
				return oldest
			}
		}
	}
	return nil
}

// patienceWith returns how long a client may be in the stage before it may be cut off for a connection.
func patienceWith(stage Stage) time.Duration {
	if stage == Ending || stage == Idle {
		return 0
	}
	return Patience
}

// first returns the client that has been longest in a list, or nil.
func first[T any](clients *list.List) *Client[T] {
	front := clients.Front()
	if front == nil {
		return nil
	}
	client, _ := front.Value.(*Client[T])
	return client
}

// SetStage records what the connection is in use for, from now on. An idle client holds nothing.
func (r *Reclaimer[T]) SetStage(now time.Time, c *Client[T], stage Stage) {
	if c.place == nil || c.stage == stage {
		return
	}
	if stage == Idle {
		r.release(c, c.bytes)
	}
	c.leave()
	c.since = now
	c.stage = stage
	if stage == Serving {
		c.class = servedClients
	}
	c.enter()
}

// Progress records that a part of what the client sends or receives has arrived, so that its stage counts from now on.
func (r *Reclaimer[T]) Progress(now time.Time, c *Client[T]) {
	if c.place == nil {
		return
	}
	c.leave()
	c.since = now
	c.enter()
}

// Grow has the client hold more bytes. It reports whether the client may, and the clients that are to be cut off in its favor.
func (r *Reclaimer[T]) Grow(now time.Time, c *Client[T], bytes int64) (bool, []*Client[T]) {
	var victims []*Client[T]
	if c.place == nil || bytes > r.limit {
		return false, nil
	}
	for r.held+bytes > r.limit {
		victim := r.findHolder(now, c)
		if victim == nil {
			return false, victims
		}
		r.Close(victim)
		victims = append(victims, victim)
	}
	r.release(c, -bytes)
	return true, victims
}

// findHolder returns the other client whose arriving request holds the most bytes for the longest time, or nil if none has for long enough.
func (r *Reclaimer[T]) findHolder(now time.Time, except *Client[T]) *Client[T] {
	for class := range classCount {
		var heaviest *Client[T]
		for _, g := range r.groups {
			for place := g.clients[Receiving][class].Front(); place != nil; place = place.Next() {
				c, _ := place.Value.(*Client[T])
				if c != except && c.bytes > 0 && now.Sub(c.since) >= Patience && (heaviest == nil || c.weight(now) > heaviest.weight(now)) {
					heaviest = c
				}
			}
		}
		if heaviest != nil {
			return heaviest
		}
	}
	return nil
}

// weight returns how much cutting off the client is worth to others: the bytes that it holds times how long it has.
func (c *Client[T]) weight(now time.Time) float64 {
	return float64(c.bytes) * min(now.Sub(c.since), maxWeighedAge).Seconds()
}

func (r *Reclaimer[T]) release(c *Client[T], bytes int64) {
	c.bytes -= bytes
	r.held -= bytes
}

// Detach has nobody hold up to that many bytes of the client, until they are given to Return. It returns how many they are.
func (r *Reclaimer[T]) Detach(c *Client[T], bytes int64) int64 {
	detached := min(bytes, c.bytes)
	c.bytes -= detached
	return detached
}

// Return gives up bytes that were detached.
func (r *Reclaimer[T]) Return(bytes int64) { r.held -= bytes }

// Close removes a client, which then holds nothing. It does nothing for one that was cut off.
func (r *Reclaimer[T]) Close(c *Client[T]) {
	if c.place == nil {
		return
	}
	r.release(c, c.bytes)
	c.leave()
}
