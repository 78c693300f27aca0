package entry_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"
	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/settings"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// stopFleetOptions describe a fleet whose entries are stopped.
type stopFleetOptions struct {
	tls bool
	// drainLimit is the limit of an entry's stop.
	drainLimit time.Duration
	// entrySettings are added to the settings of the entries.
	entrySettings string
	// behind, if not nil, returns what the entries reach in place of an agent.
	behind func(f *stopFleet, agentURL string) http.Handler
}

// stopFleet is a fleet of two entries, an engine and a plain service. Each target runs one request
// at a time. Calls to the plain service last until the end of the test.
type stopFleet struct {
	t       *testing.T
	opts    stopFleetOptions
	client  *http.Client
	engine  *standin.Engine
	entries []*stoppableEntry
	// tlsConfig is the configuration of clients, nil without TLS.
	tlsConfig *tls.Config
	// agents are the addresses of the agents by VM.
	agents map[string]string
	// calls is the number of calls that the plain service has received.
	calls atomic.Int64
	// asked is the number of requests about generations that an agent does not respond to.
	asked atomic.Int64
	// released is closed at the end of the test.
	released chan struct{}
}

// stoppableEntry is an entry that a test stops.
type stoppableEntry struct {
	addr string
	stop context.CancelFunc
	// stopped is closed at the end of the stop.
	stopped chan struct{}
}

// stopTestTimeout is long enough for a test on a busy machine.
const stopTestTimeout = 20 * time.Second

func startStopFleet(t *testing.T, opts stopFleetOptions) *stopFleet {
	t.Helper()
	f := &stopFleet{t: t, opts: opts, client: httpclient.New(httpclient.Options{NewConnections: true}), agents: map[string]string{}, released: make(chan struct{})}
	sections, serve := "", func(h http.Handler) string { return serveHTTP(t, h) }
	if opts.tls {
		ca := newAuthority(t)
		f.tlsConfig = ca.clientTLS
		f.client = httpclient.New(httpclient.Options{NewConnections: true, TLS: ca.clientTLS})
		sections = fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", ca.certFile, ca.keyFile, ca.certFile)
		serve = func(h http.Handler) string { return ca.serve(t, h) }
	}
	storeURL := serve(standin.NewStore().Handler())
	ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
	defer cancel()
	_, err := operator.Publish(ctx, kvstore.NewEtcdStore(storeURL, f.client, time.Second), []config.Document{{
		Name: "test",
		Services: []config.Service{
			{Name: "guide", Kind: config.KindModel, Model: "m1"},
			{Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET"}, AtMostOnceMethods: []string{"POST"}},
		},
		Workspaces: []config.Workspace{{Name: "w1", Weight: 1, KeyHashes: []string{config.HashKey(w1Key)}}},
	}}, "test", time.Now())
	must(t, err)
	engineOptions := standin.DefaultEngineOptions()
	engineOptions.Models, engineOptions.StepBase, engineOptions.StepPerSequence, engineOptions.StepPerPromptToken = []string{"m1"}, time.Millisecond, 0, 0
	f.engine = standin.NewEngine(engineOptions)
	t.Cleanup(f.engine.Close)
	service := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		select {
		case <-f.released:
		case <-r.Context().Done():
		}
	})
	vms := standin.NewVMList(0)
	for vm, target := range map[string]string{"model-1": "engine = " + serve(f.engine.Handler()), "booking-1": "role = booking\nplain = " + serve(service)} {
		addr := startAgent(t, "[process]\nvm = "+vm+"\nkeys = k\ndrain_grace = 1ms\ndrain_limit = 500ms\n"+processSettings+sections+
			"[platform]\nstore = "+storeURL+"\n[admission]\nmax_wait = 0s\n[target]\nslots = 1\n"+target+"\n")
		f.agents[vm] = addr
		if opts.behind != nil {
			addr = strings.TrimPrefix(serve(opts.behind(f, f.url(addr, ""))), "http://")
		}
		vms.Put(vmlist.VM{Name: vm, Addr: addr, Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: "c1", Region: "central"})
	}
	for _, vm := range []string{"entry-1", "entry-2"} {
		f.startEntry(ctx, "[process]\nvm = "+vm+"\nkeys = k\nbalancer_grace = 1ms\ndrain_limit = "+opts.drainLimit.String()+"\n"+processSettings+sections+
			"[platform]\nstore = "+storeURL+"\nvm_list = "+serve(vms.Handler())+"\n"+opts.entrySettings)
	}
	t.Cleanup(func() { close(f.released) })
	return f
}

