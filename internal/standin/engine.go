// Package standin provides stand-ins for the services of the platform, for
// tests, measurements and the demo: a model engine, a plain service, a key-value
// store and a VM list. They serve the published protocols and inject faults on
// request.
package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// EngineOptions configure a model engine.
type EngineOptions struct {
	Models []string
	// StepBase is the fixed part of the duration of a step.
	StepBase time.Duration
	// StepPerSequence is added to the duration of a step for each running sequence.
	StepPerSequence time.Duration
	// StepPerPromptToken is added to the duration of a step for each token that the
	// step prefills.
	StepPerPromptToken time.Duration
	// The KV cache has Blocks blocks of BlockTokens tokens each.
	Blocks      int
	BlockTokens int
	// MaxBatch is the maximum number of running sequences.
	MaxBatch int
	// MaxPrefillTokens is the maximum number of tokens that one step prefills. A
	// sequence that alone exceeds it is prefilled in a step without other prefills.
	MaxPrefillTokens int
	// ReportLag is the age of the load report that the metrics page shows.
	ReportLag time.Duration
	// MedianOutputTokens is the median output length, in tokens, for prompts without a
	// length marker (see MarkedLength).
	MedianOutputTokens int
	Seed               uint64
	// IgnoreFencing makes the engine accept orders with outdated fencing numbers.
	IgnoreFencing bool
}

// DefaultEngineOptions returns the options of an engine of moderate speed.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Models: []string{"repair-7b"}, StepBase: 10 * time.Millisecond, StepPerSequence: 200 * time.Microsecond,
		StepPerPromptToken: 20 * time.Microsecond, Blocks: 4096, BlockTokens: 16, MaxBatch: 128, MaxPrefillTokens: 4096,
		ReportLag: 2 * time.Second, MedianOutputTokens: 200, Seed: 1,
	}
}

// Engine simulates an inference engine with continuous batching and a paged KV
// cache. It is safe for concurrent use.
type Engine struct {
	opts         EngineOptions
	mu           sync.Mutex
	rng          *rand.Rand
	waiting      []*sequence
	running      []*sequence
	byID         map[string]*sequence
	arrivalCount int64
	usedBlocks   int
	slowdown     float64
	// divergeOffset is the offset that SetDivergence set, 0 for none.
	divergeOffset int
	stopped       bool
	// wake wakes the step loop after a request was queued.
	wake      chan struct{}
	stop      chan struct{}
	startTime time.Time
	stats     EngineStats
	// startedByPrompt is the number of started completions by prompt.
	startedByPrompt map[string]int
	recentReports   []timedReport
	orders          orderState
}

// EngineStats are counters since the engine started.
type EngineStats struct {
	// Started, Completed and Cancelled are numbers of completions.
	Started   int
	Completed int
	Cancelled int
	// OutputTokens is the number of output tokens.
	OutputTokens int64
	Preemptions  int64
	// RecomputedTokens is the number of tokens that were prefilled again after a
	// preemption.
	RecomputedTokens int64
}

// NewEngine starts an engine; Close stops it.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), byID: map[string]*sequence{},
		startedByPrompt: map[string]int{}, slowdown: 1, wake: make(chan struct{}, 1), stop: make(chan struct{}), startTime: time.Now(),
	}
	e.orders.models = append([]string(nil), opts.Models...)
	go e.loop()
	return e
}

// Close stops the engine. From then on it answers no requests.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLocked()
}

// stopLocked stops the step loop and all streams. Callers hold the lock.
func (e *Engine) stopLocked() {
	if !e.stopped {
		e.stopped = true
		close(e.stop)
	}
}

// SetSlowdown sets the factor by which each step takes longer than configured.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetDivergence makes the tokens of new completions from the given offset depend
// on that offset, so that engines with different offsets generate different
// output for the same seed. An offset of 0 disables this.
func (e *Engine) SetDivergence(offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.divergeOffset = offset
}

// Stats returns the current counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Output returns the tokens that a completion has generated so far, nil for an
// unknown completion.
func (e *Engine) Output(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return nil
	}
	return append([]string(nil), s.tokens...)
}

// Prompt returns the prompt of a completion, "" for an unknown completion.
func (e *Engine) Prompt(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return ""
	}
	return s.promptText
}

// StartCount returns the number of completions that were started for a prompt.
func (e *Engine) StartCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedByPrompt[prompt]
}
