package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Effect records a non-idempotent call that a plain service has run.
type Effect struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Plain simulates a plain service, an HTTP service that is not a model engine, with
// the responses of a booking service. A call by GET is a lookup without effect; a call
// by any other method counts as non-idempotent and is recorded as an Effect.
type Plain struct {
	mu      sync.Mutex
	delay   time.Duration
	effects []Effect
	lookups int
	// callsByURI counts the calls by request URI.
	callsByURI map[string]int
}

// NewPlain returns a service that delays each response by delay.
func NewPlain(delay time.Duration) *Plain { return &Plain{delay: delay, callsByURI: map[string]int{}} }

// SetDelay changes the delay of each response.
func (p *Plain) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *Plain) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// Effects returns the non-idempotent calls that ran, oldest first.
func (p *Plain) Effects() []Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Effect(nil), p.effects...)
}

// Lookups returns the number of GET calls that ran.
func (p *Plain) Lookups() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lookups
}

// CallCount returns the number of calls that ran for a request URI.
func (p *Plain) CallCount(uri string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsByURI[uri]
}

// maxPlainBodyBytes is the part of a call's body that is read; the rest is ignored.
const maxPlainBodyBytes = 1 << 20

// Handler returns the handler of the service. It lists the recorded effects under
// /standin/effects.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Effects()) })
	mux.HandleFunc("/", p.handle)
	return mux
}

func (p *Plain) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBodyBytes))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	number := p.record(r, string(body))
	time.Sleep(p.currentDelay())
	writeJSON(w, map[string]string{"path": r.URL.Path, "reference": fmt.Sprintf("R-%d", number)})
}

// record counts a call and returns its number among the lookups or among the effects.
func (p *Plain) record(r *http.Request, body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsByURI[r.URL.RequestURI()]++
	if r.Method == http.MethodGet {
		p.lookups++
		return p.lookups
	}
	p.effects = append(p.effects, Effect{Method: r.Method, Path: r.URL.RequestURI(), Body: body})
	return len(p.effects)
}
