package decision

import (
	"strconv"
	"testing"
	"time"
)

// ratio returns a/b, where the floor keeps a vanishing b from counting.
func ratio(a, b, floor float64) float64 { return a / max(b, floor) }

// TestAdmissionAtNinetyPercent checks the stated targets at 90 % load over a
// few seeds in virtual time.
func TestAdmissionAtNinetyPercent(t *testing.T) {
	_, capacity := benchCapacity()
	var engine, all, told benchFigures
	var alone []time.Duration
	sum := func(policy string, into *benchFigures, l benchLoad) {
		r, jobs := benchPlay(policy, l, benchWarm)
		f := r.figures(jobs, benchFrom, benchTo)
		into.preemptions += f.preemptions
		into.stall += f.stall
		into.gap95 = max(into.gap95, f.gap95)
		into.goodput += f.goodput / benchSeeds
		into.short99 += f.short99 / benchSeeds
	}
	for seed := uint64(1); seed <= benchSeeds; seed++ {
		l := benchLoad{seed: seed, perSec: steady(0.9 * capacity), duration: benchTo}
		sum("engine", &engine, l)
		sum("all", &all, l)
		sum("told", &told, l)
		l.shortOnly = true
		r, jobs := benchPlay("all", l, benchWarm)
		alone = append(alone, r.figures(jobs, benchFrom, benchTo).short99)
	}
	t.Logf("preemptions %d of %d, stalled %v of %v, short p99 %v (alone %v), goodput %.2f of the engine's alone, %.2f of told",
		all.preemptions, engine.preemptions, all.stall, engine.stall, all.short99, quantile(alone, 0.5),
		all.goodput/engine.goodput, all.goodput/told.goodput)
	if engine.preemptions < 100 {
		t.Fatalf("the engine alone preempts %d times: the load tells nothing", engine.preemptions)
	}
	if r := ratio(float64(all.preemptions), float64(engine.preemptions), 1); r > 0.1 {
		t.Errorf("preemptions are %.2f of the engine's alone, target 0.1", r)
	}
	if r := ratio(all.stall.Seconds(), engine.stall.Seconds(), 1); r > 0.1 {
		t.Errorf("stall time is %.2f of the engine's alone, target 0.1", r)
	}
	if all.gap95 > 50*time.Millisecond {
		t.Errorf("p95 of the time between tokens is %v, target 50 ms", all.gap95)
	}
	if r := ratio(all.goodput, told.goodput, 1); r < 1/1.25 {
		t.Errorf("goodput is %.2f of that with told lengths", r)
	}
	if r := ratio(all.short99.Seconds(), quantile(alone, 0.5).Seconds(), 0.001); r > 1.5 {
		t.Errorf("short work's p99 wait is %.2f times that without long work, target 1.5 (%v, %v)", r, all.short99, alone)
	}
}

// TestMemoryWithEqualLengths checks the predictor where errors add up most:
// generations that start together and end at the same length, unseen before
// and well known.
func TestMemoryWithEqualLengths(t *testing.T) {
	for _, seen := range []int{0, 24, 200} {
		limits := DefaultQueueLimits()
		limits.MaxWait = 0
		r := newBenchRun(limits, 0)
		r.engine.memory = Memory{Blocks: 128, BlockTokens: 16}
		r.queue.SetMemory(r.engine.memory)
		for range seen {
			r.queue.ledger.lengths.Observe("guide", "w", 300)
		}
		var jobs []*benchJob
		for i := range 24 {
			it := item(strconv.Itoa(i), func(it *Item) {
				it.Arrived, it.Deadline = benchStart, benchStart.Add(time.Hour)
				it.PromptTokens, it.MaxTokens = 10, benchMaxTokens
			})
			jobs = append(jobs, &benchJob{Item: it, length: 300})
		}
		r.play(jobs, time.Hour)
		if r.preemptions > 0 {
			t.Errorf("%d preemptions after %d observations", r.preemptions, seen)
		}
		if seen > 0 && r.usedSum/float64(r.steps) < 0.4 {
			t.Errorf("memory idle: %.2f used after %d observations", r.usedSum/float64(r.steps), seen)
		}
	}
}

// TestWrongPredictor checks that a queue which learned other lengths neither
// thrashes its engine nor leaves it idle for long.
func TestWrongPredictor(t *testing.T) {
	_, capacity := benchCapacity()
	l := benchLoad{seed: 1, perSec: steady(0.9 * capacity), duration: benchTo}
	r, jobs := benchPlay("engine", l, 0)
	engine := r.figures(jobs, 200*time.Second, benchTo)
	for _, scale := range []float64{0.1, 10} {
		r := newBenchRun(DefaultQueueLimits(), 0)
		for _, j := range (benchLoad{seed: 99, duration: 1000 * time.Second, perSec: steady(5)}).jobs(false) {
			r.queue.ledger.lengths.Observe(j.Service, j.Workspace, max(int(scale*float64(j.length)), 1))
		}
		jobs := l.jobs(false)
		r.play(jobs, benchTo)
		f := r.figures(jobs, 200*time.Second, benchTo)
		if r := ratio(float64(f.preemptions), float64(engine.preemptions), 1); r > 0.1 {
			t.Errorf("learned %v times the lengths: %d preemptions, the engine alone %d", scale, f.preemptions, engine.preemptions)
		}
		if r := ratio(f.goodput, engine.goodput, 1); r < 1/1.25 {
			t.Errorf("learned %v times the lengths: goodput %.2f of the engine's alone after 200 s", scale, r)
		}
	}
}

// TestAdmissionAtCrest checks the targets at a crest of twice the capacity:
// throughput, short work as if uncrowded, refusals at once and recovery.
func TestAdmissionAtCrest(t *testing.T) {
	tokens, capacity := benchCapacity()
	var goodput float64
	var short, alone time.Duration
	for seed := uint64(1); seed <= benchSeeds; seed++ {
		l := crestLoad(seed, capacity)
		r, jobs := benchPlay("all", l, benchWarm)
		during := r.figures(jobs, crestStart, crestEnd)
		goodput += during.goodput / benchSeeds
		short += during.short99
		if during.expired > 0 {
			t.Errorf("seed %d: %d requests were accepted and refused later", seed, during.expired)
		}
		after := r.figures(jobs, crestQuiet, crestQuiet+20*time.Second)
		if after.first95 > 450*time.Millisecond {
			t.Errorf("seed %d: first token p95 is %v from 5 s after the crest on, target 450 ms", seed, after.first95)
		}
		l.shortOnly = true
		r, jobs = benchPlay("all", l, benchWarm)
		alone += r.figures(jobs, crestStart, crestEnd).short99
	}
	t.Logf("goodput %.2f of capacity, short p99 %.2f of that alone", goodput/tokens, ratio(short.Seconds(), alone.Seconds(), 0.001))
	if goodput < 0.95*tokens {
		t.Errorf("goodput %.0f tokens/s, target 0.95 of %.0f", goodput, tokens)
	}
	if r := ratio(short.Seconds(), alone.Seconds(), 0.001); r > 1.5 {
		t.Errorf("short work's p99 wait is %.2f times that without long work, target 1.5", r)
	}
}
