package expirer

import "time"

const (
	// DefaultSilenceTimeout is the time without heartbeats after which a replica is lost: several heartbeat
	// intervals plus a network partition of a few seconds.
	DefaultSilenceTimeout = 9 * time.Second
	// maxReportAge is the age up to which the last report of another control instance counts: more than twice
	// the 2 s between reports.
	maxReportAge = 5 * time.Second
	// removeAfterTimeouts is the age of a heartbeat, in silence timeouts, after which it is removed: by then
	// its replica is no longer checked.
	removeAfterTimeouts = 20
	// maxRoundInterval is the maximum time between two rounds of a leader that runs without interruption.
	// After a longer one it may have been suspended.
	maxRoundInterval = 4 * time.Second
)

// Expirer is the leader's record of the heartbeats received by any control instance. Replicas are identified
// by a hash of their id. It is not safe for concurrent use.
type Expirer struct {
	silenceTimeout  time.Duration
	lastHeartbeatAt map[uint64]time.Time
	lastReports     map[string]time.Time
	term            uint64
	// observedSince is the time since which this leader would have learned of every heartbeat.
	observedSince time.Time
	lastRound     time.Time
}

// New returns an expirer without heartbeats. A replica is silent after silenceTimeout without a heartbeat.
func New(silenceTimeout time.Duration) *Expirer {
	return &Expirer{
		silenceTimeout:  silenceTimeout,
		lastHeartbeatAt: map[uint64]time.Time{},
		lastReports:     map[string]time.Time{},
	}
}

// RecordHeartbeat records that a control instance has received a heartbeat of the replica.
func (e *Expirer) RecordHeartbeat(now time.Time, replica uint64) { e.lastHeartbeatAt[replica] = now }

// RecordReport records that a control instance has reported the heartbeats it received.
func (e *Expirer) RecordReport(now time.Time, instance string) { e.lastReports[instance] = now }

// BeginRound begins a round of the leader. It restarts the observation in a new term, after an interruption,
// and while one of the other control instances does not report, since that one may be receiving heartbeats.
func (e *Expirer) BeginRound(now time.Time, term uint64, others []string) {
	isContinuous := term == e.term && now.Sub(e.lastRound) <= maxRoundInterval
	e.term = term
	e.lastRound = now
	if !isContinuous || !e.allReporting(now, others) {
		e.observedSince = now
	}
	e.removeOld(now)
}

func (e *Expirer) allReporting(now time.Time, others []string) bool {
	for _, instance := range others {
		if now.Sub(e.lastReports[instance]) > maxReportAge {
			return false
		}
	}
	return true
}

// IsSilent reports whether the replica has sent no heartbeat for the silence timeout while the leader would
// have learned of it. For an unknown replica the timeout starts now: another control instance may have
// received its first heartbeat and not reported it yet.
func (e *Expirer) IsSilent(now time.Time, replica uint64) bool {
	if _, known := e.lastHeartbeatAt[replica]; !known {
		e.lastHeartbeatAt[replica] = now
	}
	return now.Sub(e.observedSince) >= e.silenceTimeout && now.Sub(e.lastHeartbeatAt[replica]) >= e.silenceTimeout
}

// removeOld removes heartbeats older than removeAfterTimeouts silence timeouts.
func (e *Expirer) removeOld(now time.Time) {
	for replica, heartbeatAt := range e.lastHeartbeatAt {
		if now.Sub(heartbeatAt) > removeAfterTimeouts*e.silenceTimeout {
			delete(e.lastHeartbeatAt, replica)
		}
	}
}
