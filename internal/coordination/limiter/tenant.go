package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TenantLimiter holds a token bucket for each tenant with a limit. It is not safe for concurrent use.
type TenantLimiter struct {
	buckets map[string]*rate.Limiter
}

// NewTenantLimiter returns a limiter that admits every request until Configure is called.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{
		buckets: map[string]*rate.Limiter{},
	}
}

// Configure replaces the limits and keeps the tokens of tenants that had a limit before.
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

// Admit reports whether the tenant may send a request now and, if not, how long it must wait.
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
	missingTokens := 1 - bucket.TokensAt(now)
	return false, time.Duration(missingTokens / float64(bucket.Limit()) * float64(time.Second))
}
