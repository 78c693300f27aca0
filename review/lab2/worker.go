package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// model is the service of the model workers of a deployment. They copy the memory of requests
// to each other.
type model struct {
	record *record
	mu     sync.Mutex
	byAddr map[string]*worker
	// twice counts the requests that went on at a worker while another one still worked on
	// them 400 ms later.
	twice int
}

// worker is a stand-in for a model worker.
type worker struct {
	id, ip, addr string
	born         int64
	model        *model
	slots, queue int
	// retryAfter is the Retry-After of a rejection, empty for none.
	retryAfter string
	// keeps makes the worker work on when the connection of a request closes. Most workers drop it.
	keeps bool
	// dropIdle is how long a connection may be idle before the worker drops it, 0 for no limit.
	dropIdle time.Duration

	mu       sync.Mutex
	runs     map[string]*run
	admitted int
	// copies holds the memory of requests that this worker keeps, by the value of Kv-From.
	copies   map[string]bool
	moves    int
	rejected int
	heldTill time.Time
	// leavesAt is when the worker, which has said that it drains, ends; zero for a ready one.
	leavesAt time.Time
	server   *http.Server
	gone     chan struct{}
}

// run is the work of a worker on one request.
type run struct {
	id     string
	events int
	long   bool
	backup string
	stop   chan struct{}
	once   sync.Once
	ended  chan struct{}
}

func newModel(r *record) *model { return &model{record: r, byAddr: map[string]*worker{}} }

func (m *model) add(id, addr string, slots, queue int) *worker {
	ip, _, _ := net.SplitHostPort(addr)
	w := &worker{id: id, ip: ip, addr: addr, born: time.Now().UnixMilli(), model: m, slots: slots, queue: queue, runs: map[string]*run{}, copies: map[string]bool{}, gone: make(chan struct{})}
	m.mu.Lock()
	m.byAddr[addr] = w
	m.mu.Unlock()
	return w
}

func (m *model) all() []*worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*worker
	for _, w := range m.byAddr {
		out = append(out, w)
	}
	return out
}

func (m *model) at(addr string) *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byAddr[addr]
}

// entry is what the worker writes to the store.
func (w *worker) entry(service, zone string, seq int) map[string]any {
	return map[string]any{
		"service": service, "address": w.addr, "zone": zone, "version": "v1", "slots": w.slots, "state": w.state(),
		"cold_remaining_ms": 0, "seq_no": seq, "born": w.born,
	}
}

func (w *worker) state() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavesAt.IsZero() {
		return "ready"
	}
	return "draining"
}

func (w *worker) serve(l net.Listener) {
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ConnState: func(c net.Conn, state http.ConnState) {
		idle := int64(0)
		if state == http.StateIdle {
			idle = time.Now().UnixNano()
		}
		c.(*workerConn).idleSince.Store(idle)
	}}
	go func() { _ = w.server.Serve(&workerListener{Listener: l, w: w}) }()
}

// workerListener accepts the connections of a worker.
type workerListener struct {
	net.Listener
	w *worker
}

func (l *workerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &workerConn{Conn: c, w: l.w}, nil
}

// workerConn is a connection to a worker. One that has been idle for longer than the worker's
// dropIdle has been dropped without notice: what is sent next on it is reset.
type workerConn struct {
	net.Conn
	w         *worker
	idleSince atomic.Int64
}

func (c *workerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	since := c.idleSince.Load()
	if n == 0 || since == 0 || c.w.dropIdle == 0 || time.Since(time.Unix(0, since)) < c.w.dropIdle {
		return n, err
	}
	line, _, _ := strings.Cut(string(p[:n]), "\r\n")
	c.w.model.record.add("%s resets a connection that it had dropped after it was idle for %v; sent on it: %s", c.w.id, c.w.dropIdle, line)
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
	return 0, net.ErrClosed
}

// leave makes the worker say that it drains, and ends it after a time in which it serves on.
func (w *worker) leave(after time.Duration) {
	w.mu.Lock()
	w.leavesAt = time.Now().Add(after)
	w.mu.Unlock()
	w.model.record.add("%s says that it drains, and ends in %v", w.id, after)
	time.AfterFunc(after, func() {
		w.model.record.add("%s ends", w.id)
		close(w.gone)
		_ = w.server.Close()
	})
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		w.report(rw)
	case r.URL.Path == "/healthz":
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Server-Load", w.load())
	case r.URL.Path == "/v1/kv-move":
		w.move(rw, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		w.free(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
	default:
		w.request(rw, r)
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(w.admitted, w.slots), max(w.admitted-w.slots, 0), w.slots)
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := [][]any{}
	for _, r := range w.runs {
		runs = append(runs, []any{r.id, 1000, r.events, 5})
	}
	report := map[string]any{
		"stage": "colocated", "models": []any{}, "busy": false, "seq_no": 1, "queued": max(w.admitted-w.slots, 0), "running": min(w.admitted, w.slots),
		"kv_used": 1000 * len(runs), "kv_total": 34377, "handles": len(w.copies), "state": "ready", "runs": runs, "born": w.born,
	}
	if !w.leavesAt.IsZero() {
		report["state"], report["leaves_ms"] = "draining", time.Until(w.leavesAt).Milliseconds()
	}
	answer(rw, http.StatusOK, report)
}

// move serves /v1/kv-move.
func (w *worker) move(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	work := w.runs[in.ID]
	w.moves++
	handle := fmt.Sprintf("m%d-%s", w.moves, in.ID)
	w.mu.Unlock()
	w.model.record.add("%s gets kv-move for %s, last=%v, runs it: %v", w.id, in.ID, in.Last, work != nil)
	if work == nil {
		answer(rw, http.StatusNotFound, struct{}{})
		return
	}
	if in.Last {
		work.once.Do(func() { close(work.stop) })
		<-work.ended
		w.keep(w.addr + "/" + handle)
	}
	to := w.model.at(in.Target)
	if to == nil {
		answer(rw, http.StatusServiceUnavailable, map[string]any{"handle": handle})
		return
	}
	to.keep(w.addr + "/" + handle)
	answer(rw, http.StatusOK, map[string]any{"handle": handle, "created_rev": work.events})
}

// heldFor returns how long the worker, which has rejected a request, still wants none.
func (w *worker) heldFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.heldTill)
}

