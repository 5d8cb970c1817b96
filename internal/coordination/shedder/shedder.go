package shedder

import (
	"math/rand/v2"
	"time"
)

const (
	// stepDown and stepUp move a level with each congested and each timely answer; a fifth of congested answers keeps it where it is.
	stepDown = 0.04
	stepUp   = 0.01
	// driftUp is what a level gains in a second by itself, so that a service that nobody asks is asked again.
	driftUp = 0.05
	// shedBelow is the share from which on everything is sent: pauses and a few stragglers stay above it, and cost less than leaving parts out.
	shedBelow = 0.7
	// lowest keeps a few sub-requests going, by whose answers a service is seen to recover.
	lowest = 0.05
)

// Load is one class of requests to one service.
type Load struct {
	Service string
	Class   string
	// Priority is the class's rank, 0 the most urgent.
	Priority int
}

type level struct {
	priority int
	share    float64
	moved    time.Time
}

// Shedder keeps for each service and class which share of the sub-requests is sent; it is not safe for concurrent use.
type Shedder struct {
	random *rand.Rand
	levels map[string]map[string]*level
}

// New returns a shedder that lets everything through.
func New(random *rand.Rand) *Shedder {
	return &Shedder{
		random: random,
		levels: map[string]map[string]*level{},
	}
}

// Admits decides by chance whether one sub-request is sent.
func (s *Shedder) Admits(now time.Time, load Load) bool {
	share := s.Share(now, load)
	return share >= shedBelow || s.random.Float64() < share
}

// Share returns the share of the load that is sent: no more than of any more urgent class of the service.
func (s *Shedder) Share(now time.Time, load Load) float64 {
	share := 1.0
	for class, l := range s.levels[load.Service] {
		if class == load.Class || l.priority < load.Priority {
			share = min(share, l.at(now))
		}
	}
	return share
}

// Least returns the least share of any load.
func (s *Shedder) Least(now time.Time) float64 {
	least := 1.0
	for _, classes := range s.levels {
		for _, l := range classes {
			least = min(least, l.at(now))
		}
	}
	return least
}

// Observe takes how one sub-request went: congested is one that was rejected for load or came too late to be of use.
func (s *Shedder) Observe(now time.Time, load Load, congested bool) {
	classes := s.levels[load.Service]
	l := classes[load.Class]
	if l == nil && !congested {
		return
	}
	if classes == nil {
		classes = map[string]*level{}
		s.levels[load.Service] = classes
	}
	if l == nil {
		l = &level{
			share: 1,
			moved: now,
		}
		classes[load.Class] = l
	}
	l.priority = load.Priority
	l.move(now, congested)
	if l.share >= 1 {
		delete(classes, load.Class)
	}
}

// at returns the level with what it has gained by itself since it was moved.
func (l *level) at(now time.Time) float64 {
	return min(1, l.share+driftUp*now.Sub(l.moved).Seconds())
}

func (l *level) move(now time.Time, congested bool) {
	share := l.at(now) + stepUp
	if congested {
		share = l.at(now) - stepDown
	}
	l.share = min(1, max(lowest, share))
	l.moved = now
}
