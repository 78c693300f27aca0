package claim

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/platform"
)

// segmentsPerRetention is the number of leases that a process rotates through.
const segmentsPerRetention = 24

// segments hands out the lease under which claims of the present time segment
// are written, so that the store drops a segment's claims together and claims
// need neither renewal nor deletion.
type segments struct {
	store     platform.Store
	retention time.Duration

	mu      sync.Mutex
	current int64
	since   time.Time
}

func newSegments(store platform.Store, retention time.Duration) *segments {
	return &segments{store: store, retention: retention}
}

// lease returns the lease of the present segment. Callers wait while a new one
// is granted.
func (s *segments) lease(ctx context.Context, now time.Time) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	length := s.retention / segmentsPerRetention
	if s.current != 0 && now.Sub(s.since) < length {
		return s.current, nil
	}
	id, err := s.store.Grant(ctx, s.retention+length)
	if err != nil {
		return 0, err
	}
	s.current, s.since = id, now
	return id, nil
}

// forget drops a lease that the store does not know any more.
func (s *segments) forget(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == lease {
		s.current = 0
	}
}
