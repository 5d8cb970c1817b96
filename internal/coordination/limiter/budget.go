package limiter

import "time"

const (
	// TokensPerRequest is the number of retry and hedge tokens that each sub-request adds to the budget.
	TokensPerRequest = 0.05
	// shedCooldown is how long retries and hedges are suspended after an upstream has shed load.
	shedCooldown = time.Second
)

// Budget is the token budget shared by retries and hedges.
type Budget struct {
	tokens         float64
	maxTokens      float64
	suspendedUntil time.Time
}

// NewBudget returns an empty budget that holds at most maxTokens.
func NewBudget(maxTokens float64) *Budget {
	return &Budget{
		maxTokens: maxTokens,
	}
}

// Deposit adds the tokens for the first attempt of one sub-request.
func (b *Budget) Deposit() {
	b.tokens = min(b.maxTokens, b.tokens+TokensPerRequest)
}

// TryWithdraw takes one token for a retry or a hedge and reports whether one was available.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if b.tokens < 1 || now.Before(b.suspendedUntil) {
		return false
	}
	b.tokens--
	return true
}

// Suspend blocks withdrawals for shedCooldown after an upstream has shed load.
func (b *Budget) Suspend(now time.Time) {
	b.suspendedUntil = now.Add(shedCooldown)
}
