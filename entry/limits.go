package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/result"
)

// limits holds the entry's budgets and throttles. It may be used from any
// goroutine; the lock is held for a few additions.
type limits struct {
	mu        sync.Mutex
	retries   *decision.RetryBudget
	throttles map[throttleKey]*throttle
	hedgers   map[string]*decision.Hedger
	link      *decision.LinkBudget
	off       Mechanisms
}

// Mechanisms names parts of routing that a measurement switches off.
type Mechanisms struct {
	// Slow avoids slow targets, Hedge sends second copies, Throttle refuses at
	// the entry, RetryBudget bounds retries, Link keeps work at home once the
	// link's budget is used up.
	Slow        bool
	Hedge       bool
	Throttle    bool
	RetryBudget bool
	Link        bool
}

// The budget of one entry for the link between regions.
const (
	linkRate  = 1 << 20
	linkBurst = 4 << 20
)

// throttleKey is what a throttle counts for.
type throttleKey struct {
	workspace string
	priority  int
}

// throttle is a Throttle with the delay that targets last suggested.
type throttle struct {
	*decision.Throttle
	retryAfter time.Duration
}

func newLimits(off Mechanisms) *limits {
	return &limits{
		link: decision.NewLinkBudget(linkRate, linkBurst), off: off,
		retries:   decision.NewRetryBudget(decision.DefaultRetryRatio, decision.DefaultRetryReserve),
		throttles: map[throttleKey]*throttle{}, hedgers: map[string]*decision.Hedger{},
	}
}

func (l *limits) throttle(req *request) *throttle {
	key := throttleKey{workspace: req.workspace.Name, priority: req.service.Priority}
	t := l.throttles[key]
	if t == nil {
		t = &throttle{Throttle: decision.NewThrottle(decision.DefaultThrottleLimits()), retryAfter: retryNoTarget}
		l.throttles[key] = t
	}
	return t
}

// pass counts a request. It refuses some of those that targets would refuse.
func (l *limits) pass(req *request) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries.Request()
	t := l.throttle(req)
	if t.Pass(time.Now(), rand.Float64()) || l.off.Throttle {
		return nil
	}
	return result.New(result.WorkspaceLimited, result.RanNo, "targets refuse this workspace's work").RetryAfter(t.retryAfter)
}

// refused takes in a refusal by the targets.
func (l *limits) refused(req *request, e *result.Error) {
	if e.Code != result.Overloaded || req.service == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.throttle(req)
	t.Refuse(time.Now())
	if e.RetryAfterMillis > 0 {
		t.retryAfter = time.Duration(e.RetryAfterMillis) * time.Millisecond
	}
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
