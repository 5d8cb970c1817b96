package loader

import (
	"math/rand/v2"
	"time"
)

// Schedule generates seeded Poisson arrivals, independent of the completion of earlier queries.
type Schedule struct {
	random    *rand.Rand
	perSecond float64
	offset    time.Duration
}

// NewSchedule returns a schedule with a mean rate; the same seed gives the same arrivals.
func NewSchedule(seed uint64, perSecond float64) *Schedule {
	return &Schedule{
		random:    rand.New(rand.NewPCG(seed, seed)),
		perSecond: perSecond,
	}
}

// Next returns the time of the next arrival, relative to the start of the schedule.
func (s *Schedule) Next() time.Duration {
	s.offset += time.Duration(s.random.ExpFloat64() / s.perSecond * float64(time.Second))
	return s.offset
}
