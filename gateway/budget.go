package gateway

import (
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	// ratio is the number of retries allowed for each client request within
	// window.
	ratio float64
	// reserve is the number of retries for each service that all gateways
	// together may make beyond the ratio within window. memberCount returns the number of
	// gateways including this one, 0 if unknown.
	reserve     float64
	window      time.Duration
	memberCount func() int
	mu          sync.Mutex
	byService   map[string]*decision.WindowBudget
}

// Division of the reserve among the gateways.
const (
	// reserveFraction is the fraction of the reserve that the known gateways
	// divide among themselves. The rest is for gateways that join or restart
	// with an unused budget.
	reserveFraction = 0.8
	// assumedMembers is the number of gateways that is assumed if no other
	// gateway is known.
	assumedMembers = 10
)

// reserveShare returns this gateway's share of the reserve.
func (b *retryBudgets) reserveShare() float64 {
	members := b.memberCount()
	if members <= 1 {
		members = assumedMembers
	}
	return reserveFraction * b.reserve / float64(members)
}

func (b *retryBudgets) serviceBudget(service string) *decision.WindowBudget {
	if b.byService == nil {
		b.byService = map[string]*decision.WindowBudget{}
	}
	budget := b.byService[service]
	if budget == nil {
		budget = decision.NewWindowBudget(b.ratio, b.window)
		b.byService[service] = budget
	}
	return budget
}

// countRequest adds a client request to the budget of its service.
func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceBudget(service).Request(time.Now())
}

// spendRetry takes one retry from the budget of a service and reports whether
// the budget allowed it.
func (b *retryBudgets) spendRetry(service string) bool {
	reserve := b.reserveShare()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceBudget(service).TryRetry(time.Now(), reserve)
}
