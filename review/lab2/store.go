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

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// serve answers calls on a listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transaction)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.notify()
}

// remove deletes a key for a worker.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
}

// write stores an item at the current revision. The caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

// drop deletes an item at the current revision. The caller holds mu.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": out, "has_more": more, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
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
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	s.revision++
	id := s.revision
	l := &lease{ttl: time.Duration(in.TTL) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(id) })
	s.leases[id] = l
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire(id)
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}
