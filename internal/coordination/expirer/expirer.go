package expirer

import "time"

const (
	// DefaultSilence is several heartbeat intervals and a cut of some seconds, after which a silent replica is taken for lost.
	DefaultSilence = 9 * time.Second
	// reportLife is how old the word of another control instance may be, twice the period of its reports.
	reportLife = 5 * time.Second
	// forgetAfter silences is when nobody asks about a replica any more, so that it is forgotten.
	forgetAfter = 20
	// mostPause is the longest time between two rounds of a leader that ran throughout.
	mostPause = 4 * time.Second
)

// Expirer is the leader's view of who has been heard, by any control instance; it is not safe for concurrent use.
type Expirer struct {
	silence time.Duration
	heard   map[uint64]time.Time
	reports map[string]time.Time
	term    uint64
	// since is the start of the time in which the leader would have known of every heartbeat.
	since time.Time
	round time.Time
}

// New returns an expirer that has heard nobody; silence is how long a replica may say nothing.
func New(silence time.Duration) *Expirer {
	return &Expirer{
		silence: silence,
		heard:   map[uint64]time.Time{},
		reports: map[string]time.Time{},
	}
}

// Hear notes that a control instance has heard the replica.
func (e *Expirer) Hear(now time.Time, replica uint64) { e.heard[replica] = now }

// Report notes that the control instance has told whom it has heard.
func (e *Expirer) Report(now time.Time, instance string) { e.reports[instance] = now }

// Lead is called in each round of a leader: the time that counts begins anew with a new term, after a pause, and while another control instance, which may hear replicas, does not report.
func (e *Expirer) Lead(now time.Time, term uint64, others []string) {
	ran := term == e.term && now.Sub(e.round) <= mostPause
	e.term = term
	e.round = now
	if !ran || !e.allReport(now, others) {
		e.since = now
	}
	e.forget(now)
}

func (e *Expirer) allReport(now time.Time, others []string) bool {
	for _, instance := range others {
		if now.Sub(e.reports[instance]) > reportLife {
			return false
		}
	}
	return true
}

// IsSilent reports whether the replica would have been heard if it were alive; one that was never asked about counts from now on, since its first heartbeat may still be on its way from another control instance.
func (e *Expirer) IsSilent(now time.Time, replica uint64) bool {
	if _, known := e.heard[replica]; !known {
		e.heard[replica] = now
	}
	return now.Sub(e.since) >= e.silence && now.Sub(e.heard[replica]) >= e.silence
}

// forget drops those whose last word says no more than none at all.
func (e *Expirer) forget(now time.Time) {
	for replica, at := range e.heard {
		if now.Sub(at) > forgetAfter*e.silence {
			delete(e.heard, replica)
		}
	}
}
