package limiter

import (
	"math/rand/v2"
	"time"
)

const (
	// permitLifetime is how long an unused permit remains valid. It bounds the burst of all instances together after a
	// time in which they sent nothing to the replica.
	permitLifetime = 500 * time.Millisecond
	// minRate is the lowest rate, in requests per second, so that a replica that states 0 is still asked from time to
	// time whether that has changed.
	minRate = 0.1
)

// RateLimit is a limit that a replica states for the requests of all entry instances together.
type RateLimit struct {
	// IsStated is false if the replica states no limit.
	IsStated bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// Pacer spaces the requests of one entry instance to one replica so that all instances together keep within the
// replica's rate limit without exchanging messages: permits become available at even intervals, shifted at random
// against those of the other instances. It is not safe for concurrent use.
type Pacer struct {
	limit    RateLimit
	interval time.Duration
	// nextPermit is when the oldest unused permit becomes, or became, available.
	nextPermit time.Time
}

// NewPacer returns a pacer for this instance's equal share of the limit.
func NewPacer(now time.Time, limit RateLimit, instances int, random *rand.Rand) *Pacer {
	p := &Pacer{}
	p.SetLimit(now, limit, instances)
	p.nextPermit = now.Add(time.Duration(random.Int64N(int64(p.interval))))
	return p
}

// SetLimit changes the limit and the number of instances that share it.
func (p *Pacer) SetLimit(now time.Time, limit RateLimit, instances int) {
	p.limit = limit
	rate := max(limit.PerSecond, minRate) / float64(max(instances, 1))
	p.interval = max(time.Duration(float64(time.Second)/rate), 1)
	if latest := now.Add(p.interval); p.nextPermit.After(latest) {
		p.nextPermit = latest
	}
}

// Limit returns the limit that the pacer keeps.
func (p *Pacer) Limit() RateLimit { return p.limit }

// NextPermit returns when a permit is available; that is now or earlier if there is one already.
func (p *Pacer) NextPermit(now time.Time) time.Time {
	if expired := now.Add(-permitLifetime).Sub(p.nextPermit); expired > 0 {
		p.nextPermit = p.nextPermit.Add((expired/p.interval + 1) * p.interval)
	}
	return p.nextPermit
}

// Take uses up a permit, or the next one if none is available.
func (p *Pacer) Take(now time.Time) {
	p.nextPermit = p.NextPermit(now).Add(p.interval)
}
