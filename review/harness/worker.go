package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	worker   string
	id       string
	first    int
	started  time.Time
	ended    time.Time
	complete bool
	closed   time.Time // when the worker noticed that its caller had closed the connection
}

// fleet holds the workers and what they ran.
type fleet struct {
	mu     sync.Mutex
	runs   []*run
	byAddr map[string]*worker
}

// worker is a stand-in of a worker, with or without an engine.
type worker struct {
	f        *fleet
	id       string
	addr     string
	zone     string
	service  string
	born     int64
	listener net.Listener

	// prefill is the time to the first event, interval that between events, events their
	// number. work is the time of a call.
	prefill, interval time.Duration
	events            int
	work              time.Duration
	// keepsRunning is set for a worker that does not drop a request when its connection
	// closes.
	keepsRunning bool

	mu      sync.Mutex
	state   string
	copies  map[string]int // events in the copies that lie here, by handle
	running map[string]*run
	dead    chan struct{}
}

func (f *fleet) start(s *store, id, host, service, zone string) *worker {
	l := listen(host)
	w := &worker{
		f: f, id: id, addr: l.Addr().String(), zone: zone, service: service, born: time.Now().UnixMilli(), listener: l,
		prefill: 300 * time.Millisecond, interval: 100 * time.Millisecond, events: 60, work: 100 * time.Millisecond,
		state: "ready", copies: map[string]int{}, running: map[string]*run{}, dead: make(chan struct{}),
	}
	f.mu.Lock()
	if f.byAddr == nil {
		f.byAddr = map[string]*worker{}
	}
	f.byAddr[w.addr] = w
	f.mu.Unlock()
	w.publish(s)
	go w.serve()
	return w
}

// publish writes the worker's entry.
func (w *worker) publish(s *store) {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	s.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 24,
		"state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": w.born,
	})
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

func (w *worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

func (w *worker) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		select {
		case <-w.dead:
			return
		default:
		}
		if !w.handle(c, r, req, body) {
			return
		}
	}
}

func answer(c net.Conn, status int, header string, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

func (w *worker) handle(c net.Conn, r *bufio.Reader, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Request-Id")
	switch {
	case req.URL.Path == "/v1/report":
		w.mu.Lock()
		n, state := len(w.running), w.state
		w.mu.Unlock()
		report := map[string]any{"stage": "colocated", "busy": false, "seq_no": 0, "queued": 0, "running": n, "kv_used": n * 500, "kv_total": 34377, "handles": 0, "born": w.born}
		if state == "draining" {
			report["state"] = "draining"
		}
		data, _ := json.Marshal(report)
		return answer(c, 200, "Content-Type: application/json\r\n", string(data))
	case req.URL.Path == "/healthz":
		return answer(c, 200, "X-Instance-Id: "+w.id+"\r\nX-Server-Load: 0,0,24,100\r\n", "")
	case req.URL.Path == "/v1/kv-move":
		return w.move(c, body)
	case strings.HasPrefix(req.URL.Path, "/v1/"):
		return answer(c, 200, "", "{}")
	case req.Header.Get("X-Expect-Instance") != w.id:
		return answer(c, 421, "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\nX-Instance-Id: "+w.id+"\r\n", "")
	}
	if w.service == "kalamu" {
		return w.stream(c, r, req, id)
	}
	return w.call(c, id)
}

func (w *worker) begin(id string, first int) *run {
	n := &run{worker: w.id, id: id, first: first, started: time.Now()}
	w.f.mu.Lock()
	w.f.runs = append(w.f.runs, n)
	w.f.mu.Unlock()
	w.mu.Lock()
	w.running[id] = n
	w.mu.Unlock()
	note("worker %s runs %s from event %d", w.id, id, first)
	return n
}

func (w *worker) finish(n *run, complete bool) {
	w.f.mu.Lock()
	n.ended, n.complete = time.Now(), complete
	w.f.mu.Unlock()
	w.mu.Lock()
	delete(w.running, n.id)
	w.mu.Unlock()
	note("worker %s ends its run of %s, complete %v", w.id, n.id, complete)
}

func (w *worker) call(c net.Conn, id string) bool {
	n := w.begin(id, 0)
	time.Sleep(w.work)
	w.finish(n, true)
	return answer(c, 200, "X-Request-Id: "+id+"\r\nX-Response-Signature: s."+w.id+"."+id+"\r\nX-Server-Load: 1,0,6,100\r\n", "done "+id)
}

// move copies the memory of a run to another worker.
func (w *worker) move(c net.Conn, body []byte) bool {
	var in struct {
		ID, Target string
	}
	_ = json.Unmarshal(body, &in)
	w.mu.Lock()
	n := w.running[in.ID]
	w.mu.Unlock()
	w.f.mu.Lock()
	to := w.f.byAddr[in.Target]
	w.f.mu.Unlock()
	if n == nil || to == nil {
		return answer(c, 404, "", "{}")
	}
	time.Sleep(100 * time.Millisecond)
	handle := "h-" + in.ID
	made := w.made(n)
	to.mu.Lock()
	to.copies[w.addr+"/"+handle] = made
	to.mu.Unlock()
	note("worker %s has copied %s to %s after %d events", w.id, in.ID, to.id, made)
	return answer(c, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"handle":%q,"created_rev":%d}`, handle, made))
}

// made returns the number of events that a run has generated.
func (w *worker) made(n *run) int {
	since := time.Since(n.started) - w.prefill
	if n.first > 0 {
		since = time.Since(n.started)
	}
	return n.first + max(int(since/w.interval), 0)
}

func (w *worker) stream(c net.Conn, r *bufio.Reader, req *http.Request, id string) bool {
	first := 0
	if from := req.Header.Get("Kv-From"); from != "" {
		w.mu.Lock()
		_, ok := w.copies[from]
		delete(w.copies, from)
		w.mu.Unlock()
		if !ok {
			note("worker %s has no copy %s", w.id, from)
			return answer(c, 503, "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n", "")
		}
		first, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
	}
	w.f.mu.Lock()
	backup := w.f.byAddr[req.Header.Get("X-Kv-Backup")]
	w.f.mu.Unlock()
	n := w.begin(id, first)
	closed := make(chan struct{})
	go func() {
		_, _ = r.Peek(1)
		w.f.mu.Lock()
		n.closed = time.Now()
		w.f.mu.Unlock()
		close(closed)
	}()
	if !w.keepsRunning {
		defer c.Close()
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Signature: s.%s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id, id)
	if first == 0 {
		time.Sleep(w.prefill)
	}
	for e := first + 1; e <= w.events; e++ {
		select {
		case <-w.dead:
			w.finish(n, false)
			return false
		case <-closed:
			if !w.keepsRunning {
				w.finish(n, false)
				return false
			}
		case <-time.After(w.interval):
		}
		if w.keepsRunning {
			select {
			case <-closed:
				time.Sleep(w.interval)
			default:
			}
		}
		text := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", e, id, e, w.events)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		if backup != nil {
			backup.mu.Lock()
			backup.copies[backup.addr+"/"+id] = e
			backup.mu.Unlock()
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	w.finish(n, true)
	return false
}

// stop ends the worker as its process would: its connections close.
func (w *worker) stop() {
	close(w.dead)
	w.listener.Close()
}
