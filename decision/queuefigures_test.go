package decision

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// benchPolicies are the configurations that BenchmarkAdmission compares: the
// engine alone, a fixed number of slots, all mechanisms, all mechanisms with
// lengths known in advance ("told"), and all mechanisms except one ("no_..."):
// the KV cache forecast (memory), its safety margin (risk), the limit of the
// inter-token latency (gap), the reserve for short work, the limit of the expected
// wait, and fairness.
var benchPolicies = []string{
	"engine", "fixed64", "all", "told", "no_memory", "no_risk", "no_gap", "no_short", "no_wait", "no_fair",
}

func benchPolicy(name string) QueueLimits {
	l := DefaultQueueLimits()
	switch name {
	case "engine":
		l = QueueLimits{Slots: 4096, MaxWaiting: 4096}
	case "fixed64":
		l = QueueLimits{Slots: 64, MaxWaiting: 1024}
	case "no_memory":
		l.ForecastKV = false
	case "no_risk":
		l.KVRisk = 0
	case "no_gap":
		l.InterTokenTarget = 0
	case "no_short":
		l.ShortShare = 0
	case "no_wait":
		l.MaxWait = 0
	case "no_fair":
		l.Fair = false
	}
	return l
}

// benchResults are the results of one run. Waits and refusals cover the
// requests that arrived within the measured interval.
type benchResults struct {
	offered, preemptions, refused, expired int
	// Counts of the requests from small workspaces, that is those that are not
	// large.
	smallOffered, smallRefused int
	stallTime, latencyP95      time.Duration
	// goodput is in tokens per second. utilization is the mean fraction of the
	// KV cache in use.
	goodput, utilization float64
	// Percentiles of the time to the first token: of all requests, short ones, long
	// ones, and long ones from small workspaces.
	firstTokenP95, shortP99, longP99, smallP99 time.Duration
}

// benchStallThreshold is the inter-token latency above which a stream counts as
// stalled.
const benchStallThreshold = 200 * time.Millisecond

// results computes the results for the interval [start, end) of a run.
func (r *benchRun) results(jobs []*benchJob, start, end time.Duration) benchResults {
	results := benchResults{preemptions: r.preemptions, latencyP95: quantile(r.latencies, 0.95), utilization: r.utilizationSum / float64(max(r.steps, 1))}
	for _, latency := range r.latencies {
		if latency > benchStallThreshold {
			results.stallTime += latency
		}
	}
	for second := int(start / time.Second); second < int(end/time.Second); second++ {
		results.goodput += float64(r.tokensBySecond[second]) / (end - start).Seconds()
	}
	var allWaits, shortWaits, longWaits, smallWaits []time.Duration
	for _, j := range jobs {
		if arrival := j.Arrived.Sub(benchStart); arrival < start || arrival >= end {
			continue
		}
		results.offered++
		if j.Workspace[0] == 'w' {
			results.smallOffered++
			if j.refusal != "" {
				results.smallRefused++
			}
		}
		switch {
		case j.refusal == "expired":
			results.expired++
		case j.refusal != "":
			results.refused++
		case j.firstTokenAt.IsZero():
			continue
		}
		firstTokenWait := j.firstTokenAt.Sub(j.Arrived)
		if j.refusal != "" {
			continue
		}
		allWaits = append(allWaits, firstTokenWait)
		if j.Short {
			shortWaits = append(shortWaits, firstTokenWait)
			continue
		}
		longWaits = append(longWaits, firstTokenWait)
		if j.Workspace[0] == 'w' {
			smallWaits = append(smallWaits, firstTokenWait)
		}
	}
	results.firstTokenP95, results.shortP99 = quantile(allWaits, 0.95), quantile(shortWaits, 0.99)
	results.longP99, results.smallP99 = quantile(longWaits, 0.99), quantile(smallWaits, 0.99)
	return results
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Times of the peak load since the start. The queue should have recovered at
// peakRecovered.
const (
	peakStart     = 60 * time.Second
	peakEnd       = 70 * time.Second
	peakRecovered = 75 * time.Second
)

// peakRequestRate returns the request rate of a load with a peak, as
// benchLoad.requestRate.
func peakRequestRate(low, high float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed < 0 || (elapsed >= peakStart && elapsed < peakEnd) {
			return high
		}
		return low
	}
}

// peakLoad returns a load of 90 % of the capacity, and of twice the capacity during
// the peak, when a single workspace sends the excess. capacity is in requests per
// second.
func peakLoad(seed uint64, capacity float64) benchLoad {
	return benchLoad{
		seed: seed, requestRate: peakRequestRate(0.9*capacity, 2*capacity), duration: 2 * peakStart,
		isPeak: func(elapsed time.Duration) bool { return elapsed >= peakStart && elapsed < peakEnd },
	}
}

// slowEngineRate is a rate in requests per second at which the batch of slowEngine
// grows until the inter-token latency exceeds its target.
const slowEngineRate = 2.6

// slowEngine has a large KV cache and is slow with large batches.
func slowEngine() *benchEngine {
	e := defaultBenchEngine()
	e.cache.Blocks *= 8
	e.stepPerSequence = time.Millisecond
	e.stepPerPromptToken = 60 * time.Microsecond
	return &e
}

