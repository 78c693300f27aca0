package decision

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// benchPolicies are compared by BenchmarkAdmission: the engine alone, a fixed
// number of slots, all mechanisms, all with lengths told in advance, and all
// but one.
var benchPolicies = []string{
	"engine", "fixed64", "all", "told", "no_memory", "no_risk", "no_gap", "no_short", "no_wait", "no_fair",
}

func benchPolicy(name string) QueueLimits {
	l := DefaultQueueLimits()
	switch name {
	case "engine":
		l = QueueLimits{Slots: 4096, Length: 4096}
	case "fixed64":
		l = QueueLimits{Slots: 64, Length: 1024}
	case "no_memory":
		l.Memory = false
	case "no_risk":
		l.MemoryRisk = 0
	case "no_gap":
		l.TokenGap = 0
	case "no_short":
		l.ShortShare = 0
	case "no_wait":
		l.MaxWait = 0
	case "no_fair":
		l.Fair = false
	}
	return l
}

// benchFigures are the results of one run; waits and refusals are those of the
// requests that arrived in the window.
type benchFigures struct {
	offered, preemptions, refused, expired int
	// Of the workspaces that are not large.
	smallOffered, smallRefused int
	stall, gap95               time.Duration
	// goodput is in tokens a second, used the mean part of memory.
	goodput, used float64
	// Times to the first token.
	first95, short99, long99, small99 time.Duration
}

// benchStall is the gap between tokens from which on a stream counts as
// stalled.
const benchStall = 200 * time.Millisecond

// figures sums up a run over the window [from, to).
func (r *benchRun) figures(jobs []*benchJob, from, to time.Duration) benchFigures {
	f := benchFigures{preemptions: r.preemptions, gap95: quantile(r.gaps, 0.95), used: r.usedSum / float64(max(r.steps, 1))}
	for _, g := range r.gaps {
		if g > benchStall {
			f.stall += g
		}
	}
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		f.goodput += float64(r.perSecond[second]) / (to - from).Seconds()
	}
	var first, short, long, small []time.Duration
	for _, j := range jobs {
		if at := j.Arrived.Sub(benchStart); at < from || at >= to {
			continue
		}
		f.offered++
		if j.Workspace[0] == 'w' {
			f.smallOffered++
			if j.refused != "" {
				f.smallRefused++
			}
		}
		switch {
		case j.refused == "expired":
			f.expired++
		case j.refused != "":
			f.refused++
		case j.first.IsZero():
			continue
		}
		wait := j.first.Sub(j.Arrived)
		if j.refused != "" {
			continue
		}
		first = append(first, wait)
		if j.Short {
			short = append(short, wait)
			continue
		}
		long = append(long, wait)
		if j.Workspace[0] == 'w' {
			small = append(small, wait)
		}
	}
	f.first95, f.short99 = quantile(first, 0.95), quantile(short, 0.99)
	f.long99, f.small99 = quantile(long, 0.99), quantile(small, 0.99)
	return f
}

func steady(perSec float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSec }
}

// Times of the crest.
const (
	crestStart = 60 * time.Second
	crestEnd   = 70 * time.Second
	crestQuiet = 75 * time.Second
)

func crest(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < 0 || (at >= crestStart && at < crestEnd) {
			return high
		}
		return low
	}
}

// crestLoad is 90 % of the capacity and twice the capacity during the crest,
// when the surplus comes from one workspace.
func crestLoad(seed uint64, capacity float64) benchLoad {
	return benchLoad{
		seed: seed, perSec: crest(0.9*capacity, 2*capacity), duration: 2 * crestStart,
		surge: func(at time.Duration) bool { return at >= crestStart && at < crestEnd },
	}
}

// gapsRate is a rate at which the slow engine's batch grows until the time
// between tokens is beyond its target.
const gapsRate = 2.6

// slowEngine has memory to spare and is slow with large batches.
func slowEngine() *benchEngine {
	e := defaultBenchEngine()
	e.memory.Blocks *= 8
	e.perSequence = time.Millisecond
	e.perPrefill = 60 * time.Microsecond
	return &e
}

// benchCapacity returns what the engine does under twice the load that it can
// take with all lengths told, in tokens and requests a second.
var benchCapacity = sync.OnceValues(func() (tokens, requests float64) {
	const rate = 15
	l := benchLoad{seed: 42, perSec: steady(rate), duration: 200 * time.Second}
	jobs := l.jobs(true)
	r := newBenchRun(benchPolicy("told"), 0)
	r.play(jobs, l.duration)
	tokens = r.figures(jobs, 50*time.Second, l.duration).goodput
	sum := 0
	for _, j := range jobs {
		sum += j.length
	}
	return tokens, tokens * float64(len(jobs)) / float64(sum)
})