func (f *stopFleet) startEntry(ctx context.Context, text string) {
	f.t.Helper()
	s := entry.DefaultSettings()
	must(f.t, settings.Parse("entry.ini", []byte(text), &s))
	opts, err := s.Options(log.NewNopLogger())
	must(f.t, err)
	e, err := entry.New(opts)
	must(f.t, err)
	serveCtx, stop := context.WithCancel(context.Background())
	se := &stoppableEntry{addr: opts.Listener.Addr().String(), stop: stop, stopped: make(chan struct{})}
	go func() {
		defer close(se.stopped)
		_ = e.Serve(serveCtx)
	}()
	f.t.Cleanup(func() {
		stop()
		<-se.stopped
	})
	for (!e.Ready() || e.UsableTargets() < len(f.agents)) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	f.entries = append(f.entries, se)
}

func (f *stopFleet) url(addr, path string) string {
	if f.opts.tls {
		return "https://" + addr + path
	}
	return "http://" + addr + path
}

// send sends a request to an entry; header holds names and values in turn.
func (f *stopFleet) send(ctx context.Context, e int, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.url(f.entries[e].addr, path), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+w1Key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return f.client.Do(req)
}

// answer is what a caller gets.
type answer struct {
	err  error
	body string
	fail *result.Error
}

func readAnswer(resp *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{err: err, body: string(body), fail: result.Decode(body)}
}

// ask sends a request to an entry in the background.
func (f *stopFleet) ask(ctx context.Context, e int, method, path, body string, header ...string) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- readAnswer(f.send(ctx, e, method, path, body, header...)) }()
	return answers
}

// awaitLoad waits until an agent runs and queues the given numbers of requests.
func (f *stopFleet) awaitLoad(ctx context.Context, vm string, running, queued int) {
	f.t.Helper()
	client := peer.NewClient(f.client, peer.Keys{"k"})
	if f.opts.tls {
		client.UseTLS()
	}
	for {
		state, err := client.State(ctx, f.agents[vm])
		if err == nil && state.Load.Running == running && state.Load.Queued == queued {
			return
		}
		if ctx.Err() != nil {
			f.t.Fatalf("load of %s: %+v %v", vm, state.Load, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// openUpload sends a request without the last bytes of its body.
func (f *stopFleet) openUpload(e int, head, body string) (net.Conn, *bufio.Reader) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.entries[e].addr)
	must(f.t, err)
	if f.opts.tls {
		tlsConfig := f.tlsConfig.Clone()
		tlsConfig.ServerName = "127.0.0.1"
		tlsConn := tls.Client(c, tlsConfig)
		must(f.t, tlsConn.Handshake())
		c = tlsConn
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\n"+caller.HeaderIdempotencyKey+": upload\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", head, w1Key, len(body), body[:len(body)-1])
	must(f.t, err)
	return c, bufio.NewReader(c)
}

// withAndWithoutTLS runs a test for connections with and without TLS.
func withAndWithoutTLS(t *testing.T, test func(t *testing.T, tls bool)) {
	t.Helper()
	for _, isTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%t", isTLS), func(t *testing.T) {
			t.Parallel()
			test(t, isTLS)
		})
	}
}

const shortDrainLimit = time.Second

