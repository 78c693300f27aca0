// Package standin holds small stand-ins for what the platform provides, for
// tests, measurements and the demonstration: model engine, plain service,
// key-value store, VM list and weight store. They speak the published
// protocols and fail on demand.
package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// EngineOptions describe a model engine.
type EngineOptions struct {
	Models []string
	// A step takes Base + PerSequence × batch + PerPrefill × prompt tokens.
	Base        time.Duration
	PerSequence time.Duration
	PerPrefill  time.Duration
	// Memory is Blocks blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// MaxBatch bounds the running sequences.
	MaxBatch int
	// MaxPrefill bounds the prompt tokens of one step.
	MaxPrefill int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// MedianLength is the median of output lengths that no marker sets.
	MedianLength int
	Seed         uint64
	// IgnoreFencing makes the engine take orders with old fencing numbers.
	IgnoreFencing bool
}

// DefaultEngineOptions returns an engine of moderate speed.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Models: []string{"repair-7b"}, Base: 10 * time.Millisecond, PerSequence: 200 * time.Microsecond,
		PerPrefill: 20 * time.Microsecond, Blocks: 4096, BlockTokens: 16, MaxBatch: 128, MaxPrefill: 4096,
		ReportLag: 2 * time.Second, MedianLength: 200, Seed: 1,
	}
}

// Engine simulates continuous batching with paged memory.
type Engine struct {
	opts    EngineOptions
	mu      sync.Mutex
	rnd     *rand.Rand
	waiting []*sequence
	running []*sequence
	byID    map[string]*sequence
	arrival int64
	used    int
	slow    float64
	diverge int
	crashed bool
	wake    chan struct{}
	stop    chan struct{}
	started time.Time
	stats   EngineStats
	// runs counts started completions by prompt.
	runs    map[string]int
	reports []timedReport
	orders  orderLog
}

// EngineStats counts since the engine's start.
type EngineStats struct {
	Started     int
	Completed   int
	Cancelled   int
	Tokens      int64
	Preemptions int64
	Recomputed  int64
}

// NewEngine starts an engine; Close stops it.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts: opts, rnd: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), byID: map[string]*sequence{},
		runs: map[string]int{},
		slow: 1, wake: make(chan struct{}, 1), stop: make(chan struct{}), started: time.Now(),
	}
	e.orders.models = append([]string(nil), opts.Models...)
	go e.loop()
	return e
}

// Close stops the engine's steps.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halt()
}

func (e *Engine) halt() {
	if !e.crashed {
		e.crashed = true
		close(e.stop)
	}
}

// SetSlow multiplies the time of steps.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetDivergence makes the tokens from an offset on depend on the offset, so
// that engines with different settings do not reproduce each other's output.
func (e *Engine) SetDivergence(offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.diverge = offset
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Output returns the tokens of a completion, for tests to compare with.
func (e *Engine) Output(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return nil
	}
	return append([]string(nil), s.tokens...)
}

// Prompt returns the prompt of a completion.
func (e *Engine) Prompt(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return ""
	}
	return s.text
}

// Runs returns the number of completions of a prompt that were started.
func (e *Engine) Runs(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[prompt]
}
