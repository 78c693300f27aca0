package entry

import (
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/result"
)

// limits holds the entry's budgets and limits. It is safe for concurrent use; the
// lock is held only for a few arithmetic operations.
type limits struct {
	mu         sync.Mutex
	retries    *decision.RetryBudget
	workspaces *decision.WorkspaceLimit
	hedgers    map[string]*decision.Hedger
	link       *decision.LinkBudget
	// crossRegionTotal counts the bytes to and from other regions since the entry
	// started.
	crossRegionTotal int64
	disabled         DisabledMechanisms
}

// DisabledMechanisms selects mechanisms of the entry to switch off, so that a
// measurement can compare runs with and without them. The zero value leaves all of
// them on.
type DisabledMechanisms struct {
	// SlowDetection is the detection and avoidance of slow targets.
	SlowDetection bool
	// Hedging is the second attempt of an idempotent call whose answer is late.
	Hedging bool
	// RetryBudget is the limit on retries.
	RetryBudget bool
	// LinkBudget is the preference for the local region once the budget of the link
	// between regions is used up.
	LinkBudget bool
}

// The budget of one entry for the link between regions: the sustained rate and
// the burst above it.
const (
	linkBytesPerSecond = 1 << 20
	linkBurstBytes     = 4 << 20
)

func newLimits(disabled DisabledMechanisms) *limits {
	return &limits{
		link: decision.NewLinkBudget(linkBytesPerSecond, linkBurstBytes), disabled: disabled,
		retries:    decision.NewRetryBudget(decision.DefaultRetryRatio, decision.DefaultRetryReserve),
		workspaces: decision.NewWorkspaceLimit(), hedgers: map[string]*decision.Hedger{},
	}
}

// admit counts the request for the retry budget and against the concurrency limit of
// its workspace. It returns an error if that limit is reached. The caller must call
// release when an admitted request ends.
func (l *limits) admit(req *request) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries.Request()
	if l.workspaces.Acquire(req.workspace.Name, req.workspace.MaxConcurrent) {
		return nil
	}
	return result.New(result.WorkspaceLimited, result.RanNo, "the workspace has %d requests in progress", req.workspace.MaxConcurrent).
		RetryAfter(defaultRetryAfter)
}

// release removes an admitted request from the count of its workspace.
func (l *limits) release(req *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces.Release(req.workspace.Name)
}

// takeRetry spends one retry of the budget and reports whether the retry is
// allowed.
func (l *limits) takeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retries.TryRetry() || l.disabled.RetryBudget
}

// spendCrossRegion charges the link budget for bytes sent between regions.
func (l *limits) spendCrossRegion(sizeBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link.Spend(time.Now(), sizeBytes)
	l.crossRegionTotal += int64(sizeBytes)
}

// crossRegionBytes returns the number of bytes to and from other regions since
// the entry started.
func (l *limits) crossRegionBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossRegionTotal
}

// crossRegionAllowed reports whether new work may be sent to another region.
func (l *limits) crossRegionAllowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link.Open(time.Now()) || l.disabled.LinkBudget
}

// withHedger calls f with the service's hedger while holding the lock.
func (l *limits) withHedger(service string, f func(*decision.Hedger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hedgers[service]
	if h == nil {
		h = decision.NewHedger(decision.DefaultHedgeLimits())
		l.hedgers[service] = h
	}
	f(h)
}
