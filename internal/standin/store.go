package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

type entry struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

type storeEvent struct {
	Type string `json:"type"`
	KV   entry  `json:"kv"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StoreFaults are the failures that a Store shows.
type StoreFaults struct {
	// Down resets every connection.
	Down bool `json:"down"`
	// Delay is added to each call, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// DropReplies is the number of writes to apply without answering.
	DropReplies int `json:"drop_replies"`
	// WritesPerSecond and ReadsPerSecond make calls wait their turn, 0 for no
	// limit.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// StoreCounts counts the calls that reached a Store.
type StoreCounts struct {
	Reads, Writes, Leases, Watches int64
}

// Store is a key-value store that speaks the HTTP/JSON gateway of etcd v3.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]entry
	history  []storeEvent
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	faults   StoreFaults
	counts   StoreCounts
	writes   pacer
	reads    pacer
	arrivals arrivals
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, keys: map[string]entry{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// SetFaults replaces the failures that the store shows.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Counts returns the number of calls served.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the gateway.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	mux.HandleFunc("POST /v3/lease/grant", s.handleGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", s.handleKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", s.handleRevoke)
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
	outer := http.NewServeMux()
	outer.Handle("/v3/", s.faulty(mux))
	outer.HandleFunc("POST /standin/faults", s.handleFaults)
	return outer
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		s.mu.Lock()
		f := s.faults
		s.arrivals.add(now)
		wait := s.turn(r.URL.Path, now)
		s.mu.Unlock()
		if f.Down {
			abort(w)
		}
		time.Sleep(wait + time.Duration(f.DelayMillis)*time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if read(w, r, &f) {
		s.SetFaults(f)
	}
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if json.NewDecoder(r.Body).Decode(v) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return false
	}
	return true
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

// locked answers a request with the result of serve, which runs under the
// store's lock after leases have expired. count is the counter of the call.
func locked[Req any](s *Store, w http.ResponseWriter, r *http.Request, count *int64, serve func(*Req) any) {
	var req Req
	if !read(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	s.expire(time.Now())
	writeJSON(w, serve(&req))
}

type rangeResponse struct {
	Header header  `json:"header"`
	KVs    []entry `json:"kvs,omitempty"`
	Count  int64   `json:"count,string"`
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	locked(s, w, r, &s.counts.Reads, func(req *rangeRequest) any { return s.find(*req) })
}

func (r *rangeRequest) covers(key string) bool {
	if len(r.RangeEnd) == 0 {
		return key == string(r.Key)
	}
	return key >= string(r.Key) && (key < string(r.RangeEnd) || string(r.RangeEnd) == "\x00")
}

func (s *Store) find(req rangeRequest) rangeResponse {
	out := rangeResponse{Header: header{s.revision}}
	for k, e := range s.keys {
		if req.covers(k) {
			out.KVs = append(out.KVs, e)
		}
	}
	sort.Slice(out.KVs, func(i, j int) bool { return string(out.KVs[i].Key) < string(out.KVs[j].Key) })
	out.Count = int64(len(out.KVs))
	return out
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type txnOp struct {
	Put    *putRequest   `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
	Range  *rangeRequest `json:"request_range"`
}

type txnRequest struct {
	Compare []compare `json:"compare"`
	Success []txnOp   `json:"success"`
	Failure []txnOp   `json:"failure"`
}

type txnResponse struct {
	Header    header           `json:"header"`
	Succeeded bool             `json:"succeeded"`
	Responses []map[string]any `json:"responses"`
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !read(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire(time.Now())
	if !s.leasesLive(&req) {
		http.Error(w, "requested lease not found", http.StatusNotFound)
		return
	}
	out := s.transact(&req)
	if s.faults.DropReplies > 0 {
		s.faults.DropReplies--
		abort(w)
	}
	writeJSON(w, out)
}

func (s *Store) transact(req *txnRequest) txnResponse {
	holds := true
	for _, c := range req.Compare {
		holds = holds && s.compare(c)
	}
	ops := req.Failure
	if holds {
		ops = req.Success
	}
	out := txnResponse{Succeeded: holds}
	if writes(ops) {
		s.revision++
		defer s.notify()
	}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header.Revision = s.revision
	return out
}

func writes(ops []txnOp) bool {
	for _, op := range ops {
		if op.Put != nil || op.Delete != nil {
			return true
		}
	}
	return false
}

func (s *Store) compare(c compare) bool {
	e := s.keys[string(c.Key)]
	if c.Target == "CREATE" {
		return e.CreateRevision == c.CreateRevision
	}
	return e.ModRevision == c.ModRevision
}

func (s *Store) apply(op txnOp) map[string]any {
	switch {
	case op.Put != nil:
		s.put(op.Put)
		return map[string]any{"response_put": map[string]any{}}
	case op.Delete != nil:
		n := s.remove(func(k string, _ entry) bool { return op.Delete.covers(k) })
		return map[string]any{"response_delete_range": map[string]any{"deleted": n}}
	case op.Range != nil:
		return map[string]any{"response_range": s.find(*op.Range)}
	}
	return map[string]any{}
}

func (s *Store) put(p *putRequest) {
	e := entry{Key: p.Key, Value: p.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: p.Lease}
	if old, ok := s.keys[string(p.Key)]; ok {
		e.CreateRevision = old.CreateRevision
	}
	s.keys[string(p.Key)] = e
	s.history = append(s.history, storeEvent{Type: "PUT", KV: e})
}

func (s *Store) remove(match func(string, entry) bool) int {
	n := 0
	for k, e := range s.keys {
		if match(k, e) {
			delete(s.keys, k)
			s.history = append(s.history, storeEvent{Type: "DELETE", KV: entry{Key: []byte(k), ModRevision: s.revision}})
			n++
		}
	}
	return n
}