// streams returns the number of long streams that the worker runs and that have a backup.
func (w *worker) streams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, work := range w.runs {
		if work.long && work.backup != "" {
			n++
		}
	}
	return n
}

func (w *worker) keep(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies[name] = true
}

func (w *worker) free(handle string) {
	for _, other := range w.model.all() {
		other.mu.Lock()
		delete(other.copies, w.addr+"/"+handle)
		other.mu.Unlock()
	}
}

// reject says that the worker does not run a request.
func (w *worker) reject(rw http.ResponseWriter, id string, why string) {
	rw.Header().Set("X-Not-Executed", "1")
	if w.retryAfter != "" && why == "full" {
		rw.Header().Set("Retry-After", w.retryAfter)
		seconds, _ := strconv.ParseFloat(w.retryAfter, 64)
		w.mu.Lock()
		w.rejected++
		w.heldTill = time.Now().Add(time.Duration(seconds * float64(time.Second)))
		w.mu.Unlock()
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
	w.model.record.add("%s rejects %s with 503, X-Not-Executed, Retry-After %q: %s", w.id, id, rw.Header().Get("Retry-After"), why)
}

// request serves a client's request.
func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Server-Load", w.load())
	if w.state() == "draining" {
		rw.Header().Set("Server-Leaving", "1")
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := 0
	source := r.Header.Get("Kv-From")
	w.mu.Lock()
	if source != "" {
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil || !w.copies[source] {
			w.mu.Unlock()
			w.reject(rw, id, "no copy "+source)
			return
		}
		delete(w.copies, source)
		from = last + 1
	} else if w.admitted >= w.slots+w.queue {
		w.mu.Unlock()
		w.reject(rw, id, "full")
		return
	}
	w.admitted++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.admitted--
		w.mu.Unlock()
	}()
	w.run(rw, r, id, from, source)
}

// Times of a run. An event holds four tokens.
const (
	firstEventTime = 150 * time.Millisecond
	eventTime      = 50 * time.Millisecond
	eventTokens    = 4
)

func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string, from int, source string) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	total := tokens / eventTokens
	work := &run{id: id, events: from, long: total > 16, backup: r.Header.Get("X-Kv-Backup"), stop: make(chan struct{}), ended: make(chan struct{})}
	w.mu.Lock()
	w.runs[id] = work
	w.mu.Unlock()
	w.model.record.add("%s runs %s from event %d, Kv-From %q, backup %q", w.id, id, from, source, work.backup)
	if source != "" {
		w.model.watch(w, id)
	}
	reason := w.generate(rw, r, work, total)
	w.mu.Lock()
	if w.runs[id] == work {
		delete(w.runs, id)
	}
	events := work.events
	w.mu.Unlock()
	close(work.ended)
	w.model.record.add("%s ends its run of %s after event %d: %s", w.id, id, events-1, reason)
	if to := w.model.at(work.backup); to != nil && reason == "complete" {
		to.mu.Lock()
		delete(to.copies, to.addr+"/"+id)
		to.mu.Unlock()
	}
	if reason != "complete" {
		// The stream is closed without its end.
		panic(http.ErrAbortHandler)
	}
}

// generate makes the events of a run and sends them. It returns why the run has ended.
func (w *worker) generate(rw http.ResponseWriter, r *http.Request, work *run, total int) string {
	rw.Header().Set("X-Response-Signature", "s-"+w.id+"-"+work.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	sends := true
	closed := r.Context().Done()
	timer := time.NewTimer(firstEventTime)
	defer timer.Stop()
	for work.events < total {
		select {
		case <-timer.C:
			timer.Reset(eventTime)
		case <-work.stop:
			return "stopped by kv-move"
		case <-closed:
			if !w.keeps {
				return "its connection has closed"
			}
			closed, sends = nil, false
			w.model.record.add("%s works on at %s, whose connection has closed", w.id, work.id)
			continue
		case <-w.gone:
			return "the worker has ended"
		}
		w.mu.Lock()
		k := work.events
		work.events++
		w.mu.Unlock()
		if sends {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: token %d of %s\n\n", k, k, work.id)
			_ = http.NewResponseController(rw).Flush()
		}
		if to := w.model.at(work.backup); to != nil {
			to.keep(to.addr + "/" + work.id)
		}
	}
	return "complete"
}

// watch checks whether a request that goes on at a worker still runs at another one 400 ms later.
func (m *model) watch(at *worker, id string) {
	for _, other := range m.all() {
		other.mu.Lock()
		before := other.runs[id]
		other.mu.Unlock()
		if other == at || before == nil {
			continue
		}
		m.record.add("%s goes on at %s while %s still works on it", id, at.id, other.id)
		go func() {
			select {
			case <-before.ended:
				m.record.add("%s had ended at %s within 400 ms", id, other.id)
			case <-time.After(400 * time.Millisecond):
				m.mu.Lock()
				m.twice++
				m.mu.Unlock()
				m.record.add("TWICE: 400 ms after %s went on at %s, %s still works on it", id, at.id, other.id)
			}
		}()
	}
}
