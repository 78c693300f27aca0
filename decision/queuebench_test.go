package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"
)

// benchEngine describes a batching engine: the duration of a step, the size of the
// KV cache, and the maximum numbers of sequences and of prompt tokens in a step.
type benchEngine struct {
	stepBase, stepPerSequence, stepPerPromptToken time.Duration
	cache                                         KVCache
	maxBatch, maxPrefill                          int
}

func defaultBenchEngine() benchEngine {
	return benchEngine{
		stepBase: 10 * time.Millisecond, stepPerSequence: 200 * time.Microsecond, stepPerPromptToken: 20 * time.Microsecond,
		cache: KVCache{Blocks: 3072, BlockTokens: 16}, maxBatch: 128, maxPrefill: 4096,
	}
}

// benchJob is one request with its actual output length, which the queue knows only
// if KnownLength is set.
type benchJob struct {
	*Item
	length       int
	emitted      int
	blocks       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	endedAt      time.Time
	admittedAt   time.Time
	refusal      string
}

// benchLoad describes an open-loop arrival process.
type benchLoad struct {
	seed uint64
	// requestRate returns the requests per second at a time since the start of the
	// load, and the highest rate for a negative time.
	requestRate func(elapsed time.Duration) float64
	duration    time.Duration
	// isPeak reports whether a single workspace sends all requests above the base
	// rate at a time since the start of the load.
	isPeak func(elapsed time.Duration) bool
	// engine replaces the default engine if it is not nil.
	engine *benchEngine
	// shortOnly omits the long requests and keeps the arrival times of the short
	// ones.
	shortOnly bool
}

// Composition of a load.
const (
	// benchShortFraction is the fraction of the requests that are short.
	benchShortFraction = 0.5
	// benchStragglerFraction is the fraction of the long requests that generate ten
	// times as many tokens.
	benchStragglerFraction = 0.02
	// benchLargeFraction is the fraction of the requests that come from the two
	// large workspaces.
	benchLargeFraction = 0.6
	// benchPeakFraction is the fraction of the requests during the peak that are
	// above the base rate: (2 - 0.9) / 2, see peakLoad.
	benchPeakFraction = 0.55
	benchMaxTokens    = 16384
)

var benchStart = time.Unix(1_700_000_000, 0)

// jobs draws the requests. It draws arrivals at the highest rate and drops some of
// them (thinning), so that equal seeds give equal requests at any lower rate.
func (l benchLoad) jobs(lengthsKnown bool) []*benchJob {
	rnd := rand.New(rand.NewPCG(l.seed, 7))
	drawLognormal := func(median, sigma float64) int {
		return min(max(int(median*math.Exp(sigma*rnd.NormFloat64())), 1), benchMaxTokens)
	}
	var jobs []*benchJob
	arrival := time.Duration(0)
	maxRate := l.requestRate(-1)
	for id := 0; ; id++ {
		arrival += time.Duration(rnd.ExpFloat64() / maxRate * float64(time.Second))
		if arrival > l.duration {
			return jobs
		}
		it := &Item{
			ID: strconv.Itoa(id), Workspace: "w" + strconv.Itoa(rnd.IntN(10)), Service: "guide", Priority: 1, Weight: 1,
			MaxTokens: benchMaxTokens, Arrived: benchStart.Add(arrival), Deadline: benchStart.Add(arrival + 120*time.Second),
		}
		if rnd.Float64() < benchLargeFraction {
			it.Workspace = "large" + strconv.Itoa(rnd.IntN(2))
		}
		j := &benchJob{Item: it, length: drawLognormal(400, 0.8)}
		it.PromptTokens = drawLognormal(300, 0.6)
		isStraggler := rnd.Float64() < benchStragglerFraction
		if rnd.Float64() < benchShortFraction {
			it.Service, it.Short, it.Priority = "triage", true, 0
			j.length = drawLognormal(10, 0.6)
		} else if isStraggler {
			j.length = min(j.length*10, benchMaxTokens)
		}
		if l.isPeak != nil && l.isPeak(arrival) && rnd.Float64() < benchPeakFraction {
			it.Workspace = "large0"
		}
		accepted := rnd.Float64()*maxRate < l.requestRate(arrival)
		if !accepted || (l.shortOnly && !it.Short) {
			continue
		}
		if lengthsKnown {
			it.KnownLength = j.length
		}
		jobs = append(jobs, j)
	}
}

// benchRun simulates a Queue and an engine under a load in virtual time.
type benchRun struct {
	engine        benchEngine
	queue         *Queue
	now           time.Time
	jobsByID      map[string]*benchJob
	waiting       []*benchJob
	running       []*benchJob
	usedBlocks    int
	latencies     []time.Duration
	tickLatencies []time.Duration
	preemptions   int
	// tokensBySecond is the number of tokens generated in each second of the
	// run.
	tokensBySecond map[int]int
	utilizationSum float64
	steps          int
}

