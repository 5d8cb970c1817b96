package screener

import (
	"slices"
	"time"
)

const (
	// suspicionTTL is how long a lost connection makes the sender careful unless a crash is confirmed. A check takes less than half a second.
	suspicionTTL = 3 * time.Second
	// lateProofTTL is how long a lost connection is remembered. Control reports a silent replica lost after 9 s.
	lateProofTTL = 12 * time.Second
	// sameMoment is the time between the losses of two attempts that one end of a process causes.
	sameMoment = 50 * time.Millisecond
	// maxLosses bounds the incarnations with lost connections, and maxLossAttempts the attempts of each. A query over 135 shards, repeated at the other two replicas of each, fits.
	maxLosses       = 512
	maxLossAttempts = 8
	// minPathReplicas is how many replicas of an availability zone that give no answer to a dial point to the path to them.
	minPathReplicas = 3
)

// loss is an incarnation that has ended a connection before its response was complete.
type loss struct {
	incarnation Incarnation
	zone        string
	lastLostAt  time.Time
	// attempts holds the lost attempts, whether or not they still make the sender careful.
	attempts []Report
	// isRepeated is set if several attempts were lost at the same moment.
	isRepeated bool
	// isAlive is set once something has refuted the crash, isSilent once a dial had no answer.
	isAlive  bool
	isSilent bool
}

// suspicions holds the crashes that nothing has confirmed yet.
type suspicions struct {
	losses map[Incarnation]*loss
	// order holds the losses in the order of their first attempts.
	order []*loss
	// byRequest holds the attempts that make the sender of a request careful, in the order of their ends.
	byRequest map[uint64][]Report
	// unchecked holds the incarnations that wait for a dial.
	unchecked []Incarnation
}

func newSuspicions() *suspicions {
	return &suspicions{
		losses:    map[Incarnation]*loss{},
		byRequest: map[uint64][]Report{},
	}
}

// add records a lost attempt.
func (s *suspicions) add(now time.Time, a *Attempt) {
	incarnation := a.Incarnation()
	l := s.losses[incarnation]
	if l == nil {
		if len(s.order) >= maxLosses {
			s.remove(s.order[0])
		}
		l = &loss{
			incarnation: incarnation,
			zone:        a.Zone,
		}
		s.losses[incarnation] = l
		s.order = append(s.order, l)
	}
	if len(l.attempts) >= maxLossAttempts {
		s.withdraw(&l.attempts[0])
		l.attempts = l.attempts[1:]
	}
	l.isRepeated = l.isRepeated || len(l.attempts) > 0 && now.Sub(l.lastLostAt) <= sameMoment
	l.isAlive = false
	l.lastLostAt = now
	report := Report{
		Attempt: *a,
		Crashed: true,
		EndedAt: now,
	}
	l.attempts = append(l.attempts, report)
	s.byRequest[a.Fingerprint] = append(s.byRequest[a.Fingerprint], report)
	if !slices.Contains(s.unchecked, incarnation) {
		s.unchecked = append(s.unchecked, incarnation)
	}
}

// take removes and returns up to limit incarnations that wait for a dial, oldest first.
func (s *suspicions) take(limit int) []Incarnation {
	count := min(limit, len(s.unchecked))
	taken := s.unchecked[:count:count]
	s.unchecked = s.unchecked[count:]
	return taken
}

// refute ends the carefulness for attempts of an incarnation that is alive. They are kept, since a process that starts anew at the address accepts dials too.
func (s *suspicions) refute(l *loss) {
	l.isAlive = true
	for i := range l.attempts {
		s.withdraw(&l.attempts[i])
	}
}

// withdraw ends the carefulness for an attempt.
func (s *suspicions) withdraw(r *Report) {
	s.filter(r.Fingerprint, func(other *Report) bool { return *other != *r })
}

// removeAnswered ends the carefulness for attempts of earlier rounds at the service that has answered.
func (s *suspicions) removeAnswered(answer *Attempt) {
	if len(s.byRequest[answer.Fingerprint]) == 0 {
		return
	}
	isRefuted := func(r *Report) bool {
		return r.Fingerprint == answer.Fingerprint && r.Service == answer.Service && r.Round < answer.Round
	}
	s.filter(answer.Fingerprint, func(r *Report) bool { return !isRefuted(r) })
	for _, l := range s.order {
		l.attempts = slices.DeleteFunc(l.attempts, func(r Report) bool { return isRefuted(&r) })
	}
}

// filter keeps those attempts of a request for which keep returns true.
func (s *suspicions) filter(fingerprint uint64, keep func(*Report) bool) {
	kept := slices.DeleteFunc(s.byRequest[fingerprint], func(r Report) bool { return !keep(&r) })
	if len(kept) == 0 {
		delete(s.byRequest, fingerprint)
		return
	}
	s.byRequest[fingerprint] = kept
}

// remove forgets a loss.
func (s *suspicions) remove(l *loss) {
	for i := range l.attempts {
		s.withdraw(&l.attempts[i])
	}
	delete(s.losses, l.incarnation)
	s.order = slices.DeleteFunc(s.order, func(other *loss) bool { return other == l })
	s.unchecked = slices.DeleteFunc(s.unchecked, func(other Incarnation) bool { return other == l.incarnation })
}

// expire ends the carefulness for attempts lost long ago and forgets losses that nothing has confirmed.
func (s *suspicions) expire(now time.Time) {
	for _, l := range slices.Clone(s.order) {
		if now.Sub(l.lastLostAt) >= lateProofTTL {
			s.remove(l)
		}
	}
	for fingerprint := range s.byRequest {
		s.filter(fingerprint, func(r *Report) bool { return now.Sub(r.EndedAt) < suspicionTTL })
	}
}

// expiry returns when the first of the attempts that make the sender of the request careful expires.
func (s *suspicions) expiry(fingerprint uint64) time.Time {
	return s.byRequest[fingerprint][0].EndedAt.Add(suspicionTTL)
}

// isPathSilent reports whether so many replicas of the availability zone give no answer that the path to them is the likely cause.
func (s *suspicions) isPathSilent(zone string) bool {
	silent := 0
	for _, l := range s.order {
		if l.zone == zone && l.isSilent {
			silent++
		}
	}
	return silent >= minPathReplicas
}
