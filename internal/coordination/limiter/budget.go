package limiter

import "time"

const (
	// ExtraShare is how many retries and hedges may be added to each sub-request.
	ExtraShare = 0.05
	// shedHold is how long after an upstream has shed load nothing is added.
	shedHold = time.Second
)

// Budget holds the tokens that retries and hedges share.
type Budget struct {
	tokens float64
	most   float64
	held   time.Time
}

// NewBudget returns an empty budget that saves at most the given number of tokens.
func NewBudget(most float64) *Budget {
	return &Budget{
		most: most,
	}
}

// Earn credits the first attempt of one sub-request.
func (b *Budget) Earn() {
	b.tokens = min(b.most, b.tokens+ExtraShare)
}

// Spend takes a token for a retry or a hedge, and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if b.tokens < 1 || now.Before(b.held) {
		return false
	}
	b.tokens--
	return true
}

// Shed notes that an upstream sheds load: nothing is added for a while.
func (b *Budget) Shed(now time.Time) {
	b.held = now.Add(shedHold)
}
