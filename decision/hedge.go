package decision

import "time"

// HedgeLimits bound second copies of idempotent short work.
type HedgeLimits struct {
	// Ratio is the part of the requests that may get a second copy.
	Ratio float64
	// Factor is how many times the usual latency passes before the second copy
	// is sent, Least the shortest wait.
	Factor float64
	Least  time.Duration
}

// DefaultHedgeLimits allows a twentieth of the work.
func DefaultHedgeLimits() HedgeLimits {
	return HedgeLimits{Ratio: 0.05, Factor: 1.5, Least: 5 * time.Millisecond}
}

// Hedger decides when a second copy of idempotent short work is sent. Work
// that may not be repeated must not be offered to it.
type Hedger struct {
	limits HedgeLimits
	budget *RetryBudget
	usual  time.Duration
}

const (
	hedgeReserve = 5
	// usualShift sets by how much one latency moves the usual: 1/2^shift.
	usualShift = 4
)

// NewHedger returns a hedger that has seen no latency.
func NewHedger(limits HedgeLimits) *Hedger {
	return &Hedger{limits: limits, budget: NewRetryBudget(limits.Ratio, hedgeReserve)}
}

// Begin counts a request and returns how long to wait for its answer before
// the second copy; 0 means that there is none, since nothing is known yet.
func (h *Hedger) Begin() time.Duration {
	h.budget.Request()
	if h.usual == 0 {
		return 0
	}
	return max(time.Duration(h.limits.Factor*float64(h.usual)), h.limits.Least)
}

// Take spends a second copy; it reports false if the budget is used up.
func (h *Hedger) Take() bool { return h.budget.Take() }

// End takes in the latency of the answer that came first. The usual latency
// follows the median, so that slow targets, while few, do not raise it.
func (h *Hedger) End(latency time.Duration) {
	step := h.usual >> usualShift
	switch {
	case h.usual == 0:
		h.usual = latency
	case latency > h.usual:
		h.usual += step
	default:
		h.usual -= step
	}
}
