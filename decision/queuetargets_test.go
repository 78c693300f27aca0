package decision

import (
	"strconv"
	"testing"
	"time"
)

// ratioWithFloor returns a/b. The floor keeps a very small b from dominating
// the result.
func ratioWithFloor(a, b, floor float64) float64 { return a / max(b, floor) }

// TestAdmissionAtNinetyPercent guards against admission that lets the KV cache
// overflow, so that the engine preempts and streams stall, or that avoids this at
// the cost of throughput or of the waits of short work. It compares performance
// with targets at 90 % load over several seeds in virtual time.
func TestAdmissionAtNinetyPercent(t *testing.T) {
	_, capacity := benchCapacity()
	var engineOnly, allMechanisms, lengthsKnown benchResults
	var shortOnlyP99s []time.Duration
	accumulate := func(policy string, total *benchResults, l benchLoad) {
		r, jobs := runBench(policy, l, benchWarmRequests)
		results := r.results(jobs, benchMeasureFrom, benchMeasureTo)
		total.preemptions += results.preemptions
		total.stallTime += results.stallTime
		total.latencyP95 = max(total.latencyP95, results.latencyP95)
		total.goodput += results.goodput / benchSeeds
		total.shortP99 += results.shortP99 / benchSeeds
	}
	for seed := uint64(1); seed <= benchSeeds; seed++ {
		l := benchLoad{seed: seed, requestRate: constantRate(0.9 * capacity), duration: benchMeasureTo}
		accumulate("engine", &engineOnly, l)
		accumulate("all", &allMechanisms, l)
		accumulate("told", &lengthsKnown, l)
		l.shortOnly = true
		r, jobs := runBench("all", l, benchWarmRequests)
		shortOnlyP99s = append(shortOnlyP99s, r.results(jobs, benchMeasureFrom, benchMeasureTo).shortP99)
	}
	t.Logf("preemptions %d (engine alone %d), stall time %v (engine alone %v), short p99 %v (without long work %v), goodput %.2f of the engine alone, %.2f of known lengths",
		allMechanisms.preemptions, engineOnly.preemptions, allMechanisms.stallTime, engineOnly.stallTime, allMechanisms.shortP99, quantile(shortOnlyP99s, 0.5),
		allMechanisms.goodput/engineOnly.goodput, allMechanisms.goodput/lengthsKnown.goodput)
	if engineOnly.preemptions < 100 {
		t.Fatalf("the engine alone preempts only %d times: the load is too low for the comparison", engineOnly.preemptions)
	}
	if r := ratioWithFloor(float64(allMechanisms.preemptions), float64(engineOnly.preemptions), 1); r > 0.1 {
		t.Errorf("preemptions are %.2f of those of the engine alone, target 0.1", r)
	}
	if r := ratioWithFloor(allMechanisms.stallTime.Seconds(), engineOnly.stallTime.Seconds(), 1); r > 0.1 {
		t.Errorf("stall time is %.2f of that of the engine alone, target 0.1", r)
	}
	if allMechanisms.latencyP95 > 50*time.Millisecond {
		t.Errorf("p95 of the inter-token latency is %v, target 50 ms", allMechanisms.latencyP95)
	}
	if r := ratioWithFloor(allMechanisms.goodput, lengthsKnown.goodput, 1); r < 1/1.25 {
		t.Errorf("goodput is %.2f of that with known lengths, target 0.8", r)
	}
	if r := ratioWithFloor(allMechanisms.shortP99.Seconds(), quantile(shortOnlyP99s, 0.5).Seconds(), 0.001); r > 1.5 {
		t.Errorf("short work's p99 wait is %.2f times that without long work, target 1.5 (%v, %v)", r, allMechanisms.shortP99, shortOnlyP99s)
	}
}

