package standin

import "time"

// rateLimiter spaces calls evenly at a maximum rate.
type rateLimiter struct{ nextFree time.Time }

// reserve assigns the next free time to a call that arrives now and returns how long
// the call must wait for it.
func (l *rateLimiter) reserve(perSecond int, now time.Time) time.Duration {
	if perSecond == 0 {
		return 0
	}
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	wait := l.nextFree.Sub(now)
	l.nextFree = l.nextFree.Add(time.Second / time.Duration(perSecond))
	return wait
}

// reserve assigns the next free time to a call of path that arrives now and returns
// how long the call must wait for it. Callers hold the lock.
func (s *Store) reserve(path string, now time.Time) time.Duration {
	switch path {
	case "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke":
		return s.writeLimiter.reserve(s.faults.WritesPerSecond, now)
	case "/v3/kv/range", "/v3/lease/keepalive":
		return s.readLimiter.reserve(s.faults.ReadsPerSecond, now)
	}
	return 0
}

// arrivalCounter counts the calls that arrive, in total and per second, whether
// or not they are answered.
type arrivalCounter struct {
	// second is the Unix time of the latest arrival in seconds; count is the number of
	// arrivals in that second.
	second int64
	count  int
	// peak is the highest number of arrivals in one second.
	peak  int
	total int
}

func (a *arrivalCounter) add(now time.Time) {
	if now.Unix() != a.second {
		a.second, a.count = now.Unix(), 0
	}
	a.count++
	a.total++
	a.peak = max(a.peak, a.count)
}

// Arrivals returns the number of calls that arrived since the last ResetArrivals and
// the highest number in one second. It counts calls whether or not they were answered.
func (s *Store) Arrivals() (total, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals.total, s.arrivals.peak
}

// ResetArrivals sets the counts of Arrivals to zero.
func (s *Store) ResetArrivals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = arrivalCounter{}
}

// leasesExist reports whether every lease exists to which the transaction attaches a
// key if its comparisons succeed. It reports true if a comparison fails.
func (s *Store) leasesExist(req *txnRequest) bool {
	for _, c := range req.Compare {
		if !s.comparisonHolds(c) {
			return true
		}
	}
	for _, op := range req.Success {
		if op.Put == nil || op.Put.Lease == 0 {
			continue
		}
		if _, ok := s.leases[op.Put.Lease]; !ok {
			return false
		}
	}
	return true
}