// benchCapacity returns the throughput of the engine in tokens and requests per
// second. It is measured at twice the sustainable load, with all lengths known.
var benchCapacity = sync.OnceValues(func() (tokens, requests float64) {
	const rate = 15
	l := benchLoad{seed: 42, requestRate: constantRate(rate), duration: 200 * time.Second}
	jobs := l.jobs(true)
	r := newBenchRun(benchPolicy("told"), 0)
	r.run(jobs, l.duration)
	tokens = r.results(jobs, 50*time.Second, l.duration).goodput
	tokenSum := 0
	for _, j := range jobs {
		tokenSum += j.length
	}
	return tokens, tokens * float64(len(jobs)) / float64(tokenSum)
})

// runBench simulates a policy under a load. The queue has observed the lengths
// of warmRequests earlier requests.
func runBench(policy string, load benchLoad, warmRequests int) (*benchRun, []*benchJob) {
	jobs := load.jobs(policy == "told")
	r := newBenchRun(benchPolicy(policy), warmRequests)
	if load.engine != nil {
		r.engine = *load.engine
		r.queue.SetKVCache(r.engine.cache)
	}
	r.run(jobs, load.duration)
	return r, jobs
}

// Parameters of the simulations: the number of earlier requests whose lengths the
// queue has observed, the measured interval since the start, and the number of
// seeds.
const (
	benchWarmRequests = 2000
	benchMeasureFrom  = 20 * time.Second
	benchMeasureTo    = 300 * time.Second
	benchSeeds        = 3
)

func (r benchResults) reportMetrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(r.preemptions), "preemptions")
	b.ReportMetric(r.stallTime.Seconds(), "stall-s")
	b.ReportMetric(float64(r.latencyP95.Milliseconds()), "gap-p95-ms")
	b.ReportMetric(r.goodput, "tokens/s")
	b.ReportMetric(100*r.utilization, "memory-%")
	b.ReportMetric(float64(r.firstTokenP95.Milliseconds()), "first-p95-ms")
	b.ReportMetric(float64(r.shortP99.Milliseconds()), "short-p99-ms")
	b.ReportMetric(float64(r.longP99.Milliseconds()), "long-p99-ms")
	b.ReportMetric(float64(r.smallP99.Milliseconds()), "small-p99-ms")
	b.ReportMetric(100*float64(r.refused+r.expired)/float64(max(r.offered, 1)), "refused-%")
	b.ReportMetric(100*float64(r.smallRefused)/float64(max(r.smallOffered, 1)), "small-refused-%")
}

// BenchmarkAdmission reports the results of each policy in virtual time: with a
// load of 90 % of the capacity, with an engine that slows down with its batch
// ("gaps"), at a peak load of twice the capacity ("crest") and after the peak.
func BenchmarkAdmission(b *testing.B) {
	_, capacity := benchCapacity()
	for _, p := range benchPolicies {
		for seed := uint64(1); seed <= benchSeeds; seed++ {
			b.Run(fmt.Sprintf("load=90/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := runBench(p, benchLoad{seed: seed, requestRate: constantRate(0.9 * capacity), duration: benchMeasureTo}, benchWarmRequests)
				r.results(jobs, benchMeasureFrom, benchMeasureTo).reportMetrics(b)
			})
			b.Run(fmt.Sprintf("load=gaps/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := runBench(p, benchLoad{seed: seed, requestRate: constantRate(slowEngineRate), duration: benchMeasureTo, engine: slowEngine()}, benchWarmRequests)
				r.results(jobs, benchMeasureFrom, benchMeasureTo).reportMetrics(b)
			})
			l := peakLoad(seed, capacity)
			b.Run(fmt.Sprintf("load=crest/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := runBench(p, l, benchWarmRequests)
				r.results(jobs, peakStart, peakEnd).reportMetrics(b)
			})
			b.Run(fmt.Sprintf("load=after/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := runBench(p, l, benchWarmRequests)
				r.results(jobs, peakRecovered, peakRecovered+20*time.Second).reportMetrics(b)
			})
		}
	}
}

// BenchmarkAdmit measures one call of Admit on a loaded queue: 64 items run, 32
// wait, and the KV cache has no free blocks for them.
func BenchmarkAdmit(b *testing.B) {
	q := NewQueue(DefaultQueueLimits())
	q.SetKVCache(KVCache{Blocks: 4096, BlockTokens: 16})
	for _, j := range (benchLoad{seed: 99, duration: 200 * time.Second, requestRate: constantRate(5)}).jobs(false) {
		q.forecaster.lengths.Observe(j.Service, j.Workspace, j.length)
	}
	for i := range 64 {
		it := newTestItem(fmt.Sprint("r", i), func(it *Item) { it.Workspace = fmt.Sprint("w", i%10) })
		q.Offer(it, testStart)
	}
	for _, it := range q.Admit(testStart) {
		q.Progress(it.ID, 900)
	}
	q.SetKVCache(KVCache{Blocks: 2048, BlockTokens: 16})
	for i := range 32 {
		it := newTestItem(fmt.Sprint("q", i), func(it *Item) { it.Workspace = fmt.Sprint("w", i%10) })
		q.Offer(it, testStart)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(q.Admit(testStart)) > 0 {
			b.Fatal("items were admitted although the KV cache is full")
		}
	}
}
