package main

import (
	"fmt"
	"sync"
	"time"
)

// size is the size of the deployment of a case, and the times and the memory that its site gives.
type size struct {
	workers, slots, queue int
	// memoryMB is the memory of a gateway's machine.
	memoryMB int
	// drain is how long a worker serves on after the store has accepted that it drains: drain_ms
	// and a little longer.
	drain time.Duration
}

var sizes = map[string]size{
	"held-source":  {workers: 8, slots: 4, queue: 2, memoryMB: 284, drain: 3300 * time.Millisecond},
	"last-tenant":  {workers: 1, slots: 24, queue: 24, memoryMB: 284, drain: 3300 * time.Millisecond},
	"dropped-call": {workers: 8, slots: 24, queue: 24, memoryMB: 184, drain: 4300 * time.Millisecond},
}

// settled is how long all runs undisturbed before anything else: longer than stable_window_ms.
const settled = 6 * time.Second

// group runs streams beside each other.
type group struct {
	sync.WaitGroup
	mu      sync.Mutex
	results map[string]result
}

func (g *group) send(f *fleet, id, route string, prompt, output int) {
	g.Go(func() {
		out := f.stream(id, route, prompt, output)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.results[id] = out
	})
}

// heldSource: the workers are full for a moment and reject requests with Retry-After. Within that
// time, one of eight is drained, as planned work; its streams go on at their backups.
func heldSource(f *fleet, trouble bool) (bool, error) {
	time.Sleep(settled)
	g := &group{results: map[string]result{}}
	for _, w := range f.workers {
		w.retryAfter = "5"
	}
	for i := range 16 {
		g.send(f, fmt.Sprintf("long-%d", i), "long", 900, 800)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	for i := range 64 {
		g.send(f, fmt.Sprintf("short-%d", i), "short", 300, 12)
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	leaving := f.busiest(func(w *worker) bool { return w.heldFor() > 4*time.Second })
	if leaving == nil {
		g.Wait()
		return false, fmt.Errorf("no worker that keeps its runs has a long stream and has rejected a request")
	}
	if trouble {
		f.drain(leaving)
	}
	g.Wait()
	return f.verdict(g), nil
}

// droppedCall: the workers drop idle connections without notice. One of eight is drained, as planned
// work; its streams go on at their backups, one after the other.
func droppedCall(f *fleet, trouble bool) (bool, error) {
	time.Sleep(settled)
	g := &group{results: map[string]result{}}
	for _, w := range f.workers {
		w.dropIdle = 150 * time.Millisecond
	}
	for i := range 40 {
		g.send(f, fmt.Sprintf("long-%d", i), "long", 400, 800)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(2600 * time.Millisecond)
	leaving := f.busiest(func(w *worker) bool { return w.streams() > 1 })
	if leaving == nil {
		g.Wait()
		return false, fmt.Errorf("no worker that keeps its runs has two long streams")
	}
	if trouble {
		f.drain(leaving)
	}
	g.Wait()
	return f.verdict(g), nil
}

// busiest returns the worker with the most long streams, of those that keep their runs and fit.
func (f *fleet) busiest(fits func(*worker) bool) *worker {
	var best *worker
	for _, w := range f.workers {
		if w.keeps && w.streams() > 0 && fits(w) && (best == nil || w.streams() > best.streams()) {
			best = w
		}
	}
	return best
}

// verdict reports whether a request went on at a worker while the one before still worked on it.
func (f *fleet) verdict(g *group) bool {
	time.Sleep(500 * time.Millisecond)
	counts := map[string]int{}
	for id, out := range g.results {
		key := fmt.Sprintf("status %d, whole %v", out.status, out.complete)
		counts[key]++
		_ = id
	}
	f.record.add("answers: %v", counts)
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	f.record.add("requests that went on while the worker before still worked on them 400 ms later: %d", f.model.twice)
	return f.model.twice > 0
}
