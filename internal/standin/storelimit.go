package standin

import "time"

// rateLimiter spaces calls evenly at a maximum rate.
type rateLimiter struct{ nextFree time.Time }

// reserve returns how long a call that arrives now must wait.
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

// reserve returns how long a call to path that arrives now must wait. Callers
// hold the lock.
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
	second int64
	count  int
	peak   int
	total  int
}

func (a *arrivalCounter) add(now time.Time) {
	if now.Unix() != a.second {
		a.second, a.count = now.Unix(), 0
	}
	a.count++
	a.total++
	a.peak = max(a.peak, a.count)
}

// Arrivals returns the number of calls that arrived since the last ResetArrivals
// and the peak number in one second, whether or not they were answered.
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

// leasesExist reports whether all leases exist to which the transaction would
// attach keys. It reports true for a transaction whose comparisons fail.
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
