package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// vocabulary holds the words from which the engine generates tokens.
var vocabulary = strings.Fields(`remove the pedal cover and check spring cable contact carbon pile for wear
	clean it with dry cloth then measure resistance between both leads tighten screw replace worn part
	test under load slowly until motor runs smooth again note result on card`)

// Handler returns the handler of the engine's HTTP API. After Close or Crash it
// aborts every connection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleStart)
	mux.HandleFunc("GET /v1/completions/{id}", e.handleResume)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.handleCancel)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /metrics", e.handleMetrics)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isStopped() {
			abort(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// Crash stops the engine as a crash of its process would: open streams break off, and
// new requests get no response.
func (e *Engine) Crash() { e.Close() }

// abort closes the connection of the current request without completing the
// response.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Seed      *int64 `json:"seed"`
}

func (e *Engine) handleStart(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.MaxTokens <= 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	if !slices.Contains(e.orders.models, req.Model) {
		e.mu.Unlock()
		http.Error(w, "model is not loaded", http.StatusServiceUnavailable)
		return
	}
	if e.byID[id] != nil {
		e.mu.Unlock()
		http.Error(w, "completion exists", http.StatusConflict)
		return
	}
	s := e.newSequence(id, req.Model, req.Prompt, req.MaxTokens, req.Priority, req.Seed)
	if e.blocksFor(s.promptTokens+1) > e.opts.Blocks {
		e.mu.Unlock()
		http.Error(w, "prompt exceeds the memory", http.StatusBadRequest)
		return
	}
	e.submit(s)
	e.mu.Unlock()
	if strings.Contains(req.Prompt, crashMarker) {
		time.AfterFunc(e.opts.StepBase, e.Crash)
	}
	e.stream(w, r, s, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	offset := 0
	if lastID := r.Header.Get("Last-Event-ID"); lastID != "" {
		n, err := strconv.Atoi(lastID)
		if err != nil {
			http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
			return
		}
		offset = n + 1
	}
	e.mu.Lock()
	s := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "unknown completion", http.StatusNotFound)
		return
	}
	e.stream(w, r, s, offset)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	var buf []byte
	for {
		e.mu.Lock()
		newTokens := s.tokens[min(offset, len(s.tokens)):]
		finishReason := s.finishReason
		changed := s.changed
		e.mu.Unlock()
		buf = buf[:0]
		for i, t := range newTokens {
			buf = fmt.Appendf(buf, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", offset+i, t)
		}
		offset += len(newTokens)
		if finishReason != "" {
			buf = fmt.Appendf(buf, "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
				finishReason, s.promptTokens, offset)
		}
		if _, err := w.Write(buf); err != nil || rc.Flush() != nil || finishReason != "" {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.stop:
			abort(w)
		}
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id")) {
		http.Error(w, "unknown completion", http.StatusNotFound)
	}
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID string `json:"id"`
	}
	var out struct {
		Data []model `json:"data"`
	}
	e.mu.Lock()
	for _, m := range e.orders.models {
		out.Data = append(out.Data, model{ID: m})
	}
	e.mu.Unlock()
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// timedReport is a load report in the metrics text format and the time at which it
// was current.
type timedReport struct {
	takenAt time.Time
	text    string
}

// handleMetrics records a load report and responds with the latest one that is at
// least ReportLag old, or with the oldest recorded one if all are younger.
func (e *Engine) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentReports = append(e.recentReports, timedReport{takenAt: now, text: e.formatReport()})
	for len(e.recentReports) > 1 && now.Sub(e.recentReports[1].takenAt) >= e.opts.ReportLag {
		e.recentReports = e.recentReports[1:]
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprint(w, e.recentReports[0].text)
}

func (e *Engine) formatReport() string {
	return fmt.Sprintf(`# TYPE engine_requests_running gauge
engine_requests_running %d
# TYPE engine_requests_waiting gauge
engine_requests_waiting %d
# TYPE engine_kv_blocks_used gauge
engine_kv_blocks_used %d
# TYPE engine_kv_blocks_total gauge
engine_kv_blocks_total %d
# TYPE engine_kv_block_tokens gauge
engine_kv_block_tokens %d
# TYPE engine_preemptions_total counter
engine_preemptions_total %d
# TYPE process_start_time_seconds gauge
process_start_time_seconds %.3f
`, len(e.running), len(e.waiting), e.usedBlocks, e.opts.Blocks, e.opts.BlockTokens, e.stats.Preemptions,
		float64(e.startTime.UnixMilli())/1000)
}
