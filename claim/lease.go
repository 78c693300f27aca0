package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// leasesPerRetention is the number of leases that a process obtains from the store
// during one retention time.
const leasesPerRetention = 24

// leaseRotation provides the lease for new claims and replaces it at a fixed
// period. All claims of one period share a lease, so the store deletes them
// together and claims need neither renewal nor explicit deletion.
type leaseRotation struct {
	store     kvstore.Store
	retention time.Duration

	mu        sync.Mutex
	leaseID   int64
	grantedAt time.Time
	// era is that of the store in which the lease was granted.
	era int64
	// failures counts consecutive failed grants. Until notBefore, callers get
	// lastErr without another grant.
	failures  int
	notBefore time.Time
	lastErr   error
}

func newLeaseRotation(store kvstore.Store, retention time.Duration) *leaseRotation {
	return &leaseRotation{store: store, retention: retention}
}

// current returns the lease for a claim that is written now. Callers wait while
// a new lease is granted. After a failed grant they get its error until the
// backoff has passed.
func (l *leaseRotation) current(ctx context.Context, now time.Time) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := l.retention / leasesPerRetention
	era := l.store.Era()
	if l.leaseID != 0 && l.era == era && now.Sub(l.grantedAt) < period {
		return l.leaseID, nil
	}
	if now.Before(l.notBefore) {
		return 0, l.lastErr
	}
	id, err := l.store.Grant(ctx, l.retention+period)
	if err != nil {
		l.failures++
		l.lastErr = err
		l.notBefore = time.Now().Add(minRetryDelay + kvstore.Backoff(l.failures, minRetryDelay, maxRetryDelay, rand.Float64()))
		return 0, err
	}
	l.leaseID, l.grantedAt, l.era, l.failures = id, now, era, 0
	return id, nil
}

// discard stops the use of a lease that the store no longer has.
func (l *leaseRotation) discard(leaseID int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseID == leaseID {
		l.leaseID = 0
	}
}
