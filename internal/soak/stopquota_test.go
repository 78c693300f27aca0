package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/platform"
)

// A gateway with little processor time: it runs for quotaRunTime of each quotaPeriod.
const (
	quotaPeriod  = 100 * time.Millisecond
	quotaRunTime = 30 * time.Millisecond
)

// Streams of a stop with little processor time, measured from SIGTERM. Each is sent on a
// connection of its own and lasts longer than the rest of the stop.
const (
	firstLateStream  = 2500 * time.Millisecond
	lastLateStream   = 4 * time.Second
	lateOpened       = 60
	lateKept         = 30
	lateStreamEvents = 300
)

// TestStarvedStopPassesOnNoLateStream guards against a stop that takes requests for longer than
// its limit allows and cuts them at its end, because it gets little processor time while clients
// go on opening connections.
func TestStarvedStopPassesOnNoLateStream(t *testing.T) {
	f := newFleet(t, 1, 1)
	for _, w := range f.workers {
		w.events = func() int { return lateStreamEvents }
	}
	g := f.gateways[0]
	clients := newLateClients(t, g)
	recorded := make(chan exchange, len(clients)+1)
	var wg sync.WaitGroup
	// The process stops as long as it may, since a stream is in progress.
	first := &client{number: len(clients), gateways: f.gateways, random: rand.New(rand.NewPCG(1, 0)), streams: 1}
	wg.Go(func() { first.exchangeOnce(recorded) })
	for f.log.count() <= lateKept {
		time.Sleep(time.Millisecond)
	}
	exited := g.exit()
	stopAt := time.Now()
	g.signal(syscall.SIGTERM)
	g.awaitStopping()
	ended := make(chan struct{})
	var quota sync.WaitGroup
	quota.Go(func() { g.limitRunTime(quotaRunTime, ended) })
	for n, c := range clients {
		wg.Go(func() {
			time.Sleep(time.Until(stopAt.Add(lateMoment(n))))
			select {
			case <-exited:
			default:
				c.exchangeOnce(recorded)
			}
		})
	}
	wg.Wait()
	close(ended)
	quota.Wait()
	close(recorded)
	var exchanges []exchange
	for e := range recorded {
		exchanges = append(exchanges, e)
	}
	f.checkLateStreams(exchanges, stopAt)
	report(t, f, exchanges)
}

// newLateClients returns clients of streams. The last ones have kept a connection.
func newLateClients(t *testing.T, g *gateway) []*client {
	clients := make([]*client, lateOpened+lateKept)
	for n := range clients {
		clients[n] = &client{number: n, gateways: []*gateway{g}, random: rand.New(rand.NewPCG(1, uint64(n)))}
		if n >= lateOpened {
			if e, connected := clients[n].exchange(); !connected || !e.complete {
				t.Errorf("request before the stop: %v", e.err)
			}
		}
		clients[n].streams = 1
	}
	return clients
}

// lateMoment returns when the client with the given number sends its stream.
func lateMoment(n int) time.Duration {
	share := float64(n) / lateOpened
	if n >= lateOpened {
		share = float64(n-lateOpened) / lateKept
	}
	return firstLateStream + time.Duration(share*float64(lastLateStream-firstLateStream))
}

// exchangeOnce sends one request and closes the connection.
func (c *client) exchangeOnce(recorded chan<- exchange) {
	defer c.close()
	if e, connected := c.exchange(); connected {
		recorded <- e
	}
}

// checkLateStreams checks that no stream that was sent late in the stop has reached a worker.
func (f *fleet) checkLateStreams(exchanges []exchange, stopAt time.Time) {
	var late, refused int
	for _, e := range exchanges {
		if e.complete && e.status == http.StatusServiceUnavailable {
			refused++
		}
		if e.sentAt.Before(stopAt.Add(lateSigterm)) {
			continue
		}
		late++
		if passedOn := len(f.log.of(e.id)) > 0; passedOn {
			f.t.Errorf("%s, kept %v: sent %.3f s after SIGTERM and passed on, complete %v", e.id, e.kept, e.sentAt.Sub(stopAt).Seconds(), e.complete)
		}
	}
	f.t.Logf("%d streams were refused, %d were sent later than %v after SIGTERM", refused, late, lateSigterm)
	if refused == 0 {
		f.t.Error("no stream has reached the process after the time in which it accepts requests")
	}
}

// Calls of silent workers at the end of a stop, and a stall that covers the time from which they
// are answered.
const (
	silentCalls    = 100
	silentCallTime = 30 * time.Second
	endStallOffset = 7300 * time.Millisecond
	endStallTime   = 350 * time.Millisecond
)

// TestStalledStopAnswersCallsAtItsEnd guards against a stop that cuts off calls without an answer
// at its end, because the process got no processor time when their answers were due.
func TestStalledStopAnswersCallsAtItsEnd(t *testing.T) {
	f, g := newSilentFleet(t)
	errs := f.sendSilentCalls(g, silentCalls)
	stopAt := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(stopAt.Add(endStallOffset)))
	g.stall(endStallTime)
	if unanswered := countErrors(t, errs, silentCalls); unanswered > 0 {
		t.Errorf("%d of %d calls got no whole answer", unanswered, silentCalls)
	}
}

