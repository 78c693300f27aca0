package decision

import "time"

// RetryBudget limits retries to a fraction of the requests, with a token bucket in
// which a token is one retry. The reserve is the size of the bucket, which is full
// at first; it allows retries while there are few requests.
type RetryBudget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// Defaults of a retry budget: the retries that each request adds, and the size of
// the reserve in retries.
const (
	DefaultRetryRatio   = 0.2
	DefaultRetryReserve = 10
)

// NewRetryBudget returns a full budget that gains ratio retries with each request,
// up to reserve.
func NewRetryBudget(ratio, reserve float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Request counts a request, which adds a fraction of a retry to the budget.
func (b *RetryBudget) Request() { b.tokens = min(b.tokens+b.ratio, b.reserve) }

// TryRetry takes one retry from the budget. It reports false if the budget is used
// up.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// windowParts is the number of parts of a window. The oldest part counts until
// the whole of it is outside the window, so requests and retries of up to one part
// before the window count as well.
const windowParts = 10

// WindowBudget limits the retries in any time window to a fraction of the
// requests in that window plus a reserve. Several processes can share the
// reserve if each of them uses a part of it.
type WindowBudget struct {
	ratio  float64
	window time.Duration
	parts  [windowParts + 1]windowPart
}

// windowPart counts the requests and retries in one part of a window. index is the
// time since the Unix epoch in units of the part's length.
type windowPart struct {
	index    int64
	requests int
	retries  int
}

// NewWindowBudget returns a budget without requests or retries.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, window: window}
}

// Request counts a request.
func (b *WindowBudget) Request(now time.Time) { b.part(now).requests++ }

// TryRetry takes one retry from the budget with the given reserve. It reports false
// if the budget is used up.
func (b *WindowBudget) TryRetry(now time.Time, reserve float64) bool {
	current := b.part(now)
	var requests, retries int
	for i := range b.parts {
		if p := &b.parts[i]; current.index-p.index <= windowParts {
			requests += p.requests
			retries += p.retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+reserve {
		return false
	}
	current.retries++
	return true
}

// part returns the part that contains now. It replaces an expired part.
func (b *WindowBudget) part(now time.Time) *windowPart {
	index := now.UnixNano() / max(int64(b.window)/windowParts, 1)
	p := &b.parts[index%int64(len(b.parts))]
	if p.index != index {
		*p = windowPart{index: index}
	}
	return p
}
