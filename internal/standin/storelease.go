package standin

import (
	"net/http"
	"time"
)

// expire ends the leases that have expired and deletes their keys. Callers hold
// the lock.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	s.deleteMatching(func(_ string, e keyValue) bool { return e.Lease == id })
	s.notify()
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	leaseMessage
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	serveLocked(s, w, r, &s.counts.Leases, func(req *leaseMessage) any {
		s.lastLeaseID++
		ttl := time.Duration(req.TTL) * time.Second
		s.leases[s.lastLeaseID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return leaseResponse{s.header(), leaseMessage{ID: s.lastLeaseID, TTL: req.TTL}}
	})
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	serveLocked(s, w, r, &s.counts.Leases, func(req *leaseMessage) any {
		out := leaseResponse{s.header(), leaseMessage{ID: req.ID}}
		if l, ok := s.leases[req.ID]; ok {
			l.expires = time.Now().Add(l.ttl)
			out.TTL = int64(l.ttl / time.Second)
		}
		return map[string]any{"result": out}
	})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	serveLocked(s, w, r, &s.counts.Leases, func(req *leaseMessage) any {
		if _, ok := s.leases[req.ID]; ok {
			s.endLease(req.ID)
		}
		return leaseResponse{Header: s.header()}
	})
}