// Guards against a stream that has had no event yet, and is cut off without an answer at the end of
// an entry's stop.
func TestStopAnswersStreamsWithoutAnEvent(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, isTLS bool) {
		f := startStopFleet(t, stopFleetOptions{tls: isTLS, drainLimit: shortDrainLimit})
		ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
		defer cancel()
		running := f.ask(ctx, 1, http.MethodPost, "/v1/completions", completionBody("guide", "first <<len=5000>>", `,"stream":true`))
		f.awaitLoad(ctx, "model-1", 1, 0)
		streamed := f.ask(ctx, 0, http.MethodPost, "/v1/completions", completionBody("guide", "second <<len=50>>", `,"stream":true`))
		unstreamed := f.ask(ctx, 0, http.MethodPost, "/v1/completions", completionBody("guide", "third <<len=50>>", ""))
		f.awaitLoad(ctx, "model-1", 1, 2)
		f.entries[0].stop()
		answers := []answer{<-streamed, <-unstreamed}
		cancel()
		<-running
		convey.Convey("What its target has not begun is withdrawn, and refused as not run", t, func() {
			for _, a := range answers {
				convey.So(a.err, convey.ShouldBeNil)
				convey.So(a.fail, convey.ShouldNotBeNil)
				convey.So(a.fail.Code, convey.ShouldEqual, result.TargetLeaving)
				convey.So(a.fail.Ran, convey.ShouldEqual, result.RanNo)
			}
			convey.So(f.engine.StartCount("second <<len=50>>")+f.engine.StartCount("third <<len=50>>"), convey.ShouldEqual, 0)
		})
	})
}

// Guards against an answer that waits for an agent which does not respond until the stop is over.
func TestStopAnswersWithoutItsAgent(t *testing.T) {
	silent := func(f *stopFleet, agentURL string) http.Handler {
		u, err := url.Parse(agentURL)
		must(t, err)
		proxy := httputil.NewSingleHostReverseProxy(u)
		proxy.FlushInterval = -1
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, peer.PathRevoke) {
				<-f.released
				return
			}
			proxy.ServeHTTP(w, r)
		})
	}
	f := startStopFleet(t, stopFleetOptions{drainLimit: shortDrainLimit, behind: silent})
	ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
	defer cancel()
	running := f.ask(ctx, 1, http.MethodPost, "/v1/completions", completionBody("guide", "first <<len=5000>>", `,"stream":true`))
	f.awaitLoad(ctx, "model-1", 1, 0)
	queued := f.ask(ctx, 0, http.MethodPost, "/v1/completions", completionBody("guide", "second <<len=50>>", ""))
	f.awaitLoad(ctx, "model-1", 1, 1)
	f.entries[0].stop()
	a := <-queued
	cancel()
	<-running
	convey.Convey("A generation whose agent does not say whether it ran is answered as one that may have run", t, func() {
		convey.So(a.err, convey.ShouldBeNil)
		convey.So(a.fail, convey.ShouldNotBeNil)
		convey.So(a.fail.Code, convey.ShouldEqual, result.OutcomeUnknown)
		convey.So(a.fail.Ran, convey.ShouldEqual, result.RanUnknown)
	})
}

// Guards against a generation that waits for a reservation at the end of a stop, and is refused as
// one whose caller has left.
func TestStopRefusesWhatWaitsForAReservation(t *testing.T) {
	f := startStopFleet(t, stopFleetOptions{drainLimit: shortDrainLimit, entrySettings: "[routing]\npolicy = late_binding\n"})
	ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
	defer cancel()
	var others []<-chan answer
	for i := range 2 {
		others = append(others, f.ask(ctx, 1, http.MethodPost, "/v1/completions", completionBody("guide", "long <<len=5000>>", `,"stream":true`)))
		f.awaitLoad(ctx, "model-1", 1, i)
	}
	// The entry knows of the queue from its next heartbeat on.
	time.Sleep(heartbeatTime)
	waiting := f.ask(ctx, 0, http.MethodPost, "/v1/completions", completionBody("guide", "late <<len=50>>", ""))
	f.awaitLoad(ctx, "model-1", 1, 2)
	f.entries[0].stop()
	a := <-waiting
	cancel()
	for _, other := range others {
		<-other
	}
	convey.Convey("It is refused as not run, since the process stops", t, func() {
		convey.So(a.err, convey.ShouldBeNil)
		convey.So(a.fail, convey.ShouldNotBeNil)
		convey.So(a.fail.Code, convey.ShouldEqual, result.TargetLeaving)
		convey.So(a.fail.Ran, convey.ShouldEqual, result.RanNo)
	})
}

// heartbeatTime is enough time for a heartbeat.
const heartbeatTime = 1500 * time.Millisecond

