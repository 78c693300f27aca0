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

// item is a key of the store, or in the history also its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its time to live and the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. It is always sound.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

// startStore serves a store on an address of the loopback interface.
func startStore(addr string) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s
}

// expire ends the leases whose time has run out.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// write writes a key, as a worker or the operator does.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// drop removes a key, as the store does when a worker is silent.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// put writes a key at the next revision. The caller holds s.mu.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.log(it)
}

// remove deletes a key at the next revision. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log(item{Key: key, Revision: s.revision, Deleted: true})
}

// log adds a change to the history and wakes the watches. The caller holds s.mu.
func (s *store) log(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "as_of": s.revision})
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
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, c := range in.Expected {
		it := s.items[c.Key]
		it.Key = c.Key
		current = append(current, it)
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
