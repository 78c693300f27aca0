// Package platformtest holds small stand-ins of the users' platform: its
// metadata store and its workers, as far as the project's tests need them. They
// speak its protocol, so that platform itself holds only translation.
package platformtest

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Faults are the failures that a Store shows.
type Faults struct {
	// Down answers 503, Silent not at all.
	Down   bool
	Silent bool
	// LoseReplies applies writes without answering.
	LoseReplies bool
}

// Store is the metadata store.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	rev     int64
	oldest  int64
	items   map[string]Item
	history []Item
	leases  map[int64]time.Duration
	changed chan struct{}
	faults  Faults
	calls   map[string]int
}

// pageItems is the number of items in a page; small, so that tests see pages.
const pageItems = 5

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{rev: 1, items: map[string]Item{}, leases: map[int64]time.Duration{}, changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	s.server = httptest.NewServer(s.faulty(mux))
	return s
}

// Addr returns the store's "ip:port".
func (s *Store) Addr() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the failures.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key as an operator or a worker does.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
	return s.rev
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.rev
	s.notify()
}

func (s *Store) put(key string, value []byte, lease int64) {
	it := Item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		f := s.faults
		s.mu.Unlock()
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case f.LoseReplies && r.Method == http.MethodPost:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var found []Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	found = found[:min(len(found), pageItems)]
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed, gone := s.since(q.Get("prefix"), after), s.rev, s.changed, after < s.oldest
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []Item{}, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) []Item {
	var out []Item
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []Item   `json:"expected"`
		Puts     []Item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Item
	met := true
	for _, c := range in.Expected {
		it := s.items[c.Key]
		it.Key = c.Key
		current = append(current, it)
		met = met && it.Revision == c.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.leases[s.rev] = time.Duration(in.TTL) * time.Millisecond
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_ms": in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{})
}
