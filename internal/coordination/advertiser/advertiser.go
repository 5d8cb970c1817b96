package advertiser

import "time"

const (
	// span is the time over which requests are counted, a few of them a second at least.
	span = time.Second
	// leastRequests must have been counted before they say anything.
	leastRequests = 4
	// withdrawnFor is how long an instance stays withdrawn without hearing of a change, since nobody sends it requests by which it would notice that it could answer them.
	withdrawnFor = 10 * time.Second
)

// Contact is which part of the control instances answers.
type Contact struct {
	Reached int
	Known   int
}

// isCut reports whether most control instances are out of reach, so that the instance is likely cut off rather than control down for a moment.
func (c Contact) isCut() bool { return c.Known > 2 && 2*c.Reached < c.Known }

// Advertiser keeps how requests have gone lately; it is not safe for concurrent use.
type Advertiser struct {
	began    time.Time
	answered int
	failed   int
	// before are the counts of the span before this one.
	answeredBefore int
	failedBefore   int
	withdrawnAt    time.Time
}

// New returns an advertiser that lets callers come.
func New() *Advertiser { return &Advertiser{} }

// Observe counts one request.
func (a *Advertiser) Observe(now time.Time, answered bool) {
	a.advance(now)
	if answered {
		a.answered++
	} else {
		a.failed++
	}
}

// Advertises reports whether callers may be sent here.
func (a *Advertiser) Advertises(now time.Time, contact Contact) bool {
	a.advance(now)
	if !contact.isCut() {
		a.withdrawnAt = time.Time{}
		return true
	}
	if !a.withdrawnAt.IsZero() && now.Sub(a.withdrawnAt) < withdrawnFor {
		return false
	}
	a.withdrawnAt = time.Time{}
	failed, all := a.failed+a.failedBefore, a.failed+a.failedBefore+a.answered+a.answeredBefore
	if all < leastRequests || 2*failed <= all {
		return true
	}
	a.withdrawnAt = now
	return false
}

func (a *Advertiser) advance(now time.Time) {
	age := now.Sub(a.began)
	if age < span {
		return
	}
	a.answeredBefore, a.failedBefore = a.answered, a.failed
	if age >= 2*span {
		a.answeredBefore, a.failedBefore = 0, 0
	}
	a.answered, a.failed = 0, 0
	a.began = now
}
