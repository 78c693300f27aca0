package faulttest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/result"
)

var (
	mixedSeed = flag.Uint64("mixed.seed", 1, "seed of the failure schedule")
	mixedTime = flag.Duration("mixed.time", 12*time.Second, "duration of the run with mixed failures")
)

// mixedRun is a run of mixed failures under mixed load.
type mixedRun struct {
	*fleet
	t   *testing.T
	rng *rand.Rand
	ctx context.Context
	// mu guards reserved, which marks the parts of the fleet that a failure in
	// progress affects. Its keys are names such as "entry-1", "link to model-1" or
	// "store".
	mu       sync.Mutex
	reserved map[string]bool
	failures sync.WaitGroup
	callers  sync.WaitGroup
	// publications counts the publications in the schedule so far, including those
	// that could not start. It makes each published configuration distinct.
	publications int

	// complete, partial and refused count streams; a refused stream delivered no text.
	complete, partial, refused atomic.Int64
	// paymentsAnswered and paymentsUnknown count non-idempotent calls that succeeded,
	// and those without success of which an attempt may have run.
	paymentsAnswered, paymentsUnknown atomic.Int64
}

// TestMixedFailures runs a seeded schedule of concurrent failures (kills, graceful
// stops, pauses, broken and slow links, store outages) and publications. Meanwhile
// callers send streams, lookups and non-idempotent calls. Combinations of failures
// must not corrupt a response, run a call twice or leave a daemon unusable. The seed
// determines the schedule, but not which requests a failure affects.
func TestMixedFailures(t *testing.T) {
	t.Logf("repeat this run with -mixed.seed=%d -mixed.time=%v", *mixedSeed, *mixedTime)
	engine := fastEngineOptions()
	engine.StepBase = 3 * time.Millisecond
	m := &mixedRun{
		fleet: startFleet(t, fleetOptions{engines: 3, plainServices: 2, entries: 3, engineOptions: engine, plainDelay: 5 * time.Millisecond, vmListLag: 300 * time.Millisecond}),
		t:     t, rng: rand.New(rand.NewPCG(*mixedSeed, 0)), reserved: map[string]bool{},
	}
	m.watchVersions()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	m.ctx = ctx
	for i := range 4 {
		m.startCaller(func() { m.checkStream(i) })
	}
	for i := range 2 {
		m.startCaller(func() { m.checkLookup(i) })
	}
	for i := range 2 {
		m.startCaller(func() { m.checkPayment(i) })
	}
	for end := time.Now().Add(*mixedTime); time.Now().Before(end); {
		m.injectFailure()
		time.Sleep(time.Duration(200+m.rng.IntN(600)) * time.Millisecond)
	}
	m.failures.Wait()
	stop()
	m.callers.Wait()
	m.checkRecovery()
	t.Logf("%d complete streams, %d partial, %d refused; %d payments answered, %d with unknown outcome",
		m.complete.Load(), m.partial.Load(), m.refused.Load(), m.paymentsAnswered.Load(), m.paymentsUnknown.Load())
}

// startCaller starts a goroutine that sends requests until the run ends.
func (m *mixedRun) startCaller(request func()) {
	m.callers.Add(1)
	go func() {
		defer m.callers.Done()
		for m.ctx.Err() == nil {
			request()
		}
	}()
}

// entryFor returns the entries in turn for consecutive n.
func (m *mixedRun) entryFor(n int64) *process { return m.entries[int(n)%len(m.entries)] }

// mixedRequestCount numbers the requests of all callers.
var mixedRequestCount atomic.Int64

