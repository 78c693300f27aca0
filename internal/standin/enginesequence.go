package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"regexp"
	"sort"
	"strconv"
	"time"
)

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
