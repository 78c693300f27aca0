package entry

import (
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/result"
)

// limits holds the entry's budgets and limits. It may be used from any
// goroutine; the lock is held for a few additions.
type limits struct {
	mu         sync.Mutex
	retries    *decision.RetryBudget
	workspaces *decision.WorkspaceLimit
	hedgers    map[string]*decision.Hedger
	link       *decision.LinkBudget
	// crossed counts the bytes to and from other regions since the start.
	crossed int64
	off     Mechanisms
}

// Mechanisms names parts of routing that a measurement switches off.
type Mechanisms struct {
	// Slow avoids slow targets, Hedge sends second copies, RetryBudget bounds
	// retries, Link keeps work at home once the link's budget is used up.
	Slow        bool
	Hedge       bool
	RetryBudget bool
	Link        bool
}

// The budget of one entry for the link between regions.
const (
	linkRate  = 1 << 20
	linkBurst = 4 << 20
)

func newLimits(off Mechanisms) *limits {
	return &limits{
		link: decision.NewLinkBudget(linkRate, linkBurst), off: off,
		retries:    decision.NewRetryBudget(decision.DefaultRetryRatio, decision.DefaultRetryReserve),
		workspaces: decision.NewWorkspaceLimit(), hedgers: map[string]*decision.Hedger{},
	}
}

// enter counts a request in. The caller of a request that entered calls leave
// at its end.
func (l *limits) enter(req *request) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries.Request()
	if l.workspaces.Enter(req.workspace.Name, req.workspace.MaxConcurrent) {
		return nil
	}
	return result.New(result.WorkspaceLimited, result.RanNo, "the workspace has %d requests in progress", req.workspace.MaxConcurrent).
		RetryAfter(retryNoTarget)
}

func (l *limits) leave(req *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces.Leave(req.workspace.Name)
}

// mayRetry spends a retry of the budget.
func (l *limits) mayRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retries.Take() || l.off.RetryBudget
}

// cross counts bytes that were sent between regions.
func (l *limits) cross(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link.Spend(time.Now(), bytes)
	l.crossed += int64(bytes)
}

// crossedBytes returns the bytes to and from other regions since the start.
func (l *limits) crossedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossed
}

// mayCross reports whether new work may go to another region.
func (l *limits) mayCross() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link.Open(time.Now()) || l.off.Link
}

// hedge runs f on the service's hedger.
func (l *limits) hedge(service string, f func(*decision.Hedger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hedgers[service]
	if h == nil {
		h = decision.NewHedger(decision.DefaultHedgeLimits())
		l.hedgers[service] = h
	}
	f(h)
}
