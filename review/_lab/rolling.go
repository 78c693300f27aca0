package main

import (
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case and bounds of the pages.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 54
	rollGap     = time.Second
	rollPerS    = 38
)

// rollingCase stops and starts four gateways in turn, while the workers of a service are full.
func rollingCase(l *lab) bool {
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	onLine := func(wl workerLine) {
		if wl.what == "arrived" {
			mu.Lock()
			defer mu.Unlock()
			arrivals[wl.id] = append(arrivals[wl.id], wl.at)
		}
	}
	l.store.write("op/config", configuration(1, []map[string]any{plainService("orders")}, route("r-confirm", "/confirm/", "non_idempotent", "orders", 1200, 1, 2)))
	for n := range 3 {
		l.startPlain("orders", n, 2, 1, 600*time.Millisecond, onLine)
	}
	var gateways []*gateway
	for _, name := range []string{"edge-z1-1", "edge-z1-2", "edge-z1-3", "edge-z1-4"} {
		gateways = append(gateways, l.newGateway(name, 0))
	}
	b := newBalancer(gateways)
	b.awaitReady()
	time.Sleep(4 * time.Second)
	began := time.Now()
	end := began.Add(24 * time.Second)
	var sent []time.Time
	var wg sync.WaitGroup
	const clients = 64
	for n := range clients {
		wg.Go(func() {
			c := &client{l: l, b: b, n: n}
			for at := began.Add(time.Duration(n) * time.Second / rollPerS); at.Before(end); at = at.Add(clients * time.Second / rollPerS) {
				time.Sleep(time.Until(at))
				a := c.send(http.MethodPost, "/confirm/order", "one carton", nil, 2500*time.Millisecond, nil)
				mu.Lock()
				if !a.unread {
					sent = append(sent, a.sentAt)
				}
				mu.Unlock()
			}
		})
	}
	if l.trouble {
		for i, g := range gateways {
			time.Sleep(time.Until(began.Add(time.Second + time.Duration(i)*rollGap)))
			go g.restartAfterEnd(300 * time.Millisecond)
			l.signal(g.process(), syscall.SIGTERM)
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeBudget(l, arrivals, sent)
}

// judgeBudget applies the rule BUDGET: in some window, the service gets more arrivals beyond the
// first of each request than the ratio allows for its requests, plus the slack. The requests are
// counted in that window, the one before it or the one half a window before it.
func judgeBudget(l *lab, arrivals map[string][]time.Time, sent []time.Time) bool {
	var again []time.Time
	for _, at := range arrivals {
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		again = append(again, at[1:]...)
	}
	sort.Slice(again, func(i, j int) bool { return again[i].Before(again[j]) })
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstAllowed, worstRepeats := -1e9, 0.0, 0
	var worstFrom time.Time
	for _, from := range again {
		requests := max(count(sent, from), count(sent, from.Add(-retryWindow/2)), count(sent, from.Add(-retryWindow)))
		repeats, allowed := count(again, from), retryRatio*float64(requests)+retrySlack
		if over := float64(repeats) - allowed; over > worst {
			worst, worstAllowed, worstRepeats, worstFrom = over, allowed, repeats, from
		}
	}
	l.note("requests %d, repeats %d; worst window from %.3f s: %d repeats, %.1f allowed", len(sent), len(again), l.since(worstFrom).Seconds(), worstRepeats, worstAllowed)
	return worst > 0
}
