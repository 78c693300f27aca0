package main

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	statusWorkers = 12
	crashed       = 2
	crashTime     = 4500 * time.Millisecond
	statusWork    = 1500 * time.Millisecond
	statusClients = 160
)

// quarantineCase crashes two of twelve workers at once, while clients ask for one resource on a
// route that was added, and for many on a first route.
func quarantineCase(l *lab) bool {
	services := []map[string]any{plainService("shop")}
	first := route("r-first", "/items/", "idempotent", "shop", 6000, 2, 2)
	l.store.write("op/config", configuration(1, services, first))
	var workers []*plain
	for n := range statusWorkers {
		workers = append(workers, l.startPlain("shop", n, 24, 12, statusWork, nil))
	}
	b := newBalancer([]*gateway{l.newGateway("edge-z1-1", 0), l.newGateway("edge-z1-2", 0)})
	b.awaitReady()
	began := time.Now()
	l.store.write("op/config", configuration(2, services, first, route("r-added", "/prices/", "idempotent", "shop", 6000, 2, 2)))
	l.note("configuration 2 acknowledged: it adds /prices/")
	time.Sleep(configApply)
	end := began.Add(45 * time.Second)
	var mu sync.Mutex
	answers := map[string][]answer{}
	var wg sync.WaitGroup
	for n := range statusClients {
		wg.Go(func() {
			c := &client{l: l, b: b, n: n}
			time.Sleep(time.Duration(n) * statusWork / statusClients)
			for k := 0; time.Now().Before(end); k++ {
				kind, path := "added", "/prices/today"
				if n%4 == 3 {
					kind, path = "first", "/items/"+strconv.Itoa(n)+"-"+strconv.Itoa(k)
				}
				a := c.send(http.MethodGet, path, "", nil, 6*time.Second, nil)
				mu.Lock()
				answers[kind] = append(answers[kind], a)
				mu.Unlock()
				if !a.served() {
					wait := time.Second
					if seconds, err := strconv.ParseFloat(a.retryAfter, 64); err == nil {
						wait = max(wait, time.Duration(seconds*float64(time.Second)))
					}
					time.Sleep(wait)
				}
			}
		})
	}
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	crash := time.Now()
	if l.trouble {
		for _, w := range workers[:crashed] {
			l.signal(w.proc, syscall.SIGKILL)
		}
		for _, w := range workers[:crashed] {
			go func() {
				// The store removes the entry after three heartbeat intervals of silence.
				time.Sleep(3600 * time.Millisecond)
				l.store.drop("servers/" + w.id)
				time.Sleep(crashTime - 3600*time.Millisecond)
				w.start(2)
			}()
		}
	}
	wg.Wait()
	return judgeAdded(l, answers, crash.Add(crashTime+stableWindow+configApply))
}

// judgeAdded applies the rule CONFIG in steady state: machines in touch get twenty or more
// requests on routes that were added, and serve them less than a quarter as often as those on
// the first routes.
func judgeAdded(l *lab, answers map[string][]answer, steady time.Time) bool {
	share, count := map[string]float64{}, map[string]int{}
	for _, kind := range []string{"first", "added"} {
		served, before, beforeServed := 0, 0, 0
		statuses := map[int]int{}
		for i := range answers[kind] {
			a := &answers[kind][i]
			if a.sentAt.Before(steady) {
				before++
				if a.served() {
					beforeServed++
				}
				continue
			}
			count[kind]++
			statuses[a.status]++
			if a.served() {
				served++
			}
		}
		share[kind] = float64(served) / float64(max(count[kind], 1))
		l.note("%s route: before %d of %d served; in steady state from %.1f s on %d of %d, statuses %v",
			kind, beforeServed, before, l.since(steady).Seconds(), served, count[kind], statuses)
	}
	return count["added"] >= 20 && share["added"] < share["first"]/4
}
