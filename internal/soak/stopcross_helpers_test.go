package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Services of the requests that cross a stop, besides those of each run.
const (
	// slowService answers calls within slowCallTime, heldService late in a stop or after it.
	slowService  = "slow"
	heldService  = "held"
	slowCallTime = 3 * time.Second
	// The stop of a gateway ends before latestHeldTime.
	earliestHeldTime = 4 * time.Second
	latestHeldTime   = 12 * time.Second
	crossWorkers     = 10
	crossConns       = 1000
	maxCrossBody     = 4 << 20
	crossDeadline    = 30 * time.Second
	minStreamTime    = 3 * time.Second
	maxStreamTime    = 12 * time.Second
)

// between returns a random time from low to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// workerTime returns a random time for a worker, from low to high.
func workerTime(low, high time.Duration) time.Duration {
	return low + time.Duration(rand.Int64N(int64(high-low)))
}

// configureCross adds the routes and services of the requests that cross a stop.
func configureCross(config object) {
	routes := config["routes"].([]object)
	services := config["services"].([]object)
	for _, name := range []string{slowService, heldService} {
		routes = append(routes, object{
			"name": name, "hostname": hostname, "prefix": "/" + name + "/", "route_type": "non_idempotent", "timeout_ms": crossDeadline.Milliseconds(),
			"target_latency_ms": 400, "priority": 1, "service": name, "max_attempts": 1, "gap_aim_ms": 180,
		})
		services = append(services, object{"name": name})
	}
	for _, service := range services {
		service["max_connections"] = crossConns
	}
	config["routes"], config["services"] = routes, services
}

// newCrossFleet returns a fleet without gateways whose workers take as long as the requests
// that cross a stop need.
func newCrossFleet(t *testing.T, seed uint64) *fleet {
	f := newFleet(t, seed, 0)
	f.configure(configureCross)
	for range crossWorkers {
		for _, service := range []string{slowService, heldService, streamService} {
			f.addWorker(service)
		}
	}
	for _, w := range f.workers {
		switch w.service {
		case slowService:
			w.callTime = func() time.Duration { return workerTime(0, slowCallTime) }
		case heldService:
			w.callTime = func() time.Duration { return workerTime(earliestHeldTime, latestHeldTime) }
		case streamService:
			w.events = func() int { return int(workerTime(minStreamTime, maxStreamTime) / eventPeriod) }
		}
	}
	return f
}

// crossRequest is a request that crosses a stop.
type crossRequest struct {
	kind requestKind
	path string
	// kept is set if the request uses a connection that has carried one before.
	kept bool
	// at is the time of the first byte, measured from SIGTERM, and upload the time from then
	// to the last one.
	at, upload time.Duration
	bytes      int
}

// uploadPieces is the number of pieces of a body whose upload takes time.
const uploadPieces = 8

// crossBody is the longest body, of maxCrossBody bytes; shorter ones are parts of it.
var crossBody = strings.Repeat("x", maxCrossBody)

