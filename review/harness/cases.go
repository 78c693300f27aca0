package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(dir string){
	"hangup-in-stop": hangupInStop,
	"switch-beside":  switchBeside,
}

const (
	storeHost   = "127.0.41.1"
	gatewayHost = "127.0.42.1"
	engineHost  = "127.0.43."
	plainHost   = "127.0.44."
)

// hangupInStop: a gateway gets SIGTERM while it serves requests, and SIGHUP a second later.
func hangupInStop(dir string) {
	s := startStore(storeHost)
	s.put("op/config", config(7, nil))
	f := &fleet{}
	for i := 1; i <= 2; i++ {
		w := f.start(s, fmt.Sprintf("i-e%d", i), fmt.Sprintf("%s%d", engineHost, i), "kalamu", "pwani-a")
		w.interval, w.events = 50*time.Millisecond, 60
	}
	for i := 1; i <= 3; i++ {
		w := f.start(s, fmt.Sprintf("i-p%d", i), fmt.Sprintf("%s%d", plainHost, i), "duka", "pwani-a")
		w.work = 1800 * time.Millisecond
	}
	port := freePort(gatewayHost, engineHost+"1", engineHost+"2")
	g := startGateway(dir, "edge-pwani-a-1", "pwani-a", gatewayHost, port, s.addr)
	g.waitReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	request := func(method, path, id, extra, body string) {
		wg.Go(func() {
			r := send(g.front, method, path, id, extra, body, nil)
			if r.status == 0 || !r.whole {
				mu.Lock()
				lost = append(lost, id)
				mu.Unlock()
			}
		})
	}
	for i := range 6 {
		request("POST", "/lohu930/2f", fmt.Sprintf("draft-%d", i), draftHeader, "notes")
		request("POST", "/pule252/2f", fmt.Sprintf("confirm-%d", i), "X-Deadline-Ms: 2500\r\n", "order")
	}
	time.Sleep(700 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		text, _ := os.ReadFile(g.settings)
		_ = os.WriteFile(g.settings, append(text, '\n'), 0o600)
		g.signal(syscall.SIGHUP)
	}
	wg.Wait()
	if len(lost) > 0 {
		quit(1, "LOST broken: %d of 12 requests that the gateway had read and passed on have no complete answer: %v", len(lost), lost)
	}
	quit(0, "LOST held: all 12 requests have a complete answer")
}

// stillAtWork is the time after which a worker must have ended its run of a request that
// goes on at another worker.
const stillAtWork = 400 * time.Millisecond

// switchBeside: one of eight engine workers is emptied. It does not drop a request when its
// connection closes.
func switchBeside(dir string) {
	s := startStore(storeHost)
	s.put("op/config", config(7, nil))
	f := &fleet{}
	var hosts []string
	var workers []*worker
	for i := 1; i <= 8; i++ {
		host := fmt.Sprintf("%s%d", engineHost, i)
		hosts = append(hosts, host)
		w := f.start(s, fmt.Sprintf("i-e%d", i), host, "kalamu", "pwani-a")
		w.events = 80
		workers = append(workers, w)
	}
	port := freePort(append([]string{gatewayHost}, hosts...)...)
	for i, w := range workers {
		startSidecar(dir, fmt.Sprintf("side-pwani-a-%d", i+1), hosts[i], port, w.addr)
	}
	g := startGateway(dir, "edge-pwani-a-1", "pwani-a", gatewayHost, port, s.addr)
	g.waitReady()
	time.Sleep(time.Second)
	leaving := workers[0]
	leaving.keepsRunning = true
	var wg sync.WaitGroup
	for i := range 16 {
		id := fmt.Sprintf("draft-%d", i)
		wg.Go(func() { send(g.front, "POST", "/lohu930/2f", id, draftHeader, "notes", nil) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2800 * time.Millisecond)
	leaving.mu.Lock()
	n := len(leaving.running)
	leaving.mu.Unlock()
	if n == 0 {
		quit(2, "no request runs at the worker that is to leave")
	}
	if trouble {
		leaving.setState("draining")
		leaving.publish(s)
		note("worker %s, which runs %d requests, is draining", leaving.id, n)
		time.AfterFunc(6*time.Second, func() {
			note("worker %s has left", leaving.id)
			s.remove("servers/" + leaving.id)
			leaving.stop()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := 0
	for _, next := range f.runs {
		if next.first == 0 {
			continue
		}
		for _, before := range f.runs {
			if before.id != next.id || before == next || before.started.After(next.started) {
				continue
			}
			at := next.started.Add(stillAtWork)
			if before.ended.IsZero() || before.ended.After(at) {
				broken++
				note("%s goes on at %s at %.3f, %s works on it until %.3f", next.id, next.worker, next.started.Sub(begun).Seconds(), before.worker, before.ended.Sub(begun).Seconds())
			}
		}
	}
	if broken > 0 {
		quit(1, "TWICE broken: %d requests went on at another worker while the worker before still worked on them", broken)
	}
	quit(0, "TWICE held")
}
