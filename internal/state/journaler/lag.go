package journaler

import "time"

// lag tracks how long this instance has not applied what its leader has announced as committed.
type lag struct {
	// announced is the highest commit index that a leader has announced.
	announced uint64
	// target is the announced index that is being waited for, and since when; 0 if everything announced is applied.
	target uint64
	since  time.Time
}

func (l *lag) announce(index uint64) {
	l.announced = max(l.announced, index)
}

func (l *lag) update(now time.Time, applied uint64) time.Duration {
	if applied >= l.announced {
		l.target = 0
		return 0
	}
	// A new target is set each time one is reached, so that an instance that keeps up with many commands does not count as behind.
	if l.target == 0 || applied >= l.target {
		l.target = l.announced
		l.since = now
	}
	return now.Sub(l.since)
}

// IsCurrent reports whether this instance is in contact with a quorum or the leader and has applied all that was committed an election timeout ago, as far as it knows.
func (m *Machine) IsCurrent(now time.Time, applied uint64) bool {
	return m.InContact(now) && m.Lag(now, applied) < m.timing.ElectionTimeout
}

// Lag returns how long an entry that the leader has announced as committed has not been applied, given the applied index. An instance with a stalled disk, or one that waits for a snapshot, is in contact with the leader but lags. It has to be called at short intervals.
func (m *Machine) Lag(now time.Time, applied uint64) time.Duration {
	m.lag.announce(m.commitIndex)
	return m.lag.update(now, applied)
}
