package advertiser

import "time"

const (
	// windowLength is the length of a counting window. It assumes that an instance gets at least a few
	// requests a second.
	windowLength = time.Second
	// minRequests is the number of counted requests below which their failures are not significant.
	minRequests = 4
	// withdrawalDuration is how long an isolated instance stays withdrawn before it is advertised again.
	// Without requests from callers it could not find out that it can answer them.
	withdrawalDuration = 10 * time.Second
)

// Reachability is the number of known control instances and how many of them are reachable.
type Reachability struct {
	Reached int
	Known   int
}

// isIsolated reports whether more than half of the control instances are unreachable. Then this instance is
// probably partitioned from them, rather than some of them being down. It returns false while only one or two
// are known.
func (r Reachability) isIsolated() bool { return r.Known > 2 && 2*r.Reached < r.Known }

// Advertiser counts the results of recent requests. It is not safe for concurrent use.
type Advertiser struct {
	windowStart time.Time
	answered    int
	failed      int
	// previousAnswered and previousFailed are the counts of the previous window.
	previousAnswered int
	previousFailed   int
	withdrawnAt      time.Time
}

// New returns an advertiser that is not withdrawn.
func New() *Advertiser { return &Advertiser{} }

// Observe counts one request.
func (a *Advertiser) Observe(now time.Time, answered bool) {
	a.advanceWindow(now)
	if answered {
		a.answered++
	} else {
		a.failed++
	}
}

// ShouldAdvertise reports whether the instance is to be advertised to callers. It withdraws for
// withdrawalDuration if it is isolated and more than half of the recent requests failed. It is advertised as
// soon as it isn't isolated.
func (a *Advertiser) ShouldAdvertise(now time.Time, reachability Reachability) bool {
	a.advanceWindow(now)
	if !reachability.isIsolated() {
		a.withdrawnAt = time.Time{}
		return true
	}
	if !a.withdrawnAt.IsZero() && now.Sub(a.withdrawnAt) < withdrawalDuration {
		return false
	}
	a.withdrawnAt = time.Time{}
	failed, total := a.failed+a.previousFailed, a.failed+a.previousFailed+a.answered+a.previousAnswered
	if total < minRequests || 2*failed <= total {
		return true
	}
	a.withdrawnAt = now
	return false
}

func (a *Advertiser) advanceWindow(now time.Time) {
	age := now.Sub(a.windowStart)
	if age < windowLength {
		return
	}
	a.previousAnswered, a.previousFailed = a.answered, a.failed
	if age >= 2*windowLength {
		a.previousAnswered, a.previousFailed = 0, 0
	}
	a.answered, a.failed = 0, 0
	a.windowStart = now
}
