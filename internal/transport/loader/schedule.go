package loader

import (
	"math/rand/v2"
	"time"
)

// Schedule is seeded Poisson arrivals, which go on whether or not earlier queries have been answered.
type Schedule struct {
	random    *rand.Rand
	perSecond float64
	at        time.Duration
}

// NewSchedule returns the arrivals at a mean rate; the same seed gives the same arrivals.
func NewSchedule(seed uint64, perSecond float64) *Schedule {
	return &Schedule{
		random:    rand.New(rand.NewPCG(seed, seed)),
		perSecond: perSecond,
	}
}

// Next returns the next arrival, counted from the schedule's start.
func (s *Schedule) Next() time.Duration {
	s.at += time.Duration(s.random.ExpFloat64() / s.perSecond * float64(time.Second))
	return s.at
}
