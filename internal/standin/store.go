package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// keyValue is a key with its value and metadata as the etcd API encodes them.
type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

type storeEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

// lease is a lease of etcd: when it expires, the keys attached to it are deleted.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// AbortCalls aborts every API call without a response, open watches included, and closes
	// its connection.
	AbortCalls bool `json:"down"`
	// DelayMillis is added to the duration of each call.
	DelayMillis int64 `json:"delay_ms"`
	// DropReplies is the number of transactions, from the next one on, that are applied
	// but get no response.
	DropReplies int `json:"drop_replies"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; calls over the
	// rate wait. 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// StoreCounts are the numbers of calls that a Store has processed, by kind. Writes
// are transactions; Leases are grants, renewals and revocations.
type StoreCounts struct {
	Reads, Writes, Leases, Watches int64
}

// Store is a key-value store that serves the HTTP/JSON gateway API of etcd v3. It
// is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	revision    int64
	keys        map[string]keyValue
	history     []storeEvent
	leases      map[int64]*lease
	lastLeaseID int64
	// compacted is the last revision whose history is gone.
	compacted           int64
	clusterID, memberID uint64
	// restores counts the restores. A call that began before one is aborted.
	restores int
	// changed is closed and replaced at every change.
	changed      chan struct{}
	faults       StoreFaults
	counts       StoreCounts
	writeLimiter rateLimiter
	readLimiter  rateLimiter
	arrivals     arrivalCounter
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, clusterID: firstClusterID, memberID: firstMemberID,
		keys: map[string]keyValue{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Counts returns the numbers of processed calls.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// notify wakes all watches. Callers hold the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of etcd's JSON gateway API. POST /standin/faults
// replaces the injected faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	mux.HandleFunc("POST /v3/lease/grant", s.handleGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", s.handleKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", s.handleRevoke)
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
	outer := http.NewServeMux()
	outer.Handle("/v3/", s.injectFaults(mux))
	outer.HandleFunc("POST /standin/faults", s.handleFaults)
	return outer
}

// injectFaults returns a handler that injects the configured faults into the calls of
// next, except DropReplies, which handleTxn injects.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		s.mu.Lock()
		f := s.faults
		restores := s.restores
		s.arrivals.add(now)
		wait := s.reserve(r.URL.Path, now)
		s.mu.Unlock()
		if f.AbortCalls {
			abort(w)
		}
		time.Sleep(wait + time.Duration(f.DelayMillis)*time.Millisecond)
		s.mu.Lock()
		isRestored := s.restores != restores
		s.mu.Unlock()
		if isRestored {
			abort(w)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if decodeRequest(w, r, &f) {
		s.SetFaults(f)
	}
}

// decodeRequest decodes a JSON body into v. If it fails, it responds with status
// 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if json.NewDecoder(r.Body).Decode(v) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return false
	}
	return true
}

type header struct {
	ClusterID uint64 `json:"cluster_id,string"`
	MemberID  uint64 `json:"member_id,string"`
	Revision  int64  `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

// serveLocked decodes a request, increments counter, expires leases and responds with
// the result of serve. All but the decoding runs under the store's lock.
func serveLocked[Req any](s *Store, w http.ResponseWriter, r *http.Request, counter *int64, serve func(*Req) any) {
	var req Req
	if !decodeRequest(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	s.expire(time.Now())
	writeJSON(w, serve(&req))
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string"`
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	serveLocked(s, w, r, &s.counts.Reads, func(req *rangeRequest) any { return s.findRange(*req) })
}

// covers reports whether key is in the requested range: equal to Key if RangeEnd is
// empty, otherwise from Key to before RangeEnd, where "\x00" means no end.
func (r *rangeRequest) covers(key string) bool {
	if len(r.RangeEnd) == 0 {
		return key == string(r.Key)
	}
	return key >= string(r.Key) && (key < string(r.RangeEnd) || string(r.RangeEnd) == "\x00")
}

func (s *Store) findRange(req rangeRequest) rangeResponse {
	out := rangeResponse{Header: s.header()}
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
	Value          []byte `json:"value"`
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
	if !decodeRequest(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire(time.Now())
	if !s.leasesExist(&req) {
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

// transact runs the operations of a transaction. All its writes get the same revision.
func (s *Store) transact(req *txnRequest) txnResponse {
	succeeded := true
	for _, c := range req.Compare {
		succeeded = succeeded && s.comparisonHolds(c)
	}
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	out := txnResponse{Succeeded: succeeded}
	if hasWrite(ops) {
		s.revision++
		defer s.notify()
	}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header = s.header()
	return out
}

func hasWrite(ops []txnOp) bool {
	for _, op := range ops {
		if op.Put != nil || op.Delete != nil {
			return true
		}
	}
	return false
}

// comparisonHolds reports whether a comparison of a transaction succeeds. It supports
// only equality of the create or the modification revision, or of the value.
func (s *Store) comparisonHolds(c compare) bool {
	e := s.keys[string(c.Key)]
	switch c.Target {
	case "CREATE":
		return e.CreateRevision == c.CreateRevision
	case "VALUE":
		return e.ModRevision != 0 && bytes.Equal(e.Value, c.Value)
	}
	return e.ModRevision == c.ModRevision
}

func (s *Store) apply(op txnOp) map[string]any {
	switch {
	case op.Put != nil:
		s.put(op.Put)
		return map[string]any{"response_put": map[string]any{}}
	case op.Delete != nil:
		n := s.deleteMatching(func(k string, _ keyValue) bool { return op.Delete.covers(k) })
		return map[string]any{"response_delete_range": map[string]any{"deleted": n}}
	case op.Range != nil:
		return map[string]any{"response_range": s.findRange(*op.Range)}
	}
	return map[string]any{}
}

func (s *Store) put(p *putRequest) {
	e := keyValue{Key: p.Key, Value: p.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: p.Lease}
	if old, ok := s.keys[string(p.Key)]; ok {
		e.CreateRevision = old.CreateRevision
	}
	s.keys[string(p.Key)] = e
	s.history = append(s.history, storeEvent{Type: "PUT", KV: e})
}

// deleteMatching deletes the keys that match and returns their number.
func (s *Store) deleteMatching(match func(string, keyValue) bool) int {
	n := 0
	for k, e := range s.keys {
		if match(k, e) {
			delete(s.keys, k)
			s.history = append(s.history, storeEvent{Type: "DELETE", KV: keyValue{Key: []byte(k), ModRevision: s.revision}})
			n++
		}
	}
	return n
}
