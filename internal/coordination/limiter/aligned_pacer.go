package limiter

import (
	"time"
)

const (
	// minAlignedLifetime is the shortest time for which a permit of an aligned pacer remains valid. A shorter one would leave most permits unused, since an instance receives a request every second or two.
	minAlignedLifetime = 250 * time.Millisecond
	// maxAlignedLifetime is the longest.
	maxAlignedLifetime = 2 * time.Second
	// lifetimeShare is the share of the overage that unused permits may take up. The rest absorbs the overlap of shares while instances disagree on their number.
	lifetimeShare = 0.5
)

// AlignedShare is one instance's part of a limit on the requests of all entry instances together.
type AlignedShare struct {
	PerSecond float64
	// Instances is the number of instances that share the limit.
	Instances int
	// Phase places the instance's permits among those of the others, from 0 to below 1 of the time between two of its permits.
	Phase float64
	// Lifetime is how long an unused permit remains valid.
	Lifetime time.Duration
}

// PermitLifetime returns how long unused permits may remain valid if the requests of all instances in any second may exceed the rate to the factor overage and by tolerance requests. In a second, permits of that second and of the lifetime before it can be used.
func PermitLifetime(perSecond, overage, tolerance float64) time.Duration {
	return min(max(allowedLifetime(perSecond, overage, tolerance), minAlignedLifetime), maxAlignedLifetime)
}

// PermitRate returns the rate of permits, which is below perSecond as far as PermitLifetime is longer than the overage allows.
func PermitRate(perSecond, overage, tolerance float64) float64 {
	excess := max(0, minAlignedLifetime-allowedLifetime(perSecond, overage, tolerance))
	return perSecond / (1 + excess.Seconds())
}

func allowedLifetime(perSecond, overage, tolerance float64) time.Duration {
	headroom := overage - 1 + tolerance/max(perSecond, minRate)
	return time.Duration(lifetimeShare * headroom * float64(time.Second))
}

// AlignedPacer spaces the requests of one entry instance to one replica like Pacer, but places the permits of all instances evenly by the wall clock, if each has a phase of its own. All instances together then send no more in any second than the rate for a second and a lifetime, without the random bursts of pacers that start independently. It is not safe for concurrent use.
type AlignedPacer struct {
	share    AlignedShare
	interval time.Duration
	// nextPermit is when the oldest unused permit becomes, or became, available.
	nextPermit time.Time
	// takenAt is when the last permit was taken.
	takenAt time.Time
}

// NewAlignedPacer returns a pacer for this instance's share.
func NewAlignedPacer(now time.Time, share AlignedShare) *AlignedPacer {
	p := &AlignedPacer{}
	p.SetShare(now, share)
	return p
}

// SetShare changes the share. The next permit is not available before an interval has passed since the last one was taken, so that a change gives no additional permit.
func (p *AlignedPacer) SetShare(now time.Time, share AlignedShare) {
	if p.share == share {
		return
	}
	p.share = share
	rate := max(share.PerSecond, minRate) / float64(max(share.Instances, 1))
	p.interval = max(time.Duration(float64(time.Second)/rate), 1)
	earliest := now.Add(-share.Lifetime)
	if next := p.takenAt.Add(p.interval); next.After(earliest) {
		earliest = next
	}
	p.nextPermit = p.firstFrom(earliest)
}

// firstFrom returns the first permit at or after t.
func (p *AlignedPacer) firstFrom(t time.Time) time.Time {
	offset := time.Duration(p.share.Phase * float64(p.interval))
	sincePermit := (time.Duration(t.UnixNano()) - offset) % p.interval
	if sincePermit <= 0 {
		return t.Add(-sincePermit)
	}
	return t.Add(p.interval - sincePermit)
}

// NextPermit returns when a permit is available; that is now or earlier if there is one already.
func (p *AlignedPacer) NextPermit(now time.Time) time.Time {
	if oldest := now.Add(-p.share.Lifetime); p.nextPermit.Before(oldest) {
		p.nextPermit = p.firstFrom(oldest)
	}
	return p.nextPermit
}

// Take uses up a permit, or the next one if none is available.
func (p *AlignedPacer) Take(now time.Time) {
	p.nextPermit = p.NextPermit(now).Add(p.interval)
	p.takenAt = now
}