// newBenchRun returns a run whose queue has observed the lengths of
// warmRequests earlier requests.
func newBenchRun(limits QueueLimits, warmRequests int) *benchRun {
	r := &benchRun{engine: defaultBenchEngine(), queue: NewQueue(limits), now: benchStart, jobsByID: map[string]*benchJob{}, tokensBySecond: map[int]int{}}
	r.queue.SetKVCache(r.engine.cache)
	earlierJobs := benchLoad{seed: 99, duration: time.Hour, requestRate: func(time.Duration) float64 { return 1 }}.jobs(false)
	for _, j := range earlierJobs[:min(warmRequests, len(earlierJobs))] {
		r.queue.forecaster.lengths.Observe(j.Service, j.Workspace, j.length)
	}
	return r
}

// run simulates all jobs until they end or limit has passed.
func (r *benchRun) run(jobs []*benchJob, limit time.Duration) {
	next, lastTick := 0, r.now
	for end := benchStart.Add(limit); r.now.Before(end); {
		for next < len(jobs) && !jobs[next].Arrived.After(r.now) {
			r.offer(jobs[next])
			next++
		}
		if r.now.Sub(lastTick) >= 100*time.Millisecond {
			r.queue.Tick(summarizeLatencies(r.tickLatencies, r.queue.limits.InterTokenTarget), r.now)
			r.tickLatencies, lastTick = r.tickLatencies[:0], r.now
		}
		r.admit()
		if d := r.schedule(); d > 0 {
			r.now = r.now.Add(d)
			r.emitTokens()
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
		j.refusal = v.Reason
		j.endedAt = r.now
		return
	}
	r.jobsByID[j.ID] = j
}

func (r *benchRun) admit() {
	for _, it := range r.queue.Expired(r.now) {
		r.jobsByID[it.ID].refusal, r.jobsByID[it.ID].endedAt = "expired", r.now
	}
	for _, j := range r.running {
		r.queue.Progress(j.ID, j.emitted)
	}
	for _, it := range r.queue.Admit(r.now) {
		j := r.jobsByID[it.ID]
		j.admittedAt = r.now
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
	return a.sequence < b.sequence
}

// schedule forms the engine's next batch and returns the duration of the step.
func (r *benchRun) schedule() time.Duration {
	prefill := 0
	for len(r.waiting) > 0 && len(r.running) < r.engine.maxBatch {
		j := r.waiting[0]
		tokens := j.PromptTokens + j.emitted
		needed := r.engine.cache.blocks(tokens + 1)
		if r.usedBlocks+needed > r.engine.cache.Blocks || (prefill > 0 && prefill+tokens > r.engine.maxPrefill) {
			break
		}
		r.waiting = r.waiting[1:]
		j.blocks = needed
		r.usedBlocks += needed
		prefill += tokens
		r.running = append(r.running, j)
	}
	if len(r.running) == 0 {
		return 0
	}
	e := r.engine
	return e.stepBase + time.Duration(len(r.running))*e.stepPerSequence + time.Duration(prefill)*e.stepPerPromptToken
}

// emitTokens adds a token to each running sequence and preempts when the KV
// cache is full.
func (r *benchRun) emitTokens() {
	r.utilizationSum += float64(r.usedBlocks) / float64(r.engine.cache.Blocks)
	r.steps++
	second := int(r.now.Sub(benchStart) / time.Second)
	batch := slices.Clone(r.running)
	sort.Slice(batch, func(a, b int) bool { return moreUrgent(batch[a], batch[b]) })
	for _, j := range batch {
		if j.blocks == 0 || !r.growKV(j, batch) {
			continue
		}
		j.emitted++
		r.tokensBySecond[second]++
		if j.emitted == 1 {
			j.firstTokenAt = r.now
		} else {
			r.latencies = append(r.latencies, r.now.Sub(j.lastTokenAt))
			r.tickLatencies = append(r.tickLatencies, r.now.Sub(j.lastTokenAt))
		}
		j.lastTokenAt = r.now
		if j.emitted >= j.length {
			j.endedAt = r.now
			r.release(j)
			r.queue.Finish(j.ID, j.emitted)
		}
	}
}

// growKV allocates the blocks for the next token of j. If the KV cache is full it
// preempts the least urgent sequences of the batch; it returns false if j is one of
// them.
func (r *benchRun) growKV(j *benchJob, batch []*benchJob) bool {
	needed := r.engine.cache.blocks(j.PromptTokens+j.emitted+1) - j.blocks
	for index := len(batch) - 1; needed > 0 && r.usedBlocks+needed > r.engine.cache.Blocks; index-- {
		victim := batch[index]
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
	j.blocks += max(needed, 0)
	r.usedBlocks += max(needed, 0)
	return true
}

func (r *benchRun) release(j *benchJob) {
	r.usedBlocks -= j.blocks
	j.blocks = 0
	r.running = slices.DeleteFunc(r.running, func(other *benchJob) bool { return other == j })
}

func summarizeLatencies(latencies []time.Duration, target time.Duration) InterTokenStats {
	stats := InterTokenStats{Count: len(latencies), Median: quantile(latencies, 0.5)}
	for _, latency := range latencies {
		if latency > target {
			stats.Late++
		}
	}
	return stats
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
