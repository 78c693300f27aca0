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

// sequence is the state of one completion.
type sequence struct {
	id           string
	seed         uint64
	promptTokens int
	// outputTokens is the number of output tokens after which the sequence stops.
	outputTokens int
	// max is the limit on output tokens that the request sets.
	max int
	// priority is the priority number of the request; 0 is the most urgent.
	priority      int
	arrivalNumber int64
	model         string
	promptText    string
	// divergeOffset is the token offset that SetDivergence had set at the start of the
	// completion, 0 for none.
	divergeOffset int

	// tokens are the output tokens generated so far.
	tokens       []string
	finishReason string
	// prefilled is false until the prompt is prefilled, and again after a
	// preemption.
	prefilled bool
	// blocks is the number of allocated KV cache blocks.
	blocks     int
	finishTime time.Time
	// changed is closed and replaced when tokens are added or the sequence
	// finishes.
	changed chan struct{}
}

// Markers in a prompt control the engine: <<len=N>> sets the output length in
// tokens, <<crash>> crashes the engine after the base time of a step.
var (
	lengthMarker = regexp.MustCompile(`<<len=(\d+)>>`)
	crashMarker  = "<<crash>>"
)

// MarkedLength returns the output length in tokens that the marker of a prompt
// sets, 0 for a prompt without a marker.
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

// bytesPerToken is the assumed length of a prompt token.
const bytesPerToken = 4

// lengthSigma is the sigma of the log-normal distribution of output lengths.
const lengthSigma = 1.0

// newSequence returns a sequence that is not yet queued. Its seed is derived from the
// prompt and the seed of the request or, if the request has none, is random.
func (e *Engine) newSequence(id, model, prompt string, maxTokens, priority int, seed *int64) *sequence {
	s := &sequence{
		id: id, model: model, promptText: prompt, promptTokens: len(prompt)/bytesPerToken + 1, max: maxTokens, priority: priority,
		divergeOffset: e.divergeOffset, changed: make(chan struct{}),
	}
	s.seed = e.rng.Uint64()
	if seed != nil {
		s.seed = hashString(prompt) ^ uint64(*seed)
	}
	s.outputTokens = e.outputLength(prompt, s.seed)
	return s
}

// outputLength returns the output length in tokens: that of the prompt's marker or,
// without a marker, a log-normally distributed length determined by the seed.
func (e *Engine) outputLength(prompt string, seed uint64) int {
	if n := MarkedLength(prompt); n > 0 {
		return n
	}
	r := rand.New(rand.NewPCG(seed, seed))
	return max(int(float64(e.opts.MedianOutputTokens)*math.Exp(lengthSigma*r.NormFloat64())), 1)
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// token returns the text of the token at offset i, a function of the seed and
// the offset.
func (s *sequence) token(i int) string {
	x := s.seed + uint64(i)*0x9e3779b97f4a7c15
	if s.divergeOffset > 0 && i >= s.divergeOffset {
		x += uint64(s.divergeOffset)
	}
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return vocabulary[x%uint64(len(vocabulary))] + " "
}

// notify wakes the streams of the sequence.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// submit registers a new sequence, queues it and wakes the step loop.
func (e *Engine) submit(s *sequence) {
	e.arrivalCount++
	s.arrivalNumber = e.arrivalCount
	e.byID[s.id] = s
	e.stats.Started++
	e.startedByPrompt[s.promptText]++
	e.enqueue(s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) enqueue(s *sequence) {
	e.waiting = append(e.waiting, s)
	sort.SliceStable(e.waiting, func(i, j int) bool { return precedes(e.waiting[i], e.waiting[j]) })
}

// precedes reports whether a takes precedence over b: a is scheduled before b and
// preempted after it. A lower priority number takes precedence, then an earlier
// arrival.
func precedes(a, b *sequence) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrivalNumber < b.arrivalNumber
}
