package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// encodedCase lets the operator add two routes whose prefixes are longer than those of the first
// ones. Before and after that, clients ask for files whose names hold an encoded slash. By the path as
// sent they belong to the first routes, /files/ and /orders/; the path begins with the added
// prefixes only once it is decoded. The requests for /orders/ carry a key that no tenant holds.
func encodedCase(l *lab) bool {
	var mu sync.Mutex
	ranBy := map[string]string{}
	onLine := func(wl workerLine) {
		if wl.what == "runs" {
			mu.Lock()
			defer mu.Unlock()
			ranBy[wl.id] = wl.worker
		}
	}
	services := []map[string]any{plainService("shared"), plainService("private")}
	files, orders := route("r-files", "/files/", "idempotent", "shared", 3000, 2, 2), route("r-orders", "/orders/", "idempotent", "shared", 3000, 2, 2)
	orders["public"] = false
	l.store.write("op/config", configuration(1, services, files, orders))
	own := map[string]bool{}
	for n := range 2 {
		own[l.startPlain("shared", n, 12, 6, 20*time.Millisecond, onLine).id] = true
		l.startPlain("private", n, 12, 6, 20*time.Millisecond, onLine)
	}
	b := newBalancer([]*gateway{l.newGateway("edge-z1-1", 0), l.newGateway("edge-z1-2", 0)})
	b.awaitReady()
	if l.trouble {
		l.store.write("op/config", configuration(2, services, files, orders,
			route("r-private", "/files/private/", "idempotent", "private", 3000, 2, 2), route("r-help", "/orders/help/", "idempotent", "private", 3000, 2, 2)))
		l.note("configuration 2 acknowledged: it adds /files/private/ and /orders/help/")
	}
	time.Sleep(configApply + stableWindow)
	wrong, keyless, requests := 0, 0, 0
	send := func(n int, path string, header map[string]string) string {
		c := &client{l: l, b: b, n: n}
		defer c.close()
		a := c.send(http.MethodGet, path, "", header, 3*time.Second, nil)
		requests++
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		return ranBy[a.id]
	}
	for n := range 40 {
		if worker := send(n, "/files/private%2Fnote-"+strconv.Itoa(n), nil); worker != "" && !own[worker] {
			wrong++
			l.note("ROUTE: the request for /files/ is run by %s", worker)
		}
		if worker := send(n, "/orders/help%2Fnote-"+strconv.Itoa(n), map[string]string{"X-Key": "no-such-key"}); worker != "" {
			keyless++
			l.note("ROUTE: a request without a valid key is run by %s", worker)
		}
	}
	l.note("requests %d, run by the service of another route %d, run with a key that no configuration held %d", requests, wrong, keyless)
	return wrong > 0 || keyless > 0
}