// newSilentFleet returns a fleet with one gateway whose workers do not answer calls in a stop.
func newSilentFleet(t *testing.T) (*fleet, *gateway) {
	f := newFleet(t, 1, 0)
	f.configure(func(c object) {
		for _, r := range c["routes"].([]object) {
			r["timeout_ms"] = silentCallTime.Milliseconds()
		}
	})
	for _, w := range f.workers {
		w.callTime = func() time.Duration { return silentCallTime }
	}
	g := startGateway(t, "edge", f.store.Addr())
	f.gateways = append(f.gateways, g)
	f.awaitReady(g)
	return f, g
}

// sendSilentCalls sends calls and waits until workers have them. The channel gets an error for
// each, nil for one that the end of the stop answers.
func (f *fleet) sendSilentCalls(g *gateway, count int) <-chan error {
	errs := make(chan error, count)
	for n := range count {
		c, err := net.DialTimeout("tcp", g.front, connectTimeout)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /book/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: silent-%d\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			n, hostname, n, apiKey, silentCallTime.Milliseconds())
		if err != nil {
			f.t.Fatal(err)
		}
		go func() { errs <- awaitStatus(c, http.StatusBadGateway) }()
	}
	for f.log.count() < count {
		time.Sleep(time.Millisecond)
	}
	return errs
}

// countErrors receives the results of so many calls and returns the number of errors.
func countErrors(t *testing.T, errs <-chan error, count int) (failed int) {
	for range count {
		if err := <-errs; err != nil {
			failed++
			t.Log(err)
		}
	}
	return failed
}

// A stall in which SIGTERM comes, and the streams that are sent in the stop.
const (
	signalStallBefore = 50 * time.Millisecond
	signalStallAfter  = 900 * time.Millisecond
	firstSignalStream = 2 * time.Second
	signalStreams     = 50
	signalStreamStep  = 40 * time.Millisecond
)

// signalStreamAt returns when the stream with the given number is sent, measured from SIGTERM.
func signalStreamAt(n int) time.Duration {
	return firstSignalStream + time.Duration(n)*signalStreamStep
}

// TestStallOverSigtermDelaysNoStop guards against a stop that counts its time from when it sees
// SIGTERM, after a stall: it takes streams too late, and the process is killed before it has answered.
func TestStallOverSigtermDelaysNoStop(t *testing.T) {
	f, g := newSilentFleet(t)
	for _, w := range f.workers {
		w.events = func() int { return lateStreamEvents }
	}
	errs := f.sendSilentCalls(g, silentCalls)
	clients := make([]*client, signalStreams)
	for n := range clients {
		clients[n] = &client{number: n, gateways: f.gateways, random: rand.New(rand.NewPCG(1, uint64(n))), streams: 1}
		// The others open their connections late.
		if signalStreamAt(n) < lateSigterm && !clients[n].connect() {
			t.Fatal("no connection before the stop")
		}
	}
	exited := g.exit()
	var wg sync.WaitGroup
	wg.Go(func() { g.stall(signalStallBefore + signalStallAfter) })
	time.Sleep(signalStallBefore)
	stopAt := time.Now()
	g.signal(syscall.SIGTERM)
	recorded := make(chan exchange, signalStreams)
	for n, c := range clients {
		wg.Go(func() {
			time.Sleep(time.Until(stopAt.Add(signalStreamAt(n))))
			select {
			case <-exited:
			default:
				c.exchangeOnce(recorded)
			}
		})
	}
	if unanswered := countErrors(t, errs, silentCalls); unanswered > 0 {
		t.Errorf("%d of %d calls got no whole answer", unanswered, silentCalls)
	}
	wg.Wait()
	close(recorded)
	var exchanges []exchange
	for e := range recorded {
		exchanges = append(exchanges, e)
	}
	f.checkLateStreams(exchanges, stopAt)
	<-exited
	report(t, f, exchanges)
}

// awaitStatus reads a whole response with the given status.
func awaitStatus(c net.Conn, status int) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != status {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// exit returns a channel that is closed when the current process has ended.
func (g *gateway) exit() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// count returns the number of requests that have arrived.
func (l *workerLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals)
}

// awaitStopping waits until the process has begun to stop.
func (g *gateway) awaitStopping() {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + g.ready + platform.ReadyPath)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return
		}
	}
}

// limitRunTime lets the process run for a part of each quotaPeriod only, until ended is closed.
func (g *gateway) limitRunTime(runTime time.Duration, ended <-chan struct{}) {
	for {
		g.stall(quotaPeriod - runTime)
		select {
		case <-ended:
			return
		case <-time.After(runTime):
		}
	}
}