// Guards against a request that an entry passes on although its body ends when the stop is almost over.
func TestStopPassesOnNoRequestThatEndsLate(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, isTLS bool) {
		const drainLimit = 3 * time.Second
		f := startStopFleet(t, stopFleetOptions{tls: isTLS, drainLimit: drainLimit})
		uploads := []struct{ head, body string }{
			{"POST /v1/completions", completionBody("guide", "late <<len=5>>", "")},
			{"POST /v1/completions", completionBody("guide", "late <<len=5>>", `,"stream":true`)},
			{"GET /s/booking/late", "{}"},
			{"POST /s/booking/late", "{}"},
		}
		conns := make([]net.Conn, len(uploads))
		readers := make([]*bufio.Reader, len(uploads))
		for i, u := range uploads {
			conns[i], readers[i] = f.openUpload(0, u.head, u.body)
		}
		time.Sleep(uploadTime)
		f.entries[0].stop()
		time.Sleep(drainLimit * 3 / 4)
		answers := make([]answer, len(uploads))
		for i, u := range uploads {
			_, err := io.WriteString(conns[i], u.body[len(u.body)-1:])
			must(t, err)
			answers[i] = readAnswer(http.ReadResponse(readers[i], nil))
		}
		convey.Convey("It is refused as not run", t, func() {
			for _, a := range answers {
				convey.So(a.err, convey.ShouldBeNil)
				convey.So(a.fail, convey.ShouldNotBeNil)
				convey.So(a.fail.Code, convey.ShouldEqual, result.TargetLeaving)
				convey.So(a.fail.Ran, convey.ShouldEqual, result.RanNo)
			}
			convey.So(f.engine.StartCount("late <<len=5>>"), convey.ShouldEqual, 0)
			convey.So(f.calls.Load(), convey.ShouldEqual, 0)
		})
	})
}

// uploadTime is enough time for a request's header to be read.
const uploadTime = 200 * time.Millisecond

// Guards against a refusal in a stop that says "not run" of what an earlier request has run.
func TestStopDoesNotDenyEarlierRequests(t *testing.T) {
	const drainLimit = 3 * time.Second
	f := startStopFleet(t, stopFleetOptions{drainLimit: drainLimit})
	ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
	defer cancel()
	first := f.ask(ctx, 1, http.MethodPost, "/s/booking/a", "{}", caller.HeaderIdempotencyKey, "key-1")
	f.awaitLoad(ctx, "booking-1", 1, 0)
	// A request whose body is not complete keeps the stop waiting.
	held, _ := f.openUpload(0, "POST /v1/keys", "{}")
	opened := make([]net.Conn, 4)
	for i := range opened {
		var err error
		opened[i], err = net.Dial("tcp", f.entries[0].addr)
		must(t, err)
		defer func() { _ = opened[i].Close() }()
		// The answer to a first request keeps the connection.
		_, err = io.WriteString(opened[i], "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
		must(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(opened[i]), nil)
		must(t, err)
		_ = resp.Body.Close()
	}
	time.Sleep(uploadTime)
	f.entries[0].stop()
	time.Sleep(drainLimit * 3 / 4)
	ask := func(i int, head string) answer {
		_, err := fmt.Fprintf(opened[i], "%s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", head, w1Key)
		must(t, err)
		return readAnswer(http.ReadResponse(bufio.NewReader(opened[i]), nil))
	}
	repeated := ask(0, "POST /s/booking/a HTTP/1.1\r\n"+caller.HeaderIdempotencyKey+": key-1")
	declared := ask(1, "POST /s/booking/a HTTP/1.1\r\n"+caller.HeaderIdempotencyFirst+": true\r\n"+caller.HeaderIdempotencyKey+": key-2")
	resumed := ask(2, "GET /v1/generations/gen-model-1.x.1 HTTP/1.1")
	cancelled := ask(3, "DELETE /v1/generations/gen-model-1.x.1 HTTP/1.1")
	_ = held.Close()
	cancel()
	<-first
	convey.Convey("Only what certainly has not run is refused as not run", t, func() {
		for _, c := range []struct {
			answer
			ran result.Ran
		}{{repeated, result.RanUnknown}, {declared, result.RanNo}, {resumed, result.RanUnknown}, {cancelled, result.RanUnknown}} {
			convey.So(c.err, convey.ShouldBeNil)
			convey.So(c.fail, convey.ShouldNotBeNil)
			convey.So(c.fail.Code, convey.ShouldEqual, result.TargetLeaving)
			convey.So(c.fail.Ran, convey.ShouldEqual, c.ran)
		}
	})
}

// Guards against a stream whose cut at the end of an entry's stop looks like its end, or that another
// entry can't continue without a gap or a repetition.
func TestStreamCutByAStopIsResumedElsewhere(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, isTLS bool) {
		f := startStopFleet(t, stopFleetOptions{tls: isTLS, drainLimit: shortDrainLimit})
		ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
		defer cancel()
		resp, err := f.send(ctx, 0, http.MethodPost, "/v1/completions", completionBody("guide", "long <<len=3000>>", `,"stream":true`))
		must(t, err)
		defer func() { _ = resp.Body.Close() }()
		generation := resp.Header.Get(caller.HeaderGenerationID)
		cut, resumed := &eventReader{lastID: -1}, &eventReader{lastID: -1}
		cut.read(resp.Body, f.entries[0].stop)
		resp, err = f.send(ctx, 1, http.MethodGet, "/v1/generations/"+generation, "", caller.HeaderLastEventID, strconv.Itoa(cut.lastID))
		must(t, err)
		defer func() { _ = resp.Body.Close() }()
		resumed.read(resp.Body, func() {})
		convey.Convey("The cut is no end, and another entry delivers the rest", t, func() {
			convey.So(cut.lastID, convey.ShouldBeGreaterThanOrEqualTo, 0)
			convey.So(cut.done, convey.ShouldBeFalse)
			convey.So(cut.errorEvents, convey.ShouldEqual, 0)
			convey.So(cut.err, convey.ShouldNotBeNil)
			convey.So(resumed.err, convey.ShouldBeNil)
			convey.So(resumed.errorEvents, convey.ShouldEqual, 0)
			convey.So(resumed.done, convey.ShouldBeTrue)
			convey.So(cut.text+resumed.text, convey.ShouldEqual, strings.Join(f.engine.Output(generation), ""))
		})
	})
}

