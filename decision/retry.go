package decision

// RetryBudget bounds retries to a ratio of the requests, with a small reserve
// for quiet times.
type RetryBudget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// Defaults of a retry budget.
const (
	DefaultRetryRatio   = 0.2
	DefaultRetryReserve = 10
)

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, reserve float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Request counts a caller's request, which earns part of a retry.
func (b *RetryBudget) Request() { b.tokens = min(b.tokens+b.ratio, b.reserve) }

// Take spends one retry. It reports false if the budget is used up.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
