package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/result"
)

// rawTarget is a proxy in front of an engine or a service. If raw is not empty, it sends raw in
// response to calls and completions instead of forwarding them.
type rawTarget struct {
	*httptest.Server
	raw atomic.Pointer[string]
	// sent counts the raw responses.
	sent atomic.Int64
}

func newRawTarget(t *testing.T, behind string) *rawTarget {
	t.Helper()
	target, err := url.Parse(behind)
	if err != nil {
		t.Fatal(err)
	}
	r := &rawTarget{}
	r.respond("")
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		text := *r.raw.Load()
		isWork := strings.HasPrefix(req.URL.Path, "/call") || strings.HasPrefix(req.URL.Path, "/v1/completions") && req.Method != http.MethodDelete
		if text == "" || !isWork {
			proxy.ServeHTTP(w, req)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		r.sent.Add(1)
		_, _ = conn.Write([]byte(text))
		_ = conn.Close()
	}))
	t.Cleanup(r.Close)
	return r
}

func (r *rawTarget) respond(text string) { r.raw.Store(&text) }

// startRawFleet starts a fleet with a plain service and an engine that send raw responses.
func startRawFleet(t *testing.T) (url string, service, engine *rawTarget) {
	t.Helper()
	f := startFleetWith(t, func(o *agent.Options) {
		if o.PlainURL != "" {
			service = newRawTarget(t, o.PlainURL)
			o.PlainURL = service.URL
			return
		}
		engine = newRawTarget(t, o.EngineURL)
		o.EngineURL = engine.URL
	})
	return f.EntryURLs[0], service, engine
}

// Fields and bodies of the responses that the targets send.
const (
	callFields   = "Content-Type: text/plain\r\n"
	callBody     = "hello, HTTP/1.1 000"
	streamFields = "Content-Type: text/event-stream\r\n"
	streamBody   = "id: 0\ndata: {\"choices\":[{\"text\":\"hello\"}]}\n\n" +
		"data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"
)

// headCase is a request and the response that its target sends.
type headCase struct {
	name, method, path, body string
	header                   []string
	target                   *rawTarget
	response                 platformtest.Response
}

// maxCompletionCases limits the cases of completions, which take seconds each: an agent tries
// to resume a broken one. The tests of package target have all cases.
const maxCompletionCases = 2

// headCases returns the cases of each kind of request.
func headCases(service, engine *rawTarget, responses func(fields, body string) []platformtest.Response) []headCase {
	var cases []headCase
	for i, r := range responses(callFields, callBody) {
		cases = append(cases,
			headCase{"call", http.MethodGet, "/s/booking/call", "", nil, service, r},
			headCase{"call at most once", http.MethodPost, "/s/booking/call", "", []string{"Idempotency-Key", fmt.Sprint("k", i)}, service, r},
		)
	}
	for _, r := range responses(streamFields, streamBody)[:maxCompletionCases] {
		cases = append(cases, headCase{"completion", http.MethodPost, "/v1/completions", completionBody("guide", "p", ""), nil, engine, r})
	}
	return cases
}

// sendCase sends the request of a case while its target sends the response of the case.
func sendCase(entryURL string, c headCase) (callerResponse, error) {
	c.target.respond(c.response.Text)
	defer c.target.respond("")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return trySend(ctx, c.method, entryURL+c.path, w1Key, c.body, c.header...)
}

// testInvalidHeads checks what callers get while targets send invalid responses.
func testInvalidHeads(t *testing.T, invalid func(fields, body string) []platformtest.Response) {
	convey.Convey("Given targets that send an invalid response, callers get an error and are not told that the work has not run", t, func() {
		entryURL, service, engine := startRawFleet(t)
		var passedOn, withoutError, notRun, repeated []string
		for _, c := range headCases(service, engine, invalid) {
			name := c.name + ": " + c.response.Name
			before := c.target.sent.Load()
			got, err := sendCase(entryURL, c)
			if strings.Contains(got.body, "hello") {
				passedOn = append(passedOn, name)
			}
			if err != nil || got.code == 0 || got.status < http.StatusInternalServerError {
				withoutError = append(withoutError, name)
			}
			if got.ran == result.RanNo {
				notRun = append(notRun, name)
			}
			if c.name == "call at most once" && c.target.sent.Load() != before+1 {
				repeated = append(repeated, name)
			}
		}
		convey.So(passedOn, convey.ShouldBeEmpty)
		convey.So(withoutError, convey.ShouldBeEmpty)
		convey.So(notRun, convey.ShouldBeEmpty)
		convey.So(repeated, convey.ShouldBeEmpty)
	})
}

// Guards against a caller that gets a response with an invalid status such as 000, or the bytes
// after its head as another response.
func TestInvalidStatusLinesReachNoCaller(t *testing.T) {
	testInvalidHeads(t, platformtest.InvalidStatusLines)
}

// Guards against a caller that gets a response with an invalid field line, or with a body
// that is not the target's because of such a line.
func TestInvalidFieldsReachNoCaller(t *testing.T) { testInvalidHeads(t, platformtest.InvalidFields) }

// Guards against a caller that gets the framing of chunks as a part of the body.
func TestInvalidFramingReachesNoCaller(t *testing.T) {
	testInvalidHeads(t, platformtest.InvalidFraming)
}

// Guards against the rejection of valid but unusual heads.
func TestUnusualHeadsReachCallers(t *testing.T) {
	convey.Convey("Given targets that send a valid response, callers get it", t, func() {
		entryURL, service, engine := startRawFleet(t)
		var lost []string
		for _, c := range headCases(service, engine, platformtest.ValidResponses) {
			if got, err := sendCase(entryURL, c); err != nil || got.status/100 != 2 || !strings.Contains(got.body, "hello") {
				lost = append(lost, fmt.Sprintf("%s: %s: %d %s", c.name, c.response.Name, got.status, got.body))
			}
		}
		convey.So(lost, convey.ShouldBeEmpty)
	})
}
