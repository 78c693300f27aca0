package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Stops with a stream that lasts to their end, so that kept connections stay open meanwhile.
const (
	// lateStallStep is the time between the stalls of two gateways, from before the time at which
	// idle connections are closed to just before the end of a stop.
	firstLateStall = 6500 * time.Millisecond
	lastLateStall  = 7580 * time.Millisecond
	lateStallStep  = 80 * time.Millisecond
	lateKeptConns  = 4
	// endlessEvents is a number of events that takes longer than a stop.
	endlessEvents = 1000
)

// TestStalledEndOfStopLosesNoLateRequest guards against requests on kept connections that the end
// of a stop closes unread, because a stream has kept the connections open until then.
func TestStalledEndOfStopLosesNoLateRequest(t *testing.T) {
	f := newFleet(t, 1, 0)
	for _, w := range f.workers {
		w.events = func() int { return endlessEvents }
	}
	var mu sync.Mutex
	var exchanges []exchange
	var wg sync.WaitGroup
	for offset := firstLateStall; offset <= lastLateStall; offset += lateStallStep {
		g := startGateway(t, "edge-"+offset.String(), f.store.Addr())
		f.gateways = append(f.gateways, g)
		wg.Go(func() {
			answers := f.stallLate(g, offset)
			mu.Lock()
			defer mu.Unlock()
			exchanges = append(exchanges, answers...)
		})
	}
	wg.Wait()
	report(t, f, exchanges)
	answered := 0
	for _, e := range exchanges {
		if e.complete && e.endedAt.Sub(e.sentAt) > stallTime/2 {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no request got an answer after a stall: the stalls miss the time in which kept connections are open")
	}
}

// stallLate stops a gateway that carries a stream, stalls it at the given time of the stop, and
// sends requests meanwhile on the kept connections that are still open.
func (f *fleet) stallLate(g *gateway, offset time.Duration) []exchange {
	f.awaitReady(g)
	newClient := func(n int) *client {
		return &client{number: int(offset.Milliseconds())*100 + n, gateways: []*gateway{g}, random: rand.New(rand.NewPCG(uint64(offset), uint64(n)))}
	}
	var clients []*client
	for n := range lateKeptConns {
		c := newClient(n)
		if e, connected := c.exchange(); !connected || !e.complete {
			f.t.Errorf("%s: request before the stop: %v", g.name, e.err)
		}
		clients = append(clients, c)
	}
	streaming := newClient(lateKeptConns)
	streaming.streams = 1
	var mu sync.Mutex
	var exchanges []exchange
	var wg sync.WaitGroup
	ask := func(c *client) {
		e, connected := c.exchange()
		mu.Lock()
		defer mu.Unlock()
		if connected && (e.kept || e.kind == stream) {
			exchanges = append(exchanges, e)
		}
	}
	wg.Go(func() { ask(streaming) })
	time.Sleep(100 * time.Millisecond)
	stopAt := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(stopAt.Add(offset)))
	wg.Go(func() { g.stall(stallTime) })
	time.Sleep(stallSendDelay)
	for _, c := range clients {
		if c.conn != nil && !closedByPeer(f.t, c) {
			wg.Go(func() { ask(c) })
		}
	}
	wg.Wait()
	return exchanges
}

// Streams that begin before a stop and end in it, at any time.
const (
	reuseGateways = 8
	reuseStreams  = 12
	// maxReuseEvents is the number of events of a stream that lasts for most of a stop.
	maxReuseEvents = 240
	// maxReuseDelay is the longest time from the end of a stream to the next request. Idle
	// connections of a stop without requests are closed after 50 ms.
	maxReuseDelay = 90 * time.Millisecond
	// reuseStalls is the number of stalls of each second gateway.
	reuseStalls = 10
)

// TestStopAnswersRequestAfterStream guards against requests that are lost on the connection of a
// stream whose head did not say that the connection ends, because it was sent before SIGTERM.
func TestStopAnswersRequestAfterStream(t *testing.T) {
	f := newFleet(t, 1, 0)
	for _, w := range f.workers {
		w.events = func() int { return 1 + rand.IntN(maxReuseEvents) }
	}
	var mu sync.Mutex
	var exchanges []exchange
	var wg sync.WaitGroup
	for n := range reuseGateways {
		g := startGateway(t, fmt.Sprintf("edge-%d", n), f.store.Addr())
		f.gateways = append(f.gateways, g)
		wg.Go(func() {
			f.awaitReady(g)
			for i := range reuseStreams {
				c := &client{number: n*reuseStreams + i, gateways: []*gateway{g}, random: rand.New(rand.NewPCG(uint64(n), uint64(i))), streams: 1}
				wg.Go(func() {
					defer c.close()
					streamed, connected := c.exchange()
					if !connected {
						return
					}
					mu.Lock()
					exchanges = append(exchanges, streamed)
					mu.Unlock()
					if c.conn == nil {
						return
					}
					time.Sleep(time.Duration(c.random.Int64N(int64(maxReuseDelay))))
					c.streams = 0
					e, connected := c.exchange()
					mu.Lock()
					defer mu.Unlock()
					if connected && e.kept {
						exchanges = append(exchanges, e)
					}
				})
			}
			time.Sleep(eventPeriod)
			g.signal(syscall.SIGTERM)
			for range reuseStalls * (n % 2) {
				time.Sleep(stallTime)
				g.stall(stallTime)
			}
		})
	}
	wg.Wait()
	report(t, f, exchanges)
	reused := 0
	for _, e := range exchanges {
		if e.complete && e.kept {
			reused++
		}
	}
	if reused == 0 {
		t.Error("no request got an answer on the connection of a stream")
	}
}