// checkStream reads one stream to its end, resuming through other entries, and
// compares the text with the engine's output. The caller's index selects the output
// length.
func (m *mixedRun) checkStream(callerIndex int) {
	n := mixedRequestCount.Add(1)
	length := []int{5, 60, 400, 900}[callerIndex]
	service := "guide"
	if length < 50 {
		service = "triage"
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	c := generate(ctx, m.entryFor(n).addr, service, prompt(fmt.Sprintf("caller %d request %d", callerIndex, n), length), nil, nil)
	for attempt := range int64(20) {
		if c.complete || c.failure != nil || c.generationID == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
		c.resume(ctx, m.entryFor(n+attempt+1).addr)
	}
	expected := m.output(c.generationID)
	switch {
	case c.outOfOrder > 0:
		m.t.Errorf("%s: %d events out of order", c.requestID, c.outOfOrder)
	case c.complete && (c.text != expected || c.lastEventID != length-1):
		m.t.Errorf("%s: complete text of %d tokens differs from generation %s of %d tokens", c.requestID, c.lastEventID+1, c.generationID, length)
	case c.complete:
		m.complete.Add(1)
	case !strings.HasPrefix(expected, c.text):
		m.t.Errorf("%s: partial text of %d tokens is no prefix of generation %s", c.requestID, c.lastEventID+1, c.generationID)
	case c.text == "":
		m.refused.Add(1)
		time.Sleep(20 * time.Millisecond)
	default:
		m.partial.Add(1)
	}
}

// checkLookup makes one idempotent call. A response with a status other than 200 must
// carry an error with a result code.
func (m *mixedRun) checkLookup(int) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	status, responseBody, failure, err := invokeWithKey(ctx, m.entryFor(mixedRequestCount.Add(1)).addr, http.MethodGet, "/s/booking/visits/7", "", "")
	if err == nil && status != http.StatusOK && failure == nil {
		m.t.Errorf("lookup: status %d without a numbered error, body %q", status, responseBody)
	}
	time.Sleep(10 * time.Millisecond)
}

