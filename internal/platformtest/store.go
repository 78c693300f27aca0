// Package platformtest provides fakes of the platform's metadata store and of
// its workers. They implement the parts of the platform's protocols that the
// project's tests need, so that package platform contains only translation.
package platformtest

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key-value pair of the store. In the history, it is a write or the
// deletion of a key.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// StoreFaults are the failures that a Store simulates.
type StoreFaults struct {
	// ServiceUnavailable makes the store respond with 503 to every call.
	ServiceUnavailable bool
	// Unresponsive makes the store accept calls and not respond to them.
	Unresponsive bool
	// DropResponses makes the store execute POST calls and close the connection
	// without a response.
	DropResponses bool
	// PauseLeases stops the time of all leases.
	PauseLeases bool
}

// Store is a fake of the metadata store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	revision int64
	// compacted is the revision of the last compaction. Watches that start before
	// it fail.
	compacted int64
	items     map[string]Item
	// history holds the changes since the last compaction.
	history []Item
	leases  map[int64]*lease
	clock   leaseClock
	// changed is closed and replaced when a key, the history or the faults change.
	changed chan struct{}
	faults  StoreFaults
	// era is the number of the store's restore that all responses state, 0 for none.
	era int64
	// calls holds the number of calls to each path.
	calls map[string]int
}

// pageItems is the maximum number of items in a page. It is small, so that
// tests cover listings of several pages.
const pageItems = 5

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]Item{}, leases: map[int64]*lease{}, clock: newLeaseClock(), changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keepAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.revoke)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Addr returns the store's "ip:port".
func (s *Store) Addr() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the simulated failures.
func (s *Store) SetFaults(f StoreFaults) {
	s.lock()
	defer s.mu.Unlock()
	s.faults = f
	s.clock.setPaused(f.PauseLeases, time.Now())
	s.notify()
}

// Calls returns the number of calls to a path, including those that failed.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key, as an operator or a worker does, and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.notify()
}

// SetEra sets the era that all responses state from now on; 0, the default, is not stated.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// StoreCopy is the state of a Store at one time.
type StoreCopy struct {
	revision, compacted int64
	items               map[string]Item
	history             []Item
	leases              map[int64]copiedLease
}

// Copy returns the store's state.
func (s *Store) Copy() *StoreCopy {
	s.lock()
	defer s.mu.Unlock()
	return &StoreCopy{
		revision: s.revision, compacted: s.compacted,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: s.copyLeases(),
	}
}

// Restore replaces the store's state by that of a copy and closes all connections. All
// changes since then are lost, their revisions and leases are given out again. The leases of
// the copy run on with the time that they had left in it. If the responses state an era, it
// rises by one.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	s.revision, s.compacted = c.revision, c.compacted
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.restoreLeases(c.leases)
	if s.era > 0 {
		s.era++
	}
	s.notify()
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Items returns the items under a prefix by key.
func (s *Store) Items(prefix string) map[string]Item {
	s.lock()
	defer s.mu.Unlock()
	out := maps.Clone(s.items)
	maps.DeleteFunc(out, func(key string, _ Item) bool { return !strings.HasPrefix(key, prefix) })
	return out
}

// put writes a key at the current revision. The caller holds s.mu.
func (s *Store) put(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if previous, ok := s.items[key]; ok {
		item.Created = previous.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

// remove deletes a key at the current revision. The caller holds s.mu.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
}

// notify wakes the watches. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		f := s.faults
		s.stateEra(w)
		s.mu.Unlock()
		switch {
		case f.Unresponsive:
			// The server notices the end of the connection once it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case f.ServiceUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case f.DropResponses && r.Method == http.MethodPost:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// stateEra sets the header that states the store's era. The caller holds s.mu.
func (s *Store) stateEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, item)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var matches []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			matches = append(matches, item)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key < matches[j].Key })
	more := len(matches) > pageItems
	matches = matches[:min(len(matches), pageItems)]
	respond(w, http.StatusOK, map[string]any{"items": matches, "has_more": more, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.lock()
		leaseEnd := time.After(s.untilLeaseEnd())
		events, revision, changed, isGone := s.changesAfter(q.Get("prefix"), after), s.revision, s.changed, after < s.compacted || after > s.revision
		s.stateEra(w)
		s.mu.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-leaseEnd:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": []Item{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesAfter(prefix string, after int64) []Item {
	var out []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []Item   `json:"expected"`
		Puts     []Item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	var current []Item
	conditionsHold := true
	for _, c := range body.Expected {
		item := s.items[c.Key]
		item.Key = c.Key
		current = append(current, item)
		conditionsHold = conditionsHold && item.Revision == c.Revision
	}
	if !conditionsHold {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if s.leases[p.Lease] == nil && p.Lease != 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}
