package limiter

// ExtraShare is how many retries and hedges may be added to each sub-request.
const ExtraShare = 0.05

// Budget holds the tokens that retries and hedges share.
type Budget struct {
	tokens float64
	most   float64
}

// NewBudget returns a budget that saves at most the given number of tokens, and starts full.
func NewBudget(most float64) *Budget {
	return &Budget{
		tokens: most,
		most:   most,
	}
}

// Earn credits the first attempt of one sub-request.
func (b *Budget) Earn() {
	b.tokens = min(b.most, b.tokens+ExtraShare)
}

// Spend takes a token for a retry or a hedge, and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Drain empties the budget, as when upstreams shed load.
func (b *Budget) Drain() {
	b.tokens = 0
}
