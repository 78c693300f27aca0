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
}

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

func newLimits() *limits {
	return &limits{
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
	if t.Pass(time.Now(), rand.Float64()) {
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
	return l.retries.Take()
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
