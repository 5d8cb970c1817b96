package shedder

import (
	"math/rand/v2"
	"time"
)

const (
	// decreaseStep and increaseStep change a share after each congested and each timely answer; the share is stable while a fifth of the answers are congested.
	decreaseStep = 0.04
	increaseStep = 0.01
	// recoveryPerSecond is how much a share grows per second on its own, so that a service that gets no requests is tried again.
	recoveryPerSecond = 0.05
	// shedThreshold is the share from which on everything is sent. Pauses and a few stragglers leave the share above it, and cost less than missing shards.
	shedThreshold = 0.7
	// minShare keeps a few sub-requests flowing, so that the recovery of a service is observed.
	minShare = 0.05
)

// Traffic is one class of requests to one service.
type Traffic struct {
	Service string
	Class   string
	// Priority ranks the class; 0 is the most urgent.
	Priority int
}

type admissionLevel struct {
	priority  int
	share     float64
	updatedAt time.Time
}

// Shedder tracks the admitted share of the sub-requests of each service and class; it is not safe for concurrent use.
type Shedder struct {
	random *rand.Rand
	levels map[string]map[string]*admissionLevel
}

// New returns a shedder that admits everything.
func New(random *rand.Rand) *Shedder {
	return &Shedder{
		random: random,
		levels: map[string]map[string]*admissionLevel{},
	}
}

// Admit decides whether one sub-request is sent: always if the admitted share is at least shedThreshold, otherwise at random with that share as the probability.
func (s *Shedder) Admit(now time.Time, traffic Traffic) bool {
	share := s.AdmittedShare(now, traffic)
	return share >= shedThreshold || s.random.Float64() < share
}

// SentShare returns the probability with which Admit sends a sub-request.
func (s *Shedder) SentShare(now time.Time, traffic Traffic) float64 {
	share := s.AdmittedShare(now, traffic)
	if share >= shedThreshold {
		return 1
	}
	return share
}

// IsShedding reports whether a part of the traffic is shed.
func (s *Shedder) IsShedding(now time.Time, traffic Traffic) bool {
	return s.AdmittedShare(now, traffic) < shedThreshold
}

// AdmittedShare returns the admitted share of the traffic, which congested answers reduce; it never exceeds the share of a more urgent class of the same service. Admit still sends everything while the share is at least shedThreshold.
func (s *Shedder) AdmittedShare(now time.Time, traffic Traffic) float64 {
	share := 1.0
	for class, l := range s.levels[traffic.Service] {
		if class == traffic.Class || l.priority < traffic.Priority {
			share = min(share, l.shareAt(now))
		}
	}
	return share
}

// MinAdmittedShare returns the smallest admitted share among all services and classes.
func (s *Shedder) MinAdmittedShare(now time.Time) float64 {
	smallest := 1.0
	for _, classes := range s.levels {
		for _, l := range classes {
			smallest = min(smallest, l.shareAt(now))
		}
	}
	return smallest
}

// Observe records the result of one sub-request; it was congested if it was rejected because of load or answered too late to be useful.
func (s *Shedder) Observe(now time.Time, traffic Traffic, congested bool) {
	classes := s.levels[traffic.Service]
	l := classes[traffic.Class]
	if l == nil && !congested {
		return
	}
	if classes == nil {
		classes = map[string]*admissionLevel{}
		s.levels[traffic.Service] = classes
	}
	if l == nil {
		l = &admissionLevel{
			share:     1,
			updatedAt: now,
		}
		classes[traffic.Class] = l
	}
	l.priority = traffic.Priority
	l.update(now, congested)
	if l.share >= 1 {
		delete(classes, traffic.Class)
	}
}

// Reset forgets all congestion, after answers were late for another reason.
func (s *Shedder) Reset() { clear(s.levels) }

// shareAt returns the share including the recovery since the last update.
func (l *admissionLevel) shareAt(now time.Time) float64 {
	return min(1, l.share+recoveryPerSecond*now.Sub(l.updatedAt).Seconds())
}

func (l *admissionLevel) update(now time.Time, congested bool) {
	share := l.shareAt(now) + increaseStep
	if congested {
		share = l.shareAt(now) - decreaseStep
	}
	l.share = min(1, max(minShare, share))
	l.updatedAt = now
}