// eventReader reads the events of a stream.
type eventReader struct {
	text        string
	lastID      int
	done        bool
	errorEvents int
	err         error
}

// read reads a stream to its end and calls started after the first event.
func (r *eventReader) read(body io.Reader, started func()) {
	watched := &endReader{Reader: body}
	for event, err := range sse.Read(watched, nil) {
		switch {
		case err != nil:
			r.err = err
			return
		case event.Type == "error":
			r.errorEvents++
		case event.Data == "[DONE]":
			r.done = true
		default:
			r.text += chunkText(event.Data)
			if id, err := strconv.Atoi(event.LastEventID); err == nil {
				r.lastID = id
			}
			started()
		}
	}
	if watched.err != io.EOF {
		r.err = watched.err
	}
}

// endReader keeps the error that ends a reader.
type endReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// chunkText returns the text of an event.
func chunkText(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		return ""
	}
	return chunk.Choices[0].Text
}

// Guards against a request that a stop loses since its connection was opened, or its TLS handshake begun,
// before the stop, and the rest comes during it.
func TestStopServesOpenedConnections(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, isTLS bool) {
		f := startStopFleet(t, stopFleetOptions{tls: isTLS, drainLimit: 3 * time.Second})
		idle, err := net.Dial("tcp", f.entries[0].addr)
		must(t, err)
		defer func() { _ = idle.Close() }()
		partly, partlyReader := f.openUpload(0, "POST /v1/completions", completionBody("guide", "partly <<len=5>>", ""))
		time.Sleep(uploadTime)
		f.entries[0].stop()
		time.Sleep(uploadTime)
		conn := idle
		if isTLS {
			config := f.tlsConfig.Clone()
			config.ServerName = "127.0.0.1"
			conn = tls.Client(idle, config)
		}
		body := completionBody("guide", "idle <<len=5>>", "")
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", w1Key, len(body), body)
		must(t, err)
		_, err = io.WriteString(partly, "}")
		must(t, err)
		idleResp, idleErr := http.ReadResponse(bufio.NewReader(conn), nil)
		partlyResp, partlyErr := http.ReadResponse(partlyReader, nil)
		answers := []answer{readAnswer(idleResp, idleErr), readAnswer(partlyResp, partlyErr)}
		convey.Convey("Both requests are served", t, func() {
			for _, a := range answers {
				convey.So(a.err, convey.ShouldBeNil)
				convey.So(a.fail, convey.ShouldBeNil)
				convey.So(a.body, convey.ShouldContainSubstring, `"finish_reason"`)
			}
		})
	})
}

