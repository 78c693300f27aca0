// Package standin holds small stand-ins for what the platform provides, for
// tests, measurements and the demonstration: model engine, plain service,
// key-value store, VM list and weight store. They speak the published
// protocols and fail on demand.
package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"regexp"
	"sort"
	"strconv"
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

// sequence is one completion at the engine.
type sequence struct {
	id       string
	seed     uint64
	prompt   int
	length   int
	max      int
	priority int
	arrived  int64
	model    string
	text     string
	// diverge is the offset from which tokens depend on the engine, 0 for never.
	diverge int

	tokens []string
	finish string
	// prefilled is false until the prompt is computed, and again after a
	// preemption.
	prefilled bool
	blocks    int
	ended     time.Time
	changed   chan struct{}
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

// Markers in a prompt steer the stand-in: <<len=N>> sets the output length,
// <<crash>> stops the engine once the prompt is computed.
var (
	lengthMarker = regexp.MustCompile(`<<len=(\d+)>>`)
	crashMarker  = "<<crash>>"
)

// MarkedLength returns the output length that a prompt's marker sets, 0 if it
// has none.
func MarkedLength(prompt string) int {
	m := lengthMarker.FindStringSubmatch(prompt)
	if m == nil {
		return 0
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 0
	}
	return max(n, 1)
}

const bytesPerToken = 4

// tailSpread is the sigma of the log-normal distribution of output lengths.
const tailSpread = 1.0

func (e *Engine) newSequence(id, model, prompt string, maxTokens, priority int, seed *int64) *sequence {
	s := &sequence{
		id: id, model: model, text: prompt, prompt: len(prompt)/bytesPerToken + 1, max: maxTokens, priority: priority,
		diverge: e.diverge, changed: make(chan struct{}),
	}
	s.seed = e.rnd.Uint64()
	if seed != nil {
		s.seed = hash(prompt) ^ uint64(*seed)
	}
	s.length = e.length(prompt, s.seed)
	return s
}

func (e *Engine) length(prompt string, seed uint64) int {
	if n := MarkedLength(prompt); n > 0 {
		return n
	}
	r := rand.New(rand.NewPCG(seed, seed))
	return max(int(float64(e.opts.MedianLength)*math.Exp(tailSpread*r.NormFloat64())), 1)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// token returns the text of the token at an offset.
func (s *sequence) token(i int) string {
	x := s.seed + uint64(i)*0x9e3779b97f4a7c15
	if s.diverge > 0 && i >= s.diverge {
		x += uint64(s.diverge)
	}
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return vocabulary[x%uint64(len(vocabulary))] + " "
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// submit queues a sequence.
func (e *Engine) submit(s *sequence) {
	e.arrival++
	s.arrived = e.arrival
	e.byID[s.id] = s
	e.stats.Started++
	e.runs[s.text]++
	e.enqueue(s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) enqueue(s *sequence) {
	e.waiting = append(e.waiting, s)
	sort.SliceStable(e.waiting, func(i, j int) bool { return before(e.waiting[i], e.waiting[j]) })
}

func before(a, b *sequence) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrived < b.arrived
}

func (e *Engine) loop() {
	for {
		d := e.step()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(d):
			e.emit()
		case <-e.stop:
			return
		}
	}
}

// step composes the next batch and returns the time that it takes, 0 if there
// is nothing to do.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := e.schedule()
	if len(e.running) == 0 {
		return 0
	}
	d := e.opts.Base + time.Duration(len(e.running))*e.opts.PerSequence + time.Duration(prefill)*e.opts.PerPrefill
	return time.Duration(float64(d) * e.slow)
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// schedule admits waiting sequences and returns the prompt tokens to compute.
func (e *Engine) schedule() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		s := e.waiting[0]
		tokens := s.prompt + len(s.tokens)
		need := e.blocksFor(tokens + 1)
		if e.used+need > e.opts.Blocks || (prefill > 0 && prefill+tokens > e.opts.MaxPrefill) {
			break
		}
		e.waiting = e.waiting[1:]
		s.blocks = need
		e.used += need
		e.running = append(e.running, s)
		prefill += tokens
		if len(s.tokens) > 0 {
			e.stats.Recomputed += int64(tokens)
		}
	}
	return prefill
}

// emit gives every running sequence its next token.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := append([]*sequence(nil), e.running...)
	sort.Slice(batch, func(i, j int) bool { return before(batch[i], batch[j]) })
	for _, s := range batch {
		if s.blocks == 0 || !e.grow(s) {
			continue
		}
		s.prefilled = true
		s.tokens = append(s.tokens, s.token(len(s.tokens)))
		e.stats.Tokens++
		switch {
		case len(s.tokens) >= s.length:
			e.end(s, "stop")
		case len(s.tokens) >= s.max:
			e.end(s, "length")
		}
		s.notify()
	}
	e.forget()
}

// grow makes room for one more token of s. When memory is full the least
// urgent, youngest sequence is preempted; it returns false if that is s.
func (e *Engine) grow(s *sequence) bool {
	need := e.blocksFor(s.prompt+len(s.tokens)+1) - s.blocks
	for need > 0 && e.used+need > e.opts.Blocks {
		victim := e.victim()
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	if need > 0 {
		s.blocks += need
		e.used += need
	}
	return true
}

func (e *Engine) victim() *sequence {
	worst := e.running[0]
	for _, s := range e.running[1:] {
		if before(worst, s) {
			worst = s
		}
	}
	return worst
}

func (e *Engine) preempt(s *sequence) {
	e.release(s)
	s.prefilled = false
	e.stats.Preemptions++
	e.enqueue(s)
}

func (e *Engine) release(s *sequence) {
	e.used -= s.blocks
	s.blocks = 0
	for i, r := range e.running {
		if r == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

func (e *Engine) end(s *sequence, reason string) {
	e.release(s)
	s.finish = reason
	s.ended = time.Now()
	if reason == finishCancelled {
		e.stats.Cancelled++
		return
	}
	e.stats.Completed++
}

const finishCancelled = "cancelled"

// retention is how long ended completions can be resumed.
const retention = time.Minute

func (e *Engine) forget() {
	if len(e.byID) < 1024 {
		return
	}
	for id, s := range e.byID {
		if s.finish != "" && time.Since(s.ended) > retention {
			delete(e.byID, id)
		}
	}
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return false
	}
	if s.finish != "" {
		return true
	}
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.end(s, finishCancelled)
	s.notify()
	return true
}