// compose returns the head and the body of the request.
func (r crossRequest) compose(id string) (head, body string) {
	method := http.MethodPost
	if r.kind == idempotentCall {
		method = http.MethodGet
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", method, r.path, id, hostname, id, apiKey, crossDeadline.Milliseconds())
	if r.kind == stream {
		b.WriteString("X-Token-Count: 1000,400\r\n")
	}
	if r.kind == idempotentCall {
		return b.String() + "\r\n", ""
	}
	body = crossBody[:r.bytes]
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	return b.String(), body
}

// send writes the request, its body in pieces if the upload takes time. It returns the time
// of the last byte, zero if the request was not sent whole.
func (r crossRequest) send(conn net.Conn, head, body string, answered <-chan struct{}) time.Time {
	if r.upload == 0 {
		if _, err := io.WriteString(conn, head+body); err != nil {
			return time.Time{}
		}
		return time.Now()
	}
	begin := time.Now()
	if _, err := io.WriteString(conn, head); err != nil {
		return time.Time{}
	}
	for n := range uploadPieces {
		select {
		case <-time.After(time.Until(begin.Add(r.upload * time.Duration(n+1) / uploadPieces))):
		case <-answered:
			return time.Time{}
		}
		piece := body[len(body)*n/uploadPieces : len(body)*(n+1)/uploadPieces]
		if _, err := io.WriteString(conn, piece); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// cross sends the request and receives the response meanwhile. It returns false if the
// connection ended before the whole request was sent, or none could be opened.
func (c *client) cross(r crossRequest) (exchange, bool) {
	if !c.connect() {
		return exchange{}, false
	}
	conn := c.conn
	c.sent++
	e := exchange{id: fmt.Sprintf("c%d-%d", c.number, c.sent), kind: r.kind, gateway: c.gateway, kept: c.used, startedAt: time.Now()}
	var head string
	head, e.body = r.compose(e.id)
	_ = conn.SetDeadline(e.startedAt.Add(r.upload + crossDeadline + answerSlack))
	answered, sent := make(chan struct{}), make(chan time.Time, 1)
	go func() { sent <- r.send(conn, head, e.body, answered) }()
	c.receive(&e)
	e.endedAt = time.Now()
	close(answered)
	_ = conn.SetWriteDeadline(time.Now())
	e.sentAt = <-sent
	isWhole := !e.sentAt.IsZero()
	if !isWhole {
		e.sentAt = e.endedAt
	}
	if netErr, ok := e.err.(net.Error); ok && netErr.Timeout() {
		e.timedOut = true
	}
	c.close()
	return e, isWhole || e.complete
}

// judgeCut finds requests that ended without a complete response in a stop though LOST allows
// it. Only a stream that has begun may end so, while its worker is still at work.
func judgeCut(exchanges []exchange, log *workerLog) []finding {
	var findings []finding
	for i := range exchanges {
		e := &exchanges[i]
		arrivals := log.of(e.id)
		if e.complete || len(arrivals) == 0 || judgeLost(e, arrivals) != nil {
			continue
		}
		begun := e.kind == stream && e.content != ""
		atWork := slices.ContainsFunc(arrivals, func(a arrival) bool { return a.doneAt.IsZero() || a.doneAt.After(e.endedAt.Add(-lossSlack)) })
		if begun && atWork && !strings.HasSuffix(e.content, lastEvent) {
			continue
		}
		stops := e.gateway.history().stops
		at := stops[len(stops)-1]
		findings = append(findings, finding{"CUT", fmt.Sprintf("%s at %s: kind %d, kept %v, status %d, %d bytes, worker at work %v; sent %.3f s, ended %.3f s after SIGTERM (%v)",
			e.id, e.gateway.name, e.kind, e.kept, e.status, len(e.content), atWork, e.sentAt.Sub(at).Seconds(), e.endedAt.Sub(at).Seconds(), e.err), e})
	}
	return findings
}

// startClosedOutputGateway starts a gateway whose standard output nobody reads any more once
// the returned function has been called.
func startClosedOutputGateway(t *testing.T, name, storeAddr string) (*gateway, func()) {
	t.Helper()
	first := startGateway(t, name, storeAddr)
	first.close()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	var once sync.Once
	closeReader := func() { once.Do(func() { _ = reader.Close() }) }
	t.Cleanup(closeReader)
	go func() {
		// The copy ends with an error when the reader is closed.
		_, _ = io.Copy(io.Discard, reader)
	}()
	g := &gateway{t: t, name: name, front: first.front, ready: first.ready, settingsFile: first.settingsFile, settings: first.settings, log: writer}
	g.start()
	t.Cleanup(g.close)
	go g.checkReadiness()
	return g, closeReader
}

// setCores lets the gateways that are started until the end of the test use so many cores. The
// test itself has read the variable before.
func setCores(t *testing.T, cores int) {
	t.Helper()
	const variable = "GOMAXPROCS"
	before, isSet := os.LookupEnv(variable)
	if err := os.Setenv(variable, strconv.Itoa(cores)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if isSet {
			_ = os.Setenv(variable, before)
		} else {
			_ = os.Unsetenv(variable)
		}
	})
}

// currentExit returns the channel that is closed when the current process has ended.
func (g *gateway) currentExit() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// restart stops the process and returns as soon as the next one takes connections.
func (g *gateway) restart() {
	exited := g.currentExit()
	g.signal(syscall.SIGTERM)
	<-exited
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", g.front); err == nil {
			_ = conn.Close()
			return
		}
	}
	g.t.Errorf("%s: no connection %v after its restart", g.name, startLimit)
}

// dutyPeriod is the period in which a process gets its share of the processor.
const dutyPeriod = 100 * time.Millisecond

// limitProcessor lets the process run for the given part of each dutyPeriod until it ends or
// done is closed. It holds stalling while the process does not run.
func (g *gateway) limitProcessor(run time.Duration, stalling sync.Locker, done <-chan struct{}) {
	exited := g.currentExit()
	for run < dutyPeriod {
		select {
		case <-exited:
			return
		case <-done:
			return
		case <-time.After(run):
		}
		stalling.Lock()
		g.stall(dutyPeriod - run)
		stalling.Unlock()
	}
}

// watchMemory returns the largest resident memory of the gateway's processes until done is
// closed, in MiB.
func (g *gateway) watchMemory(done <-chan struct{}) (peak int) {
	for {
		if mb, err := g.peakMemoryMB(); err == nil {
			peak = max(peak, mb)
		}
		select {
		case <-done:
			return peak
		case <-time.After(dutyPeriod):
		}
	}
}

// crossTally counts what became of the requests of one run.
type crossTally struct {
	mu        sync.Mutex
	exchanges []exchange
	// unsent counts the requests that were not sent whole, without connection or with one that
	// ended earlier.
	unsent int
}

func (c *crossTally) add(e exchange, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent {
		c.exchanges = append(c.exchanges, e)
	} else {
		c.unsent++
	}
}

// meetsStop reports whether a request got a response after SIGTERM.
func (c *crossTally) meetsStop() bool {
	return slices.ContainsFunc(c.exchanges, func(e exchange) bool {
		stops := e.gateway.history().stops
		return e.complete && len(stops) > 0 && e.endedAt.After(stops[len(stops)-1])
	})
}

// summary describes the requests and the findings in one line.
func (c *crossTally) summary(findings []finding) string {
	byRule, byStatus := map[string]int{}, map[int]int{}
	for _, f := range findings {
		byRule[f.rule]++
	}
	late := 0
	for i := range c.exchanges {
		e := &c.exchanges[i]
		byStatus[e.status]++
		if stops := e.gateway.history().stops; len(stops) > 0 && e.sentAt.After(stops[len(stops)-1].Add(lateSigterm)) && e.status == http.StatusOK {
			late++
		}
	}
	return fmt.Sprintf("requests %d, unsent %d, by status %v, sent later than %v and passed on %d, findings %v", len(c.exchanges), c.unsent, byStatus, lateSigterm, late, byRule)
}

// hangUp sends SIGHUP each hangupStopPeriod until done is closed.
func (g *gateway) hangUp(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(hangupStopPeriod):
			g.signal(syscall.SIGHUP)
		}
	}
}
