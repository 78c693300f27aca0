package platformtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lease is a lease of the store: when it ends, the keys attached to it are deleted. expires
// is a time of the store's leaseClock.
type lease struct{ ttl, expires time.Duration }

// copiedLease is a lease as a copy of the store holds it, with the time that it has left.
type copiedLease struct{ ttl, left time.Duration }

// leaseClock is the time by which leases run. It can be paused.
type leaseClock struct {
	start    time.Time
	paused   time.Duration
	pausedAt time.Time
}

func newLeaseClock() leaseClock { return leaseClock{start: time.Now()} }

func (c *leaseClock) at(now time.Time) time.Duration {
	if !c.pausedAt.IsZero() {
		now = c.pausedAt
	}
	return now.Sub(c.start) - c.paused
}

func (c *leaseClock) setPaused(paused bool, now time.Time) {
	switch {
	case paused && c.pausedAt.IsZero():
		c.pausedAt = now
	case !paused && !c.pausedAt.IsZero():
		c.paused += now.Sub(c.pausedAt)
		c.pausedAt = time.Time{}
	}
}

// lock locks s.mu and ends the leases whose time is over.
func (s *Store) lock() {
	s.mu.Lock()
	now := s.clock.at(time.Now())
	for id, l := range s.leases {
		if now >= l.expires {
			s.endLease(id)
		}
	}
}

// untilLeaseEnd returns the time until the next lease ends unless it is renewed, at most an
// hour. The caller holds s.mu.
func (s *Store) untilLeaseEnd() time.Duration {
	left, now := time.Hour, s.clock.at(time.Now())
	for _, l := range s.leases {
		left = min(left, l.expires-now)
	}
	return left
}

// endLease ends a lease and deletes its keys. The caller holds s.mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// grantLease returns the ID of a new lease. The caller holds s.mu.
func (s *Store) grantLease(ttl time.Duration) int64 {
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expires: s.clock.at(time.Now()) + ttl}
	s.notify()
	return s.revision
}

// renewLease begins the time of a lease again and returns it, or 0 if there is no such lease.
// The caller holds s.mu.
func (s *Store) renewLease(id int64) time.Duration {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expires = s.clock.at(time.Now()) + l.ttl
	return l.ttl
}

// PutForTime writes a key as a worker does that writes it again and again: the key is deleted
// once that time has passed without another write.
func (s *Store) PutForTime(key string, value []byte, ttl time.Duration) {
	s.lock()
	defer s.mu.Unlock()
	id := s.items[key].Lease
	if s.renewLease(id) == 0 {
		id = s.grantLease(ttl)
	}
	s.revision++
	s.put(key, value, id)
	s.notify()
}

// HasLease reports whether a lease exists.
func (s *Store) HasLease(id int64) bool {
	s.lock()
	defer s.mu.Unlock()
	return s.leases[id] != nil
}

// copyLeases returns the leases for a copy. The caller holds s.mu.
func (s *Store) copyLeases() map[int64]copiedLease {
	out, now := map[int64]copiedLease{}, s.clock.at(time.Now())
	for id, l := range s.leases {
		out[id] = copiedLease{ttl: l.ttl, left: l.expires - now}
	}
	return out
}

// restoreLeases replaces the leases by those of a copy. The caller holds s.mu.
func (s *Store) restoreLeases(copied map[int64]copiedLease) {
	now := s.clock.at(time.Now())
	s.leases = map[int64]*lease{}
	for id, l := range copied {
		s.leases[id] = &lease{ttl: l.ttl, expires: now + l.left}
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	id := s.grantLease(time.Duration(body.TTL) * time.Millisecond)
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	ttl := s.renewLease(id)
	if ttl == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	s.endLease(id)
	respond(w, http.StatusOK, map[string]any{})
}
