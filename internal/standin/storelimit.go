package standin

import "time"

// pacer gives calls their turn at a bounded rate.
type pacer struct{ free time.Time }

// turn returns how long a call that arrives now has to wait.
func (p *pacer) turn(perSecond int, now time.Time) time.Duration {
	if perSecond == 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now)
	p.free = p.free.Add(time.Second / time.Duration(perSecond))
	return wait
}

// turn returns the wait of a call that arrives now. Callers hold the lock.
func (s *Store) turn(path string, now time.Time) time.Duration {
	switch path {
	case "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke":
		return s.writes.turn(s.faults.WritesPerSecond, now)
	case "/v3/kv/range", "/v3/lease/keepalive":
		return s.reads.turn(s.faults.ReadsPerSecond, now)
	}
	return 0
}

// arrivals counts calls by second, answered or not.
type arrivals struct {
	second int64
	count  int
	peak   int
	total  int
}

func (a *arrivals) add(now time.Time) {
	if now.Unix() != a.second {
		a.second, a.count = now.Unix(), 0
	}
	a.count++
	a.total++
	a.peak = max(a.peak, a.count)
}

// Arrivals returns the number of calls that arrived and the most in one second
// since the last ResetArrivals, whether they were answered or not.
func (s *Store) Arrivals() (total, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals.total, s.arrivals.peak
}

// ResetArrivals starts counting again.
func (s *Store) ResetArrivals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = arrivals{}
}

// leasesLive reports whether every lease exists that the transaction would
// write under.
func (s *Store) leasesLive(req *txnRequest) bool {
	for _, c := range req.Compare {
		if !s.compare(c) {
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
