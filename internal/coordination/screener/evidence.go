package screener

import "time"

// DialResult is what a dial of a replica's address has shown; nothing is sent on the connection.
type DialResult int

// The results of dials.
const (
	// DialUnanswered means that there was neither a connection nor a refusal in time, or that the address is not known.
	DialUnanswered DialResult = iota
	// DialRefused means that no process listens at the address while the path to the availability zone works.
	DialRefused
	// DialAccepted means that a process listens at the address.
	DialAccepted
	// DialPathFailed means that replicas of the availability zone that have lost no connection can't be dialed either.
	DialPathFailed
)

// String returns the name used in metrics.
func (r DialResult) String() string {
	switch r {
	case DialRefused:
		return "refused"
	case DialAccepted:
		return "alive"
	case DialPathFailed:
		return "path-failed"
	default:
		return "unanswered"
	}
}

// RecordLoss records that the replica's side ended the connection of the attempt before the response was complete. It is a suspicion until the crash is confirmed.
func (s *Screener) RecordLoss(now time.Time, a Attempt) {
	s.suspicions.add(now, &a)
}

// HasUnchecked reports whether TakeUnchecked returns any incarnation.
func (s *Screener) HasUnchecked() bool { return len(s.suspicions.unchecked) > 0 }

// TakeUnchecked removes and returns up to limit incarnations whose address is to be dialed, oldest first.
func (s *Screener) TakeUnchecked(limit int) []Incarnation { return s.suspicions.take(limit) }

// IsSuspected reports whether the incarnation has lost connections recently or has crashed.
func (s *Screener) IsSuspected(incarnation Incarnation) bool {
	return s.suspicions.losses[incarnation] != nil || s.crashed.has(incarnation)
}

// RecordDial records the result of a dial and returns whether it confirms the crash. A dial without an answer confirms it if several attempts were lost at the same moment and few replicas of the availability zone are silent.
func (s *Screener) RecordDial(now time.Time, incarnation Incarnation, result DialResult) bool {
	l := s.suspicions.losses[incarnation]
	if l == nil {
		return false
	}
	l.isSilent = result == DialUnanswered
	switch {
	case result == DialRefused, l.isSilent && l.isRepeated && !s.suspicions.isPathSilent(l.zone):
		s.confirm(now, l)
		return true
	case !l.isSilent:
		s.suspicions.refute(l)
	}
	return false
}

// RecordEnd records that the incarnation is known to have ended, because another replica uses its address.
func (s *Screener) RecordEnd(now time.Time, incarnation Incarnation) {
	if l := s.suspicions.losses[incarnation]; l != nil {
		s.confirm(now, l)
	}
}

// RecordResponse records that the incarnation has responded to an attempt sent at the given time, which refutes an earlier crash. A crash that was confirmed is refuted by Expire.
func (s *Screener) RecordResponse(now, sentAt time.Time, incarnation Incarnation) {
	if l := s.suspicions.losses[incarnation]; l != nil && sentAt.After(l.lastLostAt) {
		s.suspicions.refute(l)
	}
	s.crashed.recordResponse(now, sentAt, incarnation)
}

// UpdateReplica takes over what control says of a replica. A newer incarnation confirms the crash of the earlier one, also if a dial has reached the newer one in its place.
func (s *Screener) UpdateReplica(now time.Time, current Incarnation, isLost bool) {
	s.crashed.removeProofs(current)
	for _, l := range s.suspicions.findEnded(now, current, isLost) {
		s.confirm(now, l)
	}
}

// findEnded returns the losses that a record of control confirms. A replica that control has lost while others of its availability zone are silent may be cut off.
func (s *suspicions) findEnded(now time.Time, current Incarnation, isLost bool) []*loss {
	var ended []*loss
	for _, l := range s.order {
		if l.incarnation.Replica != current.Replica {
			continue
		}
		isReplaced := l.incarnation.BornMs < current.BornMs && (!l.isAlive || now.Sub(l.lastLostAt) < suspicionTTL)
		isGone := isLost && l.incarnation == current && !l.isAlive && !s.isPathSilent(l.zone)
		if isReplaced || isGone {
			ended = append(ended, l)
		}
	}
	return ended
}

// confirm records the crash for each request that was lost with it.
func (s *Screener) confirm(now time.Time, l *loss) {
	s.suspicions.remove(l)
	for i := range l.attempts {
		s.record(now, &l.attempts[i])
	}
}

// Expire ends suspicions that nothing has confirmed, and removes the crashes of incarnations that have responded since. controlAt is when control was last heard.
func (s *Screener) Expire(now, controlAt time.Time) {
	s.suspicions.expire(now)
	proven := s.crashed.takeProven(controlAt)
	for _, incarnation := range proven {
		s.record(now, &Report{
			Attempt: Attempt{
				Replica: incarnation.Replica,
				BornMs:  incarnation.BornMs,
			},
			IsProofOfLife: true,
			EndedAt:       now,
		})
	}
	if len(proven) > 0 {
		for fingerprint := range s.quarantined {
			s.noteChange(now, fingerprint)
		}
	}
	s.crashed.prune(now, s.table)
}

// SuspicionCount returns how many requests are sent with care because of crashes that are not confirmed.
func (s *Screener) SuspicionCount() int { return len(s.suspicions.byRequest) }
