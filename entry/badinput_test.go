package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/result"
)

const (
	w1Key = "key-of-w1"
	w2Key = "key-of-w2"
)

func startFleet(t *testing.T) *demo.Fleet { return startFleetWith(t, nil) }

// startFleetWith starts a fleet and applies adjustAgent, if not nil, to the options of each agent.
func startFleetWith(t *testing.T, adjustAgent func(*agent.Options)) *demo.Fleet {
	t.Helper()
	engine := standin.DefaultEngineOptions()
	engine.Models, engine.StepBase, engine.StepPerSequence, engine.StepPerPromptToken = []string{"m1"}, time.Millisecond, 0, 0
	location := demo.Location{Datacentre: "c1", Region: "central"}
	f, err := demo.Start(demo.Options{
		Engines: []demo.Location{location}, Plains: []demo.Location{location}, Entries: []demo.Location{location}, Engine: engine, PlainRole: "booking", AdjustAgent: adjustAgent,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = f.Publish(ctx, []config.Document{{
		Name: "test",
		Services: []config.Service{
			{Name: "guide", Kind: config.KindModel, Model: "m1", MaxTokens: 1000},
			{Name: "private", Kind: config.KindModel, Model: "m1"},
			{Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET"}, AtMostOnceMethods: []string{"POST"}, MaxBodyBytes: 100},
		},
		Workspaces: []config.Workspace{
			{Name: "w1", Weight: 1, Services: []string{"guide", "booking"}, KeyHashes: []string{config.HashKey(w1Key)}},
			{Name: "w2", Weight: 1, KeyHashes: []string{config.HashKey(w2Key)}},
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// callerResponse holds the parts of a response that a caller can compare.
type callerResponse struct {
	status int
	body   string
	code   result.Code
	ran    result.Ran
	header http.Header
}

// sendRequest sends a request and decodes the error in the response, if there is
// one. header holds names and values in turn.
func sendRequest(t *testing.T, method, url, key, body string, header ...string) callerResponse {
	t.Helper()
	response, err := trySend(context.Background(), method, url, key, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// trySend is like sendRequest and returns an error if no complete response arrives.
func trySend(ctx context.Context, method, url, key, body string, header ...string) (callerResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return callerResponse{}, err
	}
	response := callerResponse{status: resp.StatusCode, body: string(data), header: resp.Header}
	if e := result.Decode(data); e != nil {
		response.code, response.ran = e.Code, e.Ran
	}
	return response, nil
}

// completionBody returns the body of a completion request; extraFields is appended
// to its JSON fields.
func completionBody(service, prompt string, extraFields string) string {
	promptJSON, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":%q,"prompt":%s%s}`, service, promptJSON, extraFields)
}

// TestBadInput guards against malformed, oversized or unauthorized requests that
// get a wrong error or start work at a target.
func TestBadInput(t *testing.T) {
	f := startFleet(t)
	url := f.EntryURLs[0]
	forged := "/v1/generations/gen-model-1.000000000000.00"
	cases := []struct {
		name, method, path, body string
		header                   []string
		code                     result.Code
	}{
		{"empty body", "POST", "/v1/completions", "", nil, result.InvalidRequest},
		{"malformed JSON", "POST", "/v1/completions", `{"model":`, nil, result.InvalidRequest},
		{"model of a wrong type", "POST", "/v1/completions", `{"model":7}`, nil, result.InvalidRequest},
		{"missing prompt", "POST", "/v1/completions", `{"model":"guide"}`, nil, result.InvalidRequest},
		{"prompt of a wrong type", "POST", "/v1/completions", `{"model":"guide","prompt":{}}`, nil, result.InvalidRequest},
		{"negative max_tokens", "POST", "/v1/completions", completionBody("guide", "p", `,"max_tokens":-1`), nil, result.InvalidRequest},
		{"empty messages", "POST", "/v1/chat/completions", `{"model":"guide","messages":[]}`, nil, result.InvalidRequest},
		{"unknown service", "POST", "/v1/completions", completionBody("none", "p", ""), nil, result.UnknownService},
		{"service of another workspace", "POST", "/v1/completions", completionBody("private", "p", ""), nil, result.UnknownService},
		{"plain service in a completion", "POST", "/v1/completions", completionBody("booking", "p", ""), nil, result.UnknownService},
		{"prompt too long", "POST", "/v1/completions", completionBody("guide", strings.Repeat("word ", 1000), ""), nil, result.PromptTooLong},
		{"output too long", "POST", "/v1/completions", completionBody("guide", "p", `,"max_tokens":1001`), nil, result.PromptTooLong},
		{"body too large", "POST", "/v1/completions", completionBody("guide", strings.Repeat("x", 5<<20), ""), nil, result.BodyTooLarge},
		{"event id not a number", "GET", forged, "", []string{"Last-Event-ID", "x"}, result.InvalidEventID},
		{"event id negative", "GET", forged, "", []string{"Last-Event-ID", "-5"}, result.InvalidEventID},
		{"event id overflows an integer", "GET", forged, "", []string{"Last-Event-ID", strings.Repeat("9", 40)}, result.InvalidEventID},
		{"generation id with a wrong incarnation", "GET", forged, "", nil, result.UnknownGeneration},
		{"generation id with an unknown VM", "GET", "/v1/generations/gen-x.y.z", "", nil, result.UnknownGeneration},
		{"malformed generation id", "GET", "/v1/generations/x", "", nil, result.UnknownGeneration},
		{"cancel of a forged generation id", "DELETE", forged, "", nil, result.UnknownGeneration},
		{"unknown plain service", "GET", "/s/none/x", "", nil, result.UnknownService},
		{"model service in a plain call", "GET", "/s/guide/x", "", nil, result.UnknownService},
		{"undeclared method", "PUT", "/s/booking/x", "", nil, result.MethodNotDeclared},
		{"call without an idempotency key", "POST", "/s/booking/x", "{}", nil, result.KeyRequired},
		{"plain call body too large", "POST", "/s/booking/x", strings.Repeat("x", 101), []string{"Idempotency-Key", "k"}, result.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := sendRequest(t, c.method, url+c.path, w1Key, c.body, c.header...)
			if got.code != c.code || got.status != c.code.Status() {
				t.Errorf("got %d %s, want code %d", got.status, got.body, c.code)
			}
		})
	}
	if n := f.Engines[0].Stats().Started; n != 0 {
		t.Errorf("%d generations ran", n)
	}
	if n := f.Plains[0].Lookups() + len(f.Plains[0].Effects()); n != 0 {
		t.Errorf("%d calls ran", n)
	}
}

// TestAnswersDoNotRevealExistence guards against answers that differ depending on
// whether a generation or service exists that the caller may not access.
func TestAnswersDoNotRevealExistence(t *testing.T) {
	f := startFleet(t)
	url := f.EntryURLs[0]
	Convey("Given a generation of one workspace", t, func() {
		created := sendRequest(t, "POST", url+"/v1/completions", w1Key, completionBody("guide", "<<len=5>>", ""))
		So(created.status, ShouldEqual, http.StatusOK)
		id := created.header.Get("X-Generation-Id")
		So(id, ShouldNotBeEmpty)
		assertEqualAnswers := func(a, b callerResponse) {
			So(a.status, ShouldEqual, b.status)
			So(a.body, ShouldEqual, b.body)
			So(len(a.header), ShouldEqual, len(b.header))
		}
		Convey("another workspace gets the same answer as for a generation that does not exist", func() {
			for _, method := range []string{"GET", "DELETE"} {
				got := sendRequest(t, method, url+"/v1/generations/"+id, w2Key, "")
				So(got.code, ShouldEqual, result.UnknownGeneration)
				assertEqualAnswers(got, sendRequest(t, method, url+"/v1/generations/gen-none.000000000000.00", w2Key, ""))
				assertEqualAnswers(got, sendRequest(t, method, url+"/v1/generations/"+id+"0", w2Key, ""))
			}
		})
		Convey("a caller without a valid key gets the same answer for every path", func() {
			for _, key := range []string{"", "wrong"} {
				want := sendRequest(t, "GET", url+"/v1/generations/none", key, "")
				So(want.code, ShouldEqual, result.Unauthenticated)
				assertEqualAnswers(want, sendRequest(t, "GET", url+"/v1/generations/"+id, key, ""))
				assertEqualAnswers(want, sendRequest(t, "POST", url+"/v1/completions", key, completionBody("guide", "p", "")))
				assertEqualAnswers(want, sendRequest(t, "POST", url+"/v1/completions", key, completionBody("none", "p", "")))
				assertEqualAnswers(want, sendRequest(t, "GET", url+"/s/booking/x", key, ""))
				assertEqualAnswers(want, sendRequest(t, "GET", url+"/s/none/x", key, ""))
				for _, path := range []string{"/metrics", "/peer/v1/state", "/peer/v1/decisions", "/peer/v1/none"} {
					So(sendRequest(t, "GET", url+path, key, "").code, ShouldEqual, result.Unauthenticated)
				}
			}
		})
		Convey("a workspace's key gives no access to the /peer interface", func() {
			So(sendRequest(t, "GET", url+"/peer/v1/state", w1Key, "").code, ShouldEqual, result.Unauthenticated)
		})
	})
}

// TestSenderLimits guards against callers that occupy connections or memory by sending
// oversized headers, or headers and bodies that never end.
func TestSenderLimits(t *testing.T) {
	f := startFleet(t)
	addr := strings.TrimPrefix(f.EntryURLs[0], "http://")
	Convey("Headers over the limit are rejected", t, func() {
		got := sendRequest(t, "GET", f.EntryURLs[0]+"/v1/generations/x", w1Key, "", "X-Large", strings.Repeat("x", 64<<10))
		So(got.status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	sendPartial := func(partialRequest string) string {
		conn, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(partialRequest))
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			So(err, ShouldEqual, io.EOF)
		}
		return line
	}
	Convey("A caller that does not finish its headers is disconnected", t, func() {
		sendPartial("POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	})
	Convey("A caller that does not finish its body is rejected and nothing runs", t, func() {
		partialRequest := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + w1Key + "\r\nContent-Length: 100\r\n\r\n"
		So(sendPartial(partialRequest+`{"model":"guide"`), ShouldStartWith, "HTTP/1.1 400")
		So(f.Engines[0].Stats().Started, ShouldEqual, 0)
	})
}
