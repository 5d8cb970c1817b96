package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TenantLimiter holds one token bucket for each tenant with a limit; it is not safe for concurrent use.
type TenantLimiter struct {
	buckets map[string]*rate.Limiter
}

// NewTenantLimiter returns a limiter that admits everything until Configure.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{
		buckets: map[string]*rate.Limiter{},
	}
}

// Configure sets the limits, keeping the tokens of the tenants that stay.
func (l *TenantLimiter) Configure(now time.Time, limits []*wire.TenantLimit) {
	next := make(map[string]*rate.Limiter, len(limits))
	for _, limit := range limits {
		bucket, ok := l.buckets[limit.GetTenant()]
		if !ok {
			bucket = rate.NewLimiter(rate.Limit(limit.GetRequestsPerSecond()), int(limit.GetBurst()))
		}
		bucket.SetLimitAt(now, rate.Limit(limit.GetRequestsPerSecond()))
		bucket.SetBurstAt(now, int(limit.GetBurst()))
		next[limit.GetTenant()] = bucket
	}
	l.buckets = next
}

// Admit reports whether the tenant may ask now, and if not, after how long it may.
func (l *TenantLimiter) Admit(now time.Time, tenant string) (bool, time.Duration) {
	bucket, ok := l.buckets[tenant]
	if !ok {
		return true, 0
	}
	if bucket.AllowN(now, 1) {
		return true, 0
	}
	if bucket.Limit() <= 0 {
		return false, time.Minute
	}
	missing := 1 - bucket.TokensAt(now)
	return false, time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}
