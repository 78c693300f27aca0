package entry_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/result"
)

// cancelFault is how an engine fails on a call that cancels a completion.
type cancelFault int

const (
	noFault cancelFault = iota
	resetBefore
	resetAfter
	failing
	silent
	late
	// invalidHead responds to all requests with status 000, which no response has.
	invalidHead
)

// faultyEngine is a proxy in front of an engine that keeps its completions when connections close.
// The stream of its first completion breaks and can't be resumed.
type faultyEngine struct {
	*httptest.Server
	fleet *faultyEngines
	// running is the number of completions that the engine runs.
	running atomic.Int64
}

// faultyEngines are the engines of a fleet.
type faultyEngines struct {
	mu      sync.Mutex
	engines []*faultyEngine
	// lost is the engine that got the first completion.
	lost *faultyEngine
	// started counts the completions, concurrent those that started while another engine still ran
	// an earlier one.
	started, concurrent int
	// faults are the faults of the calls that cancel the first completion.
	faults []cancelFault
}

// breakAfter is the time after which the stream of the first completion breaks.
const breakAfter = 100 * time.Millisecond

func (f *faultyEngines) add(t *testing.T, behind string) *faultyEngine {
	t.Helper()
	target, err := url.Parse(behind)
	if err != nil {
		t.Fatal(err)
	}
	e := &faultyEngine{fleet: f}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	// The agent may act on the response before the handler returns, so the end is noted here.
	proxy.ModifyResponse = func(resp *http.Response) error {
		if resp.Request.Method == http.MethodDelete && resp.StatusCode == http.StatusOK {
			e.running.Store(0)
		}
		return nil
	}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isCompletion := strings.HasPrefix(r.URL.Path, "/v1/completions")
		switch {
		case isCompletion && r.Method == http.MethodPost && f.begin(e):
			ctx, cancel := context.WithTimeout(r.Context(), breakAfter)
			defer cancel()
			proxy.ServeHTTP(w, r.WithContext(ctx))
			panic(http.ErrAbortHandler)
		case isCompletion && r.Method == http.MethodGet && f.isLost(e):
			panic(http.ErrAbortHandler)
		case isCompletion && r.Method == http.MethodDelete && f.isLost(e):
			e.cancel(w, r, proxy)
		case f.isLost(e) && f.hasInvalidHeads():
			sendInvalidHead(w)
		default:
			proxy.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(e.Close)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = append(f.engines, e)
	return e
}

// begin records the start of a completion, and reports whether it is the first one.
func (f *faultyEngines) begin(e *faultyEngine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	for _, other := range f.engines {
		if other != e && other.running.Load() > 0 {
			f.concurrent++
		}
	}
	if f.lost != nil {
		return false
	}
	f.lost = e
	e.running.Store(1)
	return true
}

func (f *faultyEngines) isLost(e *faultyEngine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost == e
}

func (f *faultyEngines) nextFault() cancelFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return noFault
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

// hasInvalidHeads reports whether the next fault is invalidHead.
func (f *faultyEngines) hasInvalidHeads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.faults) > 0 && f.faults[0] == invalidHead
}

func sendInvalidHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"))
	_ = conn.Close()
}

// counts returns the numbers of completions and of concurrent ones.
func (f *faultyEngines) counts() (started, concurrent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started, f.concurrent
}

// cancel cancels the completion, with the next fault.
func (e *faultyEngine) cancel(w http.ResponseWriter, r *http.Request, proxy http.Handler) {
	const lateness = 800 * time.Millisecond
	fault := e.fleet.nextFault()
	switch fault {
	case resetBefore:
		panic(http.ErrAbortHandler)
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case silent:
		<-r.Context().Done()
		return
	case invalidHead:
		sendInvalidHead(w)
		return
	case late:
		time.Sleep(lateness)
	case noFault, resetAfter:
	}
	proxy.ServeHTTP(w, r)
	if fault == resetAfter {
		panic(http.ErrAbortHandler)
	}
}

