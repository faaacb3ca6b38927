package dispatcher

// RetryBudget is a token bucket filled by fresh requests, so that retries stay
// a fixed share of them.
type RetryBudget struct {
	// Ratio is how many retries each fresh request pays for.
	Ratio float64
	// Burst is the most retries that can be saved up.
	Burst  float64
	tokens float64
}

// Earn adds a fresh request's share.
func (b *RetryBudget) Earn() {
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// Spend takes one retry from the budget, if there is one.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