// benchPlay runs a policy through a load; its queue has learned from warm
// earlier requests.
func benchPlay(policy string, l benchLoad, warm int) (*benchRun, []*benchJob) {
	jobs := l.jobs(policy == "told")
	r := newBenchRun(benchPolicy(policy), warm)
	if l.engine != nil {
		r.engine = *l.engine
		r.queue.SetMemory(r.engine.memory)
	}
	r.play(jobs, l.duration)
	return r, jobs
}

const (
	benchWarm  = 2000
	benchFrom  = 20 * time.Second
	benchTo    = 300 * time.Second
	benchSeeds = 3
)

func (f benchFigures) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.preemptions), "preemptions")
	b.ReportMetric(f.stall.Seconds(), "stall-s")
	b.ReportMetric(float64(f.gap95.Milliseconds()), "gap-p95-ms")
	b.ReportMetric(f.goodput, "tokens/s")
	b.ReportMetric(100*f.used, "memory-%")
	b.ReportMetric(float64(f.first95.Milliseconds()), "first-p95-ms")
	b.ReportMetric(float64(f.short99.Milliseconds()), "short-p99-ms")
	b.ReportMetric(float64(f.long99.Milliseconds()), "long-p99-ms")
	b.ReportMetric(float64(f.small99.Milliseconds()), "small-p99-ms")
	b.ReportMetric(100*float64(f.refused+f.expired)/float64(max(f.offered, 1)), "refused-%")
	b.ReportMetric(100*float64(f.smallRefused)/float64(max(f.smallOffered, 1)), "small-refused-%")
}

// BenchmarkAdmission reports the figures of each policy in virtual time at 90 %
// load, with an engine that slows down with its batch, in a crest of twice the
// capacity and after it.
func BenchmarkAdmission(b *testing.B) {
	_, capacity := benchCapacity()
	for _, p := range benchPolicies {
		for seed := uint64(1); seed <= benchSeeds; seed++ {
			b.Run(fmt.Sprintf("load=90/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := benchPlay(p, benchLoad{seed: seed, perSec: steady(0.9 * capacity), duration: benchTo}, benchWarm)
				r.figures(jobs, benchFrom, benchTo).report(b)
			})
			b.Run(fmt.Sprintf("load=gaps/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := benchPlay(p, benchLoad{seed: seed, perSec: steady(gapsRate), duration: benchTo, engine: slowEngine()}, benchWarm)
				r.figures(jobs, benchFrom, benchTo).report(b)
			})
			l := crestLoad(seed, capacity)
			b.Run(fmt.Sprintf("load=crest/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := benchPlay(p, l, benchWarm)
				r.figures(jobs, crestStart, crestEnd).report(b)
			})
			b.Run(fmt.Sprintf("load=after/policy=%s/seed=%d", p, seed), func(b *testing.B) {
				r, jobs := benchPlay(p, l, benchWarm)
				r.figures(jobs, crestQuiet, crestQuiet+20*time.Second).report(b)
			})
		}
	}
}

// BenchmarkAdmit measures one decision of a crowded queue: 64 generations run,
// 32 wait and memory holds them.
func BenchmarkAdmit(b *testing.B) {
	q := NewQueue(DefaultQueueLimits())
	q.SetMemory(Memory{Blocks: 4096, BlockTokens: 16})
	for _, j := range (benchLoad{seed: 99, duration: 200 * time.Second, perSec: steady(5)}).jobs(false) {
		q.ledger.lengths.Observe(j.Service, j.Workspace, j.length)
	}
	for i := range 64 {
		it := item(fmt.Sprint("r", i), func(it *Item) { it.Workspace = fmt.Sprint("w", i%10) })
		q.Offer(it, t0)
	}
	for _, it := range q.Admit(t0) {
		q.Progress(it.ID, 900)
	}
	q.SetMemory(Memory{Blocks: 2048, BlockTokens: 16})
	for i := range 32 {
		it := item(fmt.Sprint("q", i), func(it *Item) { it.Workspace = fmt.Sprint("w", i%10) })
		q.Offer(it, t0)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(q.Admit(t0)) > 0 {
			b.Fatal("memory does not hold the queue")
		}
	}
}
