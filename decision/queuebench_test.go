package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"
)

// benchEngine is the cost of a batching engine's step and its memory.
type benchEngine struct {
	base, perSequence, perPrefill time.Duration
	memory                        Memory
	batch, prefill                int
}

func defaultBenchEngine() benchEngine {
	return benchEngine{
		base: 10 * time.Millisecond, perSequence: 200 * time.Microsecond, perPrefill: 20 * time.Microsecond,
		memory: Memory{Blocks: 3072, BlockTokens: 16}, batch: 128, prefill: 4096,
	}
}

// benchJob is one request with its hidden length.
type benchJob struct {
	*Item
	length   int
	emitted  int
	blocks   int
	first    time.Time
	last     time.Time
	ended    time.Time
	admitted time.Time
	refused  string
}

// benchLoad describes an open-loop arrival process.
type benchLoad struct {
	seed     uint64
	perSec   func(at time.Duration) float64
	duration time.Duration
	// surge is the time in which one workspace sends all that is above the rate
	// before it.
	surge func(at time.Duration) bool
	// engine replaces the default engine.
	engine *benchEngine
	// shortOnly leaves the long requests out, at the same arrivals of short ones.
	shortOnly bool
}

const (
	benchShortPart     = 0.5
	benchStragglerPart = 0.02
	benchLargePart     = 0.6
	benchSurgePart     = 0.55
	benchMaxTokens     = 16384
)

var benchStart = time.Unix(1_700_000_000, 0)

// jobs draws the arrivals by thinning, so that equal seeds give equal requests.
func (l benchLoad) jobs(told bool) []*benchJob {
	rnd := rand.New(rand.NewPCG(l.seed, 7))
	lognormal := func(median, sigma float64) int {
		return min(max(int(median*math.Exp(sigma*rnd.NormFloat64())), 1), benchMaxTokens)
	}
	var out []*benchJob
	at := time.Duration(0)
	top := l.perSec(-1)
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / top * float64(time.Second))
		if at > l.duration {
			return out
		}
		it := &Item{
			ID: strconv.Itoa(n), Workspace: "w" + strconv.Itoa(rnd.IntN(10)), Service: "guide", Priority: 1, Weight: 1,
			MaxTokens: benchMaxTokens, Arrived: benchStart.Add(at), Deadline: benchStart.Add(at + 120*time.Second),
		}
		if rnd.Float64() < benchLargePart {
			it.Workspace = "large" + strconv.Itoa(rnd.IntN(2))
		}
		j := &benchJob{Item: it, length: lognormal(400, 0.8)}
		it.PromptTokens = lognormal(300, 0.6)
		straggler := rnd.Float64() < benchStragglerPart
		if rnd.Float64() < benchShortPart {
			it.Service, it.Short, it.Priority = "triage", true, 0
			j.length = lognormal(10, 0.6)
		} else if straggler {
			j.length = min(j.length*10, benchMaxTokens)
		}
		if l.surge != nil && l.surge(at) && rnd.Float64() < benchSurgePart {
			it.Workspace = "large0"
		}
		keep := rnd.Float64()*top < l.perSec(at)
		if !keep || (l.shortOnly && !it.Short) {
			continue
		}
		if told {
			it.Length = j.length
		}
		out = append(out, j)
	}
}

// benchRun drives a Queue and an engine through a load in virtual time.
type benchRun struct {
	engine      benchEngine
	queue       *Queue
	now         time.Time
	byID        map[string]*benchJob
	waiting     []*benchJob
	running     []*benchJob
	used        int
	gaps        []time.Duration
	window      []time.Duration
	preemptions int
	// perSecond is the number of tokens generated in each second.
	perSecond map[int]int
	usedSum   float64
	steps     int
}

// newBenchRun returns a run whose queue has learned from earlier requests if
// warm is positive.
func newBenchRun(limits QueueLimits, warm int) *benchRun {
	r := &benchRun{engine: defaultBenchEngine(), queue: NewQueue(limits), now: benchStart, byID: map[string]*benchJob{}, perSecond: map[int]int{}}
	r.queue.SetMemory(r.engine.memory)
	earlier := benchLoad{seed: 99, duration: time.Hour, perSec: func(time.Duration) float64 { return 1 }}.jobs(false)
	for _, j := range earlier[:min(warm, len(earlier))] {
		r.queue.ledger.lengths.Observe(j.Service, j.Workspace, j.length)
	}
	return r
}

