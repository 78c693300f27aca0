package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Effect is one non-idempotent call that a plain service ran.
type Effect struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Plain is a booking service: POST has an effect, GET looks something up.
type Plain struct {
	mu      sync.Mutex
	delay   time.Duration
	effects []Effect
	lookups int
	// runs counts calls by request URI.
	runs map[string]int
}

// NewPlain returns a service whose calls take the delay.
func NewPlain(delay time.Duration) *Plain { return &Plain{delay: delay, runs: map[string]int{}} }

// SetDelay changes the time that a call takes.
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

// Effects returns what ran, in order.
func (p *Plain) Effects() []Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Effect(nil), p.effects...)
}

// Lookups returns the number of idempotent calls that ran.
func (p *Plain) Lookups() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lookups
}

// Runs returns the number of calls of a request URI that ran.
func (p *Plain) Runs(uri string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[uri]
}

// maxPlainBody bounds a call's body, in bytes.
const maxPlainBody = 1 << 20

// Handler serves the service, and its effects under /standin/effects.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Effects()) })
	mux.HandleFunc("/", p.handle)
	return mux
}

func (p *Plain) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBody))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	n := p.run(r, string(body))
	time.Sleep(p.currentDelay())
	writeJSON(w, map[string]string{"path": r.URL.Path, "reference": fmt.Sprintf("R-%d", n)})
}

func (p *Plain) run(r *http.Request, body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[r.URL.RequestURI()]++
	if r.Method == http.MethodGet {
		p.lookups++
		return p.lookups
	}
	p.effects = append(p.effects, Effect{Method: r.Method, Path: r.URL.RequestURI(), Body: body})
	return len(p.effects)
}