// startFaultyEngines starts a fleet of two engines. adjust, if not nil, changes its options.
func startFaultyEngines(t *testing.T, faults []cancelFault, adjust func(*demo.Options)) (*demo.Fleet, *faultyEngines) {
	t.Helper()
	const stepTime, publishLimit = 10 * time.Millisecond, 20 * time.Second
	engines := &faultyEngines{faults: faults}
	engine := standin.DefaultEngineOptions()
	engine.Models, engine.StepBase, engine.StepPerSequence, engine.StepPerPromptToken = []string{"m1"}, stepTime, 0, 0
	location := demo.Location{Datacentre: "c1", Region: "central"}
	options := demo.Options{
		Engines: []demo.Location{location, location}, Entries: []demo.Location{location}, Engine: engine, PlainRole: "none",
		AdjustAgent: func(o *agent.Options) { o.EngineURL = engines.add(t, o.EngineURL).URL },
	}
	if adjust != nil {
		adjust(&options)
	}
	f, err := demo.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), publishLimit)
	defer cancel()
	err = f.Publish(ctx, []config.Document{{
		Name:       "test",
		Services:   []config.Service{{Name: "guide", Kind: config.KindModel, Model: "m1", MaxTokens: 1000}},
		Workspaces: []config.Workspace{{Name: "w1", Weight: 1, KeyHashes: []string{config.HashKey(w1Key)}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return f, engines
}

// completeWithSeed sends a completion that another engine can replace.
func completeWithSeed(t *testing.T, f *demo.Fleet) callerResponse {
	t.Helper()
	return sendRequest(t, http.MethodPost, f.EntryURLs[0]+"/v1/completions", w1Key, completionBody("guide", "p", `,"seed":7,"max_tokens":800`))
}

// Guards against a generation that another engine replaces although the engine before, which goes
// on, has not confirmed that it has ended: the call was lost, failed, or has not been answered.
func TestGenerationIsReplacedOnceItsEngineHasStopped(t *testing.T) {
	cases := []struct {
		name   string
		faults []cancelFault
	}{
		{"confirmed", nil},
		{"reset", []cancelFault{resetBefore}},
		{"reset several times", []cancelFault{resetBefore, resetBefore, resetBefore}},
		{"cancelled and reset", []cancelFault{resetAfter}},
		{"failed", []cancelFault{failing, failing}},
		{"not answered", []cancelFault{silent}},
		{"answered late", []cancelFault{late}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, engines := startFaultyEngines(t, tc.faults, nil)
			response := completeWithSeed(t, f)
			started, concurrent := engines.counts()
			convey.Convey("Another engine completes it after the first one has stopped", t, func() {
				convey.So(response.status, convey.ShouldEqual, http.StatusOK)
				convey.So(started, convey.ShouldEqual, 2)
				convey.So(concurrent, convey.ShouldEqual, 0)
			})
		})
	}
}

// Guards against a generation that another engine replaces although the engine before, which can be
// reached and goes on, never confirms that it has ended.
func TestGenerationIsNotReplacedWithoutTheStopOfItsEngine(t *testing.T) {
	const all = 1000
	for name, fault := range map[string]cancelFault{"reset": resetBefore, "failed": failing, "not answered": silent, "status 000": invalidHead} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faults := make([]cancelFault, all)
			for i := range faults {
				faults[i] = fault
			}
			f, engines := startFaultyEngines(t, faults, nil)
			response := completeWithSeed(t, f)
			started, _ := engines.counts()
			convey.Convey("The caller gets an error that does not say that it has not run", t, func() {
				convey.So(response.code, convey.ShouldEqual, result.EngineLost)
				convey.So(response.ran, convey.ShouldNotEqual, result.RanNo)
				convey.So(started, convey.ShouldEqual, 1)
			})
		})
	}
}

// lossyDialer returns connections that are reset before the first bytes of a revocation are sent, for
// the first revocations.
type lossyDialer struct{ left atomic.Int64 }

func (d *lossyDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: conn, dialer: d}, nil
}

type lossyConn struct {
	net.Conn
	dialer *lossyDialer
}

// Write implements net.Conn.
func (c *lossyConn) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "/peer/v1/revoke") && c.dialer.left.Add(-1) >= 0 {
		_ = c.Close()
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a generation that another engine replaces although the message that ends it was
// lost on the way to its agent.
func TestLostRevocationsAreRepeated(t *testing.T) {
	dialer := &lossyDialer{}
	dialer.left.Store(3)
	f, engines := startFaultyEngines(t, nil, func(o *demo.Options) {
		o.AdjustEntry = func(e *entry.Options) { e.Dial = dialer.dial }
	})
	response := completeWithSeed(t, f)
	started, concurrent := engines.counts()
	convey.Convey("The revocation arrives and another engine completes the generation", t, func() {
		convey.So(response.status, convey.ShouldEqual, http.StatusOK)
		convey.So(started, convey.ShouldEqual, 2)
		convey.So(concurrent, convey.ShouldEqual, 0)
		convey.So(dialer.left.Load(), convey.ShouldBeLessThan, 0)
	})
}
