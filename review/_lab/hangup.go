package main

import (
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	grace         = 8 * time.Second
	lateSigterm   = 3 * time.Second
	lossSlack     = 200 * time.Millisecond
	stableWindow  = 4 * time.Second
	configApply   = 3 * time.Second
	clientLimit   = 5 * time.Second
	startOfEvents = 6 * time.Second
)

// hangupCase stops one of two gateways with SIGTERM and sends it SIGHUP a second later.
// TROUBLE=term sends the SIGTERM only.
func hangupCase(l *lab) bool {
	var mu sync.Mutex
	arrived, ran := map[string]time.Time{}, map[string]time.Time{}
	onLine := func(wl workerLine) {
		mu.Lock()
		defer mu.Unlock()
		switch wl.what {
		case "arrived":
			arrived[wl.id] = wl.at
		case "ran":
			ran[wl.id] = wl.at
		}
	}
	l.store.write("op/config", configuration(1, []map[string]any{plainService("orders")}, route("r-confirm", "/confirm/", "non_idempotent", "orders", 5000, 1, 2)))
	for n := range 3 {
		l.startPlain("orders", n, 12, 12, 1200*time.Millisecond, onLine)
	}
	gateways := []*gateway{l.newGateway("edge-z1-1", 0), l.newGateway("edge-z1-2", 0)}
	b := newBalancer(gateways)
	b.awaitReady()
	began := time.Now()
	end := began.Add(startOfEvents + grace + 6*time.Second)
	var answers []answer
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			c := &client{l: l, b: b, n: n}
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for time.Now().Before(end) {
				a := c.send(http.MethodPost, "/confirm/order", "one carton", nil, clientLimit, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(began.Add(startOfEvents)))
	victim := gateways[0]
	first := victim.process()
	var sigterm time.Time
	if l.trouble {
		go victim.restartAfterEnd(500 * time.Millisecond)
		sigterm = time.Now()
		l.signal(first, syscall.SIGTERM)
		time.Sleep(time.Second)
		if os.Getenv("TROUBLE") != "term" {
			l.signal(first, syscall.SIGHUP)
		}
	}
	wg.Wait()
	return judgeLost(l, victim, sigterm, answers, arrived, ran)
}

// judgeLost applies the rule LOST to the requests around the SIGTERM of a machine: one that has
// been passed on to a worker ends without a complete answer.
func judgeLost(l *lab, victim *gateway, sigterm time.Time, answers []answer, arrived, ran map[string]time.Time) bool {
	lost, served := 0, 0
	for i := range answers {
		a := &answers[i]
		if a.served() {
			served++
		}
		at, passedOn := arrived[a.id]
		if a.complete || !passedOn || a.gateway != victim {
			continue
		}
		l.noteAt(a.endedAt, "%s: passed on at %.3f, no complete answer after %.3f s", a.id, l.since(at).Seconds(), a.endedAt.Sub(a.sentAt).Seconds())
		switch {
		case sigterm.IsZero() || a.endedAt.Before(sigterm) || a.endedAt.After(sigterm.Add(grace+time.Second)):
			l.noteAt(a.endedAt, "%s: not around the planned work", a.id)
		case a.endedAt.Sub(a.sentAt) >= clientLimit:
			l.noteAt(a.endedAt, "%s: its time had run out", a.id)
		case a.sentAt.Before(sigterm.Add(lateSigterm)) && a.endedAt.After(sigterm.Add(grace*5/6)):
			l.noteAt(a.endedAt, "%s: at work in the last sixth of the grace period", a.id)
		default:
			lost++
			l.noteAt(a.endedAt, "%s: LOST (its worker ran it to the end: %v)", a.id, !ran[a.id].IsZero())
		}
	}
	l.note("requests %d, served %d, LOST %d", len(answers), served, lost)
	return lost > 0
}
