package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	addr    string
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time
	ttl     map[int64]time.Duration
	nextID  int64
	changed chan struct{}
}

func startStore(host string) *store {
	l := listen(host)
	s := &store{addr: l.Addr().String(), rev: 100, items: map[string]item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}, nextID: 5000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	go s.expire()
	return s
}

func listen(host string) net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		quit(2, "listen: %v", err)
	}
	return l
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
	s.notify()
}

func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "has_more": more, "as_of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			var current []item
			for _, e := range in.Expected {
				it := s.items[e.Key]
				it.Key = e.Key
				current = append(current, it)
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.drop(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.ttl[s.nextID] = time.Duration(in.TTL) * time.Millisecond
	s.leases[s.nextID] = time.Now().Add(s.ttl[s.nextID])
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": s.ttl[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// endLease removes a lease and its keys. Callers hold the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for k, it := range s.items {
		if it.Lease == id {
			s.drop(k)
		}
	}
	s.notify()
}

func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.leases {
			if time.Now().After(at) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