// checkPayment makes one non-idempotent call up to six times with the same key,
// through the entries in turn. It stops after a success, but sends the call at least
// twice, so that the repeat of a successful call is checked too. It compares the
// responses with the number of times that the call ran.
func (m *mixedRun) checkPayment(int) {
	n := mixedRequestCount.Add(1)
	key := fmt.Sprintf("pay-%d", n)
	body := fmt.Sprintf(`{"key":%q}`, key)
	mayHaveRun, succeeded := false, false
	var previousResponse string
	for attempt := range int64(6) {
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		status, responseBody, failure, err := invokeWithKey(ctx, m.entryFor(n+attempt).addr, http.MethodPost, "/s/booking/deposits", key, body)
		cancel()
		switch {
		case err == nil && status == http.StatusOK:
			if succeeded && responseBody != previousResponse {
				m.t.Errorf("%s: a repeat returned %q, an earlier attempt %q", key, responseBody, previousResponse)
			}
			succeeded, previousResponse = true, responseBody
		case err != nil || failure == nil || failure.Ran != result.RanNo:
			mayHaveRun = true
		}
		if succeeded && attempt > 0 {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	effects := m.effectsWithBody(body)
	switch {
	case effects > 1:
		m.t.Errorf("%s ran %d times", key, effects)
	case succeeded && effects != 1:
		m.t.Errorf("%s was answered, but ran %d times", key, effects)
	case !succeeded && !mayHaveRun && effects > 0:
		m.t.Errorf("%s was refused as not run, but ran", key)
	}
	if succeeded {
		m.paymentsAnswered.Add(1)
	} else if mayHaveRun {
		m.paymentsUnknown.Add(1)
	}
}

// effectsWithBody returns how often a call with the body ran.
func (m *mixedRun) effectsWithBody(body string) int {
	count := 0
	for _, tg := range m.targets {
		if tg.plainService == nil {
			continue
		}
		for _, effect := range tg.plainService.Effects() {
			if effect.Body == body {
				count++
			}
		}
	}
	return count
}

// reserve reserves a part of the fleet for a failure. It reports false if another
// failure affects the part.
func (m *mixedRun) reserve(part string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved[part] {
		return false
	}
	m.reserved[part] = true
	return true
}

// injectFailure starts the next failure of the schedule. It draws the same random
// numbers whether or not the failure can start, so that the seed determines the
// schedule.
func (m *mixedRun) injectFailure() {
	kind := m.rng.IntN(10)
	daemon := m.daemons()[m.rng.IntN(len(m.daemons()))]
	tg := m.targets[m.rng.IntN(len(m.targets))]
	// shortDuration is how long a killed daemon stays down or a link disconnected,
	// longDuration how long the other failures last.
	longDuration := time.Duration(200+m.rng.IntN(2500)) * time.Millisecond
	shortDuration := longDuration / 4
	switch kind {
	case 0, 1:
		m.startFailure(daemon.name, "kill "+daemon.name, func() {
			daemon.kill()
			time.Sleep(shortDuration)
			daemon.restart()
		})
	case 2:
		m.startFailure(daemon.name, "stop "+daemon.name, func() {
			daemon.stop()
			if _, ok := daemon.exited(responseTimeout); !ok {
				m.t.Errorf("%s did not exit after SIGTERM\n%s", daemon.name, daemon.logTail())
				daemon.kill()
			}
			daemon.restart()
		})
	case 3, 4:
		m.startFailure(daemon.name, "pause "+daemon.name, func() {
			daemon.pause()
			time.Sleep(longDuration)
			daemon.resume()
		})
	case 5:
		m.startFailure("link to "+tg.listedVM.Name, "disconnect", func() {
			tg.inbound.disconnect()
			time.Sleep(shortDuration)
			tg.inbound.restore()
		})
	case 6:
		m.startFailure("link to "+tg.listedVM.Name, "add latency", func() {
			defer tg.inbound.addToxic("latency", "downstream", `"latency":150,"jitter":100`)()
			time.Sleep(longDuration)
		})
	case 7:
		m.startFailure("store", "store down", func() {
			m.store.SetFaults(standin.StoreFaults{AbortCalls: true})
			time.Sleep(longDuration)
			m.store.SetFaults(standin.StoreFaults{DropReplies: 2})
		})
	case 8:
		m.startFailure("store", "store slow", func() {
			m.store.SetFaults(standin.StoreFaults{DelayMillis: 300, DropReplies: 1})
			time.Sleep(longDuration)
			m.store.SetFaults(standin.StoreFaults{})
		})
	case 9:
		m.publications++
		docs := documentsWithExtraWorkspace(m.publications)
		m.startFailure("publisher", "publish", func() {
			ctx, cancel := context.WithTimeout(context.Background(), longDuration)
			defer cancel()
			// A publication that the timeout interrupts may still take effect.
			_, _ = operator.Publish(ctx, m.storeClient, docs, "mixed", time.Now())
		})
	}
}

// startFailure runs a failure of a part of the fleet in the background, unless
// another failure affects that part.
func (m *mixedRun) startFailure(part, description string, failure func()) {
	if !m.reserve(part) {
		return
	}
	m.t.Logf("%s: %s", part, description)
	m.failures.Add(1)
	go func() {
		defer m.failures.Done()
		failure()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.reserved[part] = false
	}()
}

// checkRecovery checks that every daemon puts the last published configuration
// version into force and that all entries serve again after the failures have ended.
func (m *mixedRun) checkRecovery() {
	m.store.SetFaults(standin.StoreFaults{})
	last, _, err := operator.CurrentManifest(context.Background(), m.storeClient)
	if err != nil {
		m.t.Fatal(err)
	}
	m.awaitVersion(last.Version, m.daemons())
	for i, e := range m.entries {
		eventually(m.t, startTimeout, e.name+" can use all targets\n"+e.logTail(), func() bool { return m.hasUsableTargets(e, len(m.targets)) })
		m.awaitServing(e)
		status, _, failure, err := invokeWithKey(context.Background(), e.addr, http.MethodPost, "/s/booking/deposits", fmt.Sprintf("last-%d", i), "{}")
		if err != nil || status != http.StatusOK {
			m.t.Errorf("%s: payment after the failures: status %d, failure %v, error %v", e.name, status, failure, err)
		}
	}
	m.checkVersionUse()
	for _, tg := range m.targets {
		if tg.listedVM.State != vmlist.VMLive {
			m.t.Errorf("VM %s is %s in the list, not live", tg.listedVM.Name, tg.listedVM.State)
		}
	}
}
