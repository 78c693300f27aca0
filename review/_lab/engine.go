package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines.
const (
	engineSlots   = 24
	engineKV      = 34377
	eventTokens   = 4
	eventInterval = 100 * time.Millisecond
	promptTime    = 200 * time.Millisecond
)

// engineSet holds the engines of a case and the copies of requests' memory.
type engineSet struct {
	l       *lab
	service string

	mu      sync.Mutex
	engines []*engine
	// copies maps the address of the engine that knows a copy and its handle to the copy.
	copies map[string]*kvCopy
	runs   []*run
}

// kvCopy is a copy of a run's memory at an engine.
type kvCopy struct {
	run    *run
	holder *engine
	source *engine
	events int
	used   bool
}

// run is the work of one engine on one request.
type run struct {
	id        string
	engine    *engine
	from, to  int
	startedAt time.Time
	// events holds the times at which the events were made.
	events []time.Time
	// closedAt is when the engine saw that the connection was closed, endedAt when it
	// stopped its work.
	closedAt, endedAt time.Time
	backup            *engine
}

// engine is a stand-in of a model worker. It generates numbered events.
type engine struct {
	set  *engineSet
	id   string
	addr string
	born int64
	// keeps is set for an engine that goes on with a request whose connection has closed.
	keeps bool

	mu       sync.Mutex
	draining bool
	stopsAt  time.Time
	active   map[string]*run
}

// startEngine serves an engine at an address and registers it.
func (s *engineSet) startEngine(n int, addr string, keeps bool) *engine {
	e := &engine{set: s, id: fmt.Sprintf("i-%s-%d", s.service, n), addr: addr, born: time.Now().UnixMilli(), keeps: keeps, active: map[string]*run{}}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("engine: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("GET /healthz", e.health)
	mux.HandleFunc("POST /v1/kv-move", e.move)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", e.free)
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(listener, mux) }()
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	e.register("ready")
	return e
}

func (e *engine) register(state string) {
	entry := workerEntry(e.set.service, e.addr, state, engineSlots, e.born)
	entry["stage"] = "colocated"
	entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	e.set.l.store.write("servers/"+e.id, entry)
}

// leave announces that the engine stops after the given time. It goes on serving until then.
func (e *engine) leave(after time.Duration) {
	e.set.l.note("engine %s is draining, stops after %v", e.id, after)
	e.mu.Lock()
	e.draining, e.stopsAt = true, time.Now().Add(after)
	e.mu.Unlock()
	e.register("draining")
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.set.l.note("engine %s exits", e.id)
		for id, r := range e.active {
			r.endedAt = time.Now()
			delete(e.active, id)
		}
		e.set.l.store.drop("servers/" + e.id)
	})
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	runs, tokens := []any{}, 0
	for _, r := range e.active {
		n := 1460 + eventTokens*(r.from+len(r.events))
		tokens += n
		if len(r.events) > 0 {
			runs = append(runs, []any{r.id, n, r.from + len(r.events), 5})
		}
	}
	out := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq_no": 1, "queued": 0,
		"running": len(e.active), "kv_used": tokens, "kv_total": engineKV, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "born": e.born, "runs": runs,
	}
	if e.draining {
		out["state"], out["leaves_ms"] = "draining", max(time.Until(e.stopsAt).Milliseconds(), 0)
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	w.Header().Set("X-Server-Load", e.load())
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", len(e.active), engineSlots)
}

// byAddr returns the engine at an address, nil if there is none.
func (s *engineSet) byAddr(addr string) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.addr == addr {
			return e
		}
	}
	return nil
}

// move copies the memory of a run to another engine. With last, the run stops first.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	running := e.active[in.ID]
	e.mu.Unlock()
	if running == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	holder := e.set.byAddr(in.Target)
	if holder == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if in.Last {
		e.stopRun(running)
	}
	time.Sleep(60 * time.Millisecond)
	e.mu.Lock()
	events := running.from + len(running.events)
	e.mu.Unlock()
	handle := "h-" + in.ID
	e.set.mu.Lock()
	e.set.copies[e.addr+"/"+handle] = &kvCopy{run: running, holder: holder, source: e, events: events}
	e.set.mu.Unlock()
	e.set.l.note("engine %s: %s copied to %s, last %v", e.id, in.ID, holder.id, in.Last)
	reply(w, http.StatusOK, map[string]any{"handle": handle, "created_rev": events})
}

// stopRun ends the work on a run.
func (e *engine) stopRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, r.id)
	if r.endedAt.IsZero() {
		r.endedAt = time.Now()
	}
}

func (e *engine) free(w http.ResponseWriter, r *http.Request) {
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	delete(e.set.copies, e.addr+"/"+r.PathValue("id"))
	reply(w, http.StatusOK, map[string]any{})
}

// takeCopy returns the copy that a request names, nil if this engine may not use it.
func (e *engine) takeCopy(source string) *kvCopy {
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	c := e.set.copies[source]
	if c == nil || c.used || c.holder != e && c.source != e {
		return nil
	}
	c.used = true
	return c
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", e.load())
	e.mu.Lock()
	draining, full := e.draining, len(e.active) >= engineSlots
	e.mu.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := 0
	source := r.Header.Get("Kv-From")
	if source != "" {
		if e.takeCopy(source) == nil {
			full = true
		}
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			from = last
		}
	}
	if full {
		e.set.l.note("engine %s: rejects %s, Kv-From %q", e.id, id, source)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	one := &run{id: id, engine: e, from: from, to: tokens / eventTokens, startedAt: time.Now(), backup: e.set.byAddr(r.Header.Get("X-Kv-Backup"))}
	e.mu.Lock()
	e.active[id] = one
	e.mu.Unlock()
	e.set.mu.Lock()
	e.set.runs = append(e.set.runs, one)
	if one.backup != nil {
		// The memory is sent as it grows; the copy of these stand-ins is always up to date.
		e.set.copies[one.backup.addr+"/"+id] = &kvCopy{run: one, holder: one.backup, source: e}
	}
	e.set.mu.Unlock()
	e.set.l.note("engine %s: runs %s from event %d, backup %q", e.id, id, from+1, r.Header.Get("X-Kv-Backup"))
	e.generate(w, r, one)
}

// generate makes the events of a run and sends them until the connection closes. An engine that
// keeps its requests makes the rest of the events all the same.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, one *run) {
	defer func() {
		e.stopRun(one)
		e.set.l.note("engine %s: ends %s after %d events", e.id, one.id, len(one.events))
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "sig-"+e.id+"-"+one.id)
	w.Header().Set("X-Weights-Version", "1")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	time.Sleep(promptTime)
	closed := false
	for k := one.from + 1; k <= one.to; k++ {
		e.mu.Lock()
		stopped := !one.endedAt.IsZero()
		if !stopped {
			one.events = append(one.events, time.Now())
		}
		e.mu.Unlock()
		if stopped {
			// The stream of a run that was stopped ends without its end.
			panic(http.ErrAbortHandler)
		}
		if !closed {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", k, k, one.id)
			_ = controller.Flush()
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			if !closed {
				closed = true
				one.closedAt = time.Now()
				e.set.l.note("engine %s: the connection of %s is closed after event %d", e.id, one.id, k)
			}
			if !e.keeps {
				return
			}
			time.Sleep(eventInterval)
		}
	}
}
