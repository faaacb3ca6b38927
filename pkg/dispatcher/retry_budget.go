package dispatcher

// RetryBudget is a token bucket that is filled by new requests, so that retries
// stay within a fixed ratio of them.
type RetryBudget struct {
	// Ratio is the number of tokens that each new request adds; a retry costs
	// one.
	Ratio float64
	// Burst is the maximum number of tokens.
	Burst  float64
	tokens float64
}

// Earn adds the tokens of one new request.
func (b *RetryBudget) Earn() {
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// Spend takes one token and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
