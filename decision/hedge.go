package decision

import "time"

// HedgeLimits limit hedging: sending a second attempt of short idempotent work.
type HedgeLimits struct {
	// Ratio is the fraction of requests that may be hedged.
	Ratio float64
	// The delay before the second attempt is Factor times the typical latency,
	// but at least MinDelay.
	Factor   float64
	MinDelay time.Duration
}

// DefaultHedgeLimits returns limits that hedge up to 5 % of the requests.
func DefaultHedgeLimits() HedgeLimits {
	return HedgeLimits{Ratio: 0.05, Factor: 1.5, MinDelay: 5 * time.Millisecond}
}

// Hedger decides when short idempotent work gets a second attempt. Callers must
// not use it for non-idempotent work.
type Hedger struct {
	limits         HedgeLimits
	budget         *RetryBudget
	typicalLatency time.Duration
}

// Parameters of a Hedger.
const (
	// hedgeReserve is the reserve of the hedge budget, as a number of second attempts.
	hedgeReserve = 5
	// latencyStepShift sets the step by which one sample raises or lowers the
	// typical latency: 1/2^latencyStepShift of its current value.
	latencyStepShift = 4
)

// NewHedger returns a hedger without latency samples.
func NewHedger(limits HedgeLimits) *Hedger {
	return &Hedger{limits: limits, budget: NewRetryBudget(limits.Ratio, hedgeReserve)}
}

// StartRequest counts a request and returns the delay before its second attempt. It
// returns 0, which means no second attempt, while no latency is known.
func (h *Hedger) StartRequest() time.Duration {
	h.budget.Request()
	if h.typicalLatency == 0 {
		return 0
	}
	return max(time.Duration(h.limits.Factor*float64(h.typicalLatency)), h.limits.MinDelay)
}

// TryHedge takes a second attempt from the budget. It reports false if the budget
// is used up.
func (h *Hedger) TryHedge() bool { return h.budget.TryRetry() }

// ObserveLatency records the latency of the attempt that answered first. The typical
// latency tracks the median, so that a minority of slow targets does not raise
// it.
func (h *Hedger) ObserveLatency(latency time.Duration) {
	step := h.typicalLatency >> latencyStepShift
	switch {
	case h.typicalLatency == 0:
		h.typicalLatency = latency
	case latency > h.typicalLatency:
		h.typicalLatency += step
	default:
		h.typicalLatency -= step
	}
}