// Requests that start together and end at the same length are the case in which
// forecast errors add up most. The forecast must neither cause preemptions nor
// leave the KV cache idle, with and without observed lengths.
func TestKVForecastWithEqualLengths(t *testing.T) {
	for _, observations := range []int{0, 24, 200} {
		limits := DefaultQueueLimits()
		limits.MaxWait = 0
		r := newBenchRun(limits, 0)
		r.engine.cache = KVCache{Blocks: 128, BlockTokens: 16}
		r.queue.SetKVCache(r.engine.cache)
		for range observations {
			r.queue.forecaster.lengths.Observe("guide", "w", 300)
		}
		var jobs []*benchJob
		for i := range 24 {
			it := newTestItem(strconv.Itoa(i), func(it *Item) {
				it.Arrived, it.Deadline = benchStart, benchStart.Add(time.Hour)
				it.PromptTokens, it.MaxTokens = 10, benchMaxTokens
			})
			jobs = append(jobs, &benchJob{Item: it, length: 300})
		}
		r.run(jobs, time.Hour)
		if r.preemptions > 0 {
			t.Errorf("%d preemptions after %d observations", r.preemptions, observations)
		}
		if observations > 0 && r.utilizationSum/float64(r.steps) < 0.4 {
			t.Errorf("KV cache utilization is %.2f after %d observations, want at least 0.4", r.utilizationSum/float64(r.steps), observations)
		}
	}
}

// A queue that has observed other lengths than the actual ones must neither
// cause many preemptions nor leave its engine idle for long.
func TestMispredictedLengths(t *testing.T) {
	_, capacity := benchCapacity()
	l := benchLoad{seed: 1, requestRate: constantRate(0.9 * capacity), duration: benchMeasureTo}
	r, jobs := runBench("engine", l, 0)
	engineOnly := r.results(jobs, 200*time.Second, benchMeasureTo)
	for _, scale := range []float64{0.1, 10} {
		r := newBenchRun(DefaultQueueLimits(), 0)
		for _, j := range (benchLoad{seed: 99, duration: 1000 * time.Second, requestRate: constantRate(5)}).jobs(false) {
			r.queue.forecaster.lengths.Observe(j.Service, j.Workspace, max(int(scale*float64(j.length)), 1))
		}
		jobs := l.jobs(false)
		r.run(jobs, benchMeasureTo)
		results := r.results(jobs, 200*time.Second, benchMeasureTo)
		if r := ratioWithFloor(float64(results.preemptions), float64(engineOnly.preemptions), 1); r > 0.1 {
			t.Errorf("with observed lengths scaled by %v: %d preemptions, engine alone %d", scale, results.preemptions, engineOnly.preemptions)
		}
		if r := ratioWithFloor(results.goodput, engineOnly.goodput, 1); r < 1/1.25 {
			t.Errorf("with observed lengths scaled by %v: goodput is %.2f of that of the engine alone after 200 s", scale, r)
		}
	}
}

// TestAdmissionAtPeakLoad guards against a queue that builds up at a peak of twice
// the capacity: accepted work would expire, short work would wait, throughput would
// fall, and the queue would delay work long after the peak.
func TestAdmissionAtPeakLoad(t *testing.T) {
	tokens, capacity := benchCapacity()
	var goodput float64
	var shortP99Sum, shortOnlyP99Sum time.Duration
	for seed := uint64(1); seed <= benchSeeds; seed++ {
		l := peakLoad(seed, capacity)
		r, jobs := runBench("all", l, benchWarmRequests)
		atPeak := r.results(jobs, peakStart, peakEnd)
		goodput += atPeak.goodput / benchSeeds
		shortP99Sum += atPeak.shortP99
		if atPeak.expired > 0 {
			t.Errorf("seed %d: %d requests were accepted and expired later", seed, atPeak.expired)
		}
		recovered := r.results(jobs, peakRecovered, peakRecovered+20*time.Second)
		if recovered.firstTokenP95 > 450*time.Millisecond {
			t.Errorf("seed %d: first token p95 is %v after 5 s of recovery from the peak, target 450 ms", seed, recovered.firstTokenP95)
		}
		l.shortOnly = true
		r, jobs = runBench("all", l, benchWarmRequests)
		shortOnlyP99Sum += r.results(jobs, peakStart, peakEnd).shortP99
	}
	t.Logf("goodput is %.2f of the capacity, short p99 is %.2f of that without long work", goodput/tokens, ratioWithFloor(shortP99Sum.Seconds(), shortOnlyP99Sum.Seconds(), 0.001))
	if goodput < 0.95*tokens {
		t.Errorf("goodput %.0f tokens/s, target 0.95 of %.0f", goodput, tokens)
	}
	if r := ratioWithFloor(shortP99Sum.Seconds(), shortOnlyP99Sum.Seconds(), 0.001); r > 1.5 {
		t.Errorf("short work's p99 wait is %.2f times that without long work, target 1.5", r)
	}
}
