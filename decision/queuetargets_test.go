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
