package main

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case and bounds of the pages.
const (
	memoryMB       = 134
	uploadBytes    = 4 << 20
	uploadPeriod   = 5 * time.Second
	uploadWork     = 2500 * time.Millisecond
	uploadClients  = 72
	burstX         = 1.7
	burstTime      = 3 * time.Second
	maxLostByRule  = 3
	memoryInterval = 10 * time.Millisecond
)

// uploadsCase sends requests with bodies of the largest allowed size and lets the traffic grow to
// 1.7 times its size for three seconds.
func uploadsCase(l *lab) bool {
	var mu sync.Mutex
	arrived := map[string]time.Time{}
	onLine := func(wl workerLine) {
		if wl.what == "arrived" {
			mu.Lock()
			defer mu.Unlock()
			arrived[wl.id] = wl.at
		}
	}
	l.store.write("op/config", configuration(1, []map[string]any{plainService("designs")}, route("r-designs", "/designs/", "non_idempotent", "designs", 8000, 1, 2)))
	for n := range 3 {
		l.startPlain("designs", n, 48, 24, uploadWork, onLine)
	}
	gateways := []*gateway{l.newGateway("edge-z1-1", 0), l.newGateway("edge-z1-2", 0)}
	b := newBalancer(gateways)
	b.awaitReady()
	for _, g := range gateways {
		go l.limitMemory(g, memoryMB)
	}
	began := time.Now()
	burst := began.Add(12 * time.Second)
	end := burst.Add(12 * time.Second)
	body := strings.Repeat("x", uploadBytes)
	var answers []answer
	var wg sync.WaitGroup
	client1 := func(n int, at, until time.Time) {
		wg.Go(func() {
			c := &client{l: l, b: b, n: n}
			for ; at.Before(until); at = at.Add(uploadPeriod) {
				time.Sleep(time.Until(at))
				a := c.send(http.MethodPost, "/designs/proof", body, nil, 9*time.Second, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	for n := range uploadClients {
		client1(n, began.Add(time.Duration(n)*uploadPeriod/uploadClients), end)
	}
	if l.trouble {
		// Each further client sends one request within the burst.
		perS := (burstX - 1) * uploadClients / uploadPeriod.Seconds()
		further := int(perS * burstTime.Seconds())
		l.noteAt(burst, "%d further requests within %v", further, burstTime)
		for n := range further {
			at := burst.Add(time.Duration(n) * burstTime / time.Duration(further))
			client1(uploadClients+n, at, at.Add(time.Millisecond))
		}
	}
	wg.Wait()
	return judgeKept(l, answers, arrived)
}

// limitMemory kills a gateway whose memory exceeds the limit, as the platform does, and starts
// it again.
func (l *lab) limitMemory(g *gateway, limitMB int) {
	peak := 0
	for !l.isEnding() {
		p := g.process()
		if used := residentMB(p.cmd.Process.Pid); used > peak {
			peak = used
			l.note("%s uses %d MB", g.name, used)
			if used > limitMB {
				l.note("%s exceeds memory_mb = %d", g.name, limitMB)
				l.signal(p, syscall.SIGKILL)
				g.restartAfterEnd(500 * time.Millisecond)
				peak = 0
			}
		}
		time.Sleep(memoryInterval)
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, _ := strconv.Atoi(strings.Fields(string(rest))[0])
			return kb >> 10
		}
	}
	return 0
}

// judgeKept applies the rule LOST: a machine passes a request from a kept connection on to a
// sound worker and closes that connection without an answer, more than three times.
func judgeKept(l *lab, answers []answer, arrived map[string]time.Time) bool {
	lost, served := map[string]int{}, 0
	for i := range answers {
		a := &answers[i]
		if a.served() {
			served++
		}
		if _, passedOn := arrived[a.id]; !a.kept || a.status != 0 || !passedOn {
			continue
		}
		lost[a.gateway.name]++
		l.noteAt(a.endedAt, "%s: LOST by %s, sent on a kept connection %.3f s before and passed on", a.id, a.gateway.name, a.endedAt.Sub(a.sentAt).Seconds())
	}
	broken := false
	for _, n := range lost {
		broken = broken || n > maxLostByRule
	}
	l.note("requests %d, served %d, LOST by machine %v", len(answers), served, lost)
	return broken
}