// Guards against requests about a generation that are cut off without an answer at the end of a stop,
// since the agent does not respond.
func TestStopAnswersRequestsAboutGenerations(t *testing.T) {
	silent := func(f *stopFleet, agentURL string) http.Handler {
		u, err := url.Parse(agentURL)
		must(t, err)
		proxy := httputil.NewSingleHostReverseProxy(u)
		proxy.FlushInterval = -1
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, peer.PathGenerations) {
				f.asked.Add(1)
				<-f.released
				return
			}
			proxy.ServeHTTP(w, r)
		})
	}
	f := startStopFleet(t, stopFleetOptions{drainLimit: shortDrainLimit, behind: silent})
	ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
	defer cancel()
	resp, err := f.send(ctx, 1, http.MethodPost, "/v1/completions", completionBody("guide", "long <<len=5000>>", `,"stream":true`))
	must(t, err)
	defer func() { _ = resp.Body.Close() }()
	path := "/v1/generations/" + resp.Header.Get(caller.HeaderGenerationID)
	resumed, cancelled := f.ask(ctx, 0, http.MethodGet, path, ""), f.ask(ctx, 0, http.MethodDelete, path, "")
	for f.asked.Load() < 2 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	f.entries[0].stop()
	answers := []answer{<-resumed, <-cancelled}
	convey.Convey("They are answered as requests whose outcome is unknown", t, func() {
		for _, a := range answers {
			convey.So(a.err, convey.ShouldBeNil)
			convey.So(a.fail, convey.ShouldNotBeNil)
			convey.So(a.fail.Code, convey.ShouldEqual, result.OutcomeUnknown)
			convey.So(a.fail.Ran, convey.ShouldEqual, result.RanUnknown)
		}
	})
}

// Guards against calls that are cut off without an answer, or denied, at the end of a stop.
func TestStopAnswersCalls(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, isTLS bool) {
		f := startStopFleet(t, stopFleetOptions{tls: isTLS, drainLimit: shortDrainLimit})
		ctx, cancel := context.WithTimeout(context.Background(), stopTestTimeout)
		defer cancel()
		running := f.ask(ctx, 0, http.MethodPost, "/s/booking/a", "{}", caller.HeaderIdempotencyKey, "a")
		f.awaitLoad(ctx, "booking-1", 1, 0)
		queued := f.ask(ctx, 0, http.MethodGet, "/s/booking/b", "")
		f.awaitLoad(ctx, "booking-1", 1, 1)
		queuedOnce := f.ask(ctx, 0, http.MethodPost, "/s/booking/c", "{}", caller.HeaderIdempotencyKey, "c")
		f.awaitLoad(ctx, "booking-1", 1, 2)
		f.entries[0].stop()
		runningAnswer, queuedAnswer, onceAnswer := <-running, <-queued, <-queuedOnce
		convey.Convey("What has run, or may run, is not denied; what was withdrawn has not run", t, func() {
			for _, a := range []answer{runningAnswer, onceAnswer} {
				convey.So(a.err, convey.ShouldBeNil)
				convey.So(a.fail, convey.ShouldNotBeNil)
				convey.So(a.fail.Code, convey.ShouldEqual, result.OutcomeUnknown)
				convey.So(a.fail.Ran, convey.ShouldEqual, result.RanUnknown)
			}
			convey.So(queuedAnswer.err, convey.ShouldBeNil)
			convey.So(queuedAnswer.fail, convey.ShouldNotBeNil)
			convey.So(queuedAnswer.fail.Ran, convey.ShouldNotEqual, result.RanYes)
			if queuedAnswer.fail.Ran == result.RanNo {
				convey.So(f.calls.Load(), convey.ShouldEqual, 1)
			}
		})
	})
}