// play runs all jobs to their end, at most for the given time.
func (r *benchRun) play(jobs []*benchJob, limit time.Duration) {
	next, ticked := 0, r.now
	for end := benchStart.Add(limit); r.now.Before(end); {
		for next < len(jobs) && !jobs[next].Arrived.After(r.now) {
			r.offer(jobs[next])
			next++
		}
		if r.now.Sub(ticked) >= 100*time.Millisecond {
			r.queue.Tick(summarise(r.window, r.queue.limits.TokenGap), r.now)
			r.window, ticked = r.window[:0], r.now
		}
		r.admit()
		if d := r.schedule(); d > 0 {
			r.now = r.now.Add(d)
			r.emit()
			continue
		}
		if next == len(jobs) && r.queue.Waiting() == 0 {
			return
		}
		r.now = r.now.Add(time.Millisecond)
	}
}

func (r *benchRun) offer(j *benchJob) {
	if v := r.queue.Offer(j.Item, r.now); !v.Accepted {
		j.refused = v.Reason
		j.ended = r.now
		return
	}
	r.byID[j.ID] = j
}

func (r *benchRun) admit() {
	for _, it := range r.queue.Expired(r.now) {
		r.byID[it.ID].refused, r.byID[it.ID].ended = "expired", r.now
	}
	for _, j := range r.running {
		r.queue.Progress(j.ID, j.emitted)
	}
	for _, it := range r.queue.Admit(r.now) {
		j := r.byID[it.ID]
		j.admitted = r.now
		r.enqueue(j)
	}
}

func (r *benchRun) enqueue(j *benchJob) {
	r.waiting = append(r.waiting, j)
	sort.SliceStable(r.waiting, func(a, b int) bool { return moreUrgent(r.waiting[a], r.waiting[b]) })
}

func moreUrgent(a, b *benchJob) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.order < b.order
}

// schedule composes the engine's next batch and returns the time of the step.
func (r *benchRun) schedule() time.Duration {
	prefill := 0
	for len(r.waiting) > 0 && len(r.running) < r.engine.batch {
		j := r.waiting[0]
		tokens := j.PromptTokens + j.emitted
		need := r.engine.memory.blocks(tokens + 1)
		if r.used+need > r.engine.memory.Blocks || (prefill > 0 && prefill+tokens > r.engine.prefill) {
			break
		}
		r.waiting = r.waiting[1:]
		j.blocks = need
		r.used += need
		prefill += tokens
		r.running = append(r.running, j)
	}
	if len(r.running) == 0 {
		return 0
	}
	e := r.engine
	return e.base + time.Duration(len(r.running))*e.perSequence + time.Duration(prefill)*e.perPrefill
}

// emit gives each running sequence a token and preempts when memory is full.
func (r *benchRun) emit() {
	r.usedSum += float64(r.used) / float64(r.engine.memory.Blocks)
	r.steps++
	second := int(r.now.Sub(benchStart) / time.Second)
	batch := slices.Clone(r.running)
	sort.Slice(batch, func(a, b int) bool { return moreUrgent(batch[a], batch[b]) })
	for _, j := range batch {
		if j.blocks == 0 || !r.grow(j, batch) {
			continue
		}
		j.emitted++
		r.perSecond[second]++
		if j.emitted == 1 {
			j.first = r.now
		} else {
			r.gaps = append(r.gaps, r.now.Sub(j.last))
			r.window = append(r.window, r.now.Sub(j.last))
		}
		j.last = r.now
		if j.emitted >= j.length {
			j.ended = r.now
			r.release(j)
			r.queue.Finish(j.ID, j.emitted)
		}
	}
}

func (r *benchRun) grow(j *benchJob, batch []*benchJob) bool {
	need := r.engine.memory.blocks(j.PromptTokens+j.emitted+1) - j.blocks
	for at := len(batch) - 1; need > 0 && r.used+need > r.engine.memory.Blocks; at-- {
		victim := batch[at]
		if victim.blocks == 0 {
			continue
		}
		r.release(victim)
		r.preemptions++
		r.enqueue(victim)
		if victim == j {
			return false
		}
	}
	j.blocks += max(need, 0)
	r.used += max(need, 0)
	return true
}

func (r *benchRun) release(j *benchJob) {
	r.used -= j.blocks
	j.blocks = 0
	r.running = slices.DeleteFunc(r.running, func(o *benchJob) bool { return o == j })
}

func summarise(gaps []time.Duration, target time.Duration) Gaps {
	g := Gaps{Count: len(gaps), Median: quantile(gaps, 0.5)}
	for _, gap := range gaps {
		if gap > target {
			g.Late++
		}
	}
	return g
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
