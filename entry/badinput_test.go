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

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/result"
)

const (
	ownKey   = "key-of-w1"
	otherKey = "key-of-w2"
)

func startDemo(t *testing.T) *demo.Fleet {
	t.Helper()
	engine := standin.DefaultEngineOptions()
	engine.Models, engine.Base, engine.PerSequence, engine.PerPrefill = []string{"m1"}, time.Millisecond, 0, 0
	home := demo.Place{Datacentre: "c1", Region: "central"}
	f, err := demo.Start(demo.Options{
		Engines: []demo.Place{home}, Plains: []demo.Place{home}, Entries: []demo.Place{home}, Engine: engine, PlainRole: "booking",
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
			{Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET"}, OnceMethods: []string{"POST"}, MaxBody: 100},
		},
		Workspaces: []config.Workspace{
			{Name: "w1", Weight: 1, Services: []string{"guide", "booking"}, KeyHashes: []string{config.HashKey(ownKey)}},
			{Name: "w2", Weight: 1, KeyHashes: []string{config.HashKey(otherKey)}},
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// reply is an answer reduced to what a caller can tell apart.
type reply struct {
	status int
	body   string
	code   result.Code
	ran    result.Ran
	header http.Header
}

func send(t *testing.T, method, url, key, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := reply{status: resp.StatusCode, body: string(data), header: resp.Header}
	if e := result.Decode(data); e != nil {
		out.code, out.ran = e.Code, e.Ran
	}
	return out
}

// ask returns the body of a completion.
func ask(service, prompt string, more string) string {
	text, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":%q,"prompt":%s%s}`, service, text, more)
}

func TestBadInput(t *testing.T) {
	f := startDemo(t)
	url := f.EntryURLs[0]
	forged := "/v1/generations/gen-model-1.000000000000.00"
	cases := []struct {
		name, method, path, body string
		header                   []string
		code                     result.Code
	}{
		{"empty body", "POST", "/v1/completions", "", nil, result.InvalidRequest},
		{"malformed JSON", "POST", "/v1/completions", `{"model":`, nil, result.InvalidRequest},
		{"wrong type", "POST", "/v1/completions", `{"model":7}`, nil, result.InvalidRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"guide"}`, nil, result.InvalidRequest},
		{"prompt of a wrong type", "POST", "/v1/completions", `{"model":"guide","prompt":{}}`, nil, result.InvalidRequest},
		{"negative length", "POST", "/v1/completions", ask("guide", "p", `,"max_tokens":-1`), nil, result.InvalidRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"guide","messages":[]}`, nil, result.InvalidRequest},
		{"unknown service", "POST", "/v1/completions", ask("none", "p", ""), nil, result.UnknownService},
		{"service of another workspace", "POST", "/v1/completions", ask("private", "p", ""), nil, result.UnknownService},
		{"plain service as model", "POST", "/v1/completions", ask("booking", "p", ""), nil, result.UnknownService},
		{"prompt too long", "POST", "/v1/completions", ask("guide", strings.Repeat("word ", 1000), ""), nil, result.PromptTooLong},
		{"output too long", "POST", "/v1/completions", ask("guide", "p", `,"max_tokens":1001`), nil, result.PromptTooLong},
		{"body too large", "POST", "/v1/completions", ask("guide", strings.Repeat("x", 5<<20), ""), nil, result.BodyTooLarge},
		{"event id not a number", "GET", forged, "", []string{"Last-Event-ID", "x"}, result.InvalidEventID},
		{"event id negative", "GET", forged, "", []string{"Last-Event-ID", "-5"}, result.InvalidEventID},
		{"event id beyond any integer", "GET", forged, "", []string{"Last-Event-ID", strings.Repeat("9", 40)}, result.InvalidEventID},
		{"forged incarnation", "GET", forged, "", nil, result.UnknownGeneration},
		{"forged VM", "GET", "/v1/generations/gen-x.y.z", "", nil, result.UnknownGeneration},
		{"not an id", "GET", "/v1/generations/x", "", nil, result.UnknownGeneration},
		{"cancel of a forged id", "DELETE", forged, "", nil, result.UnknownGeneration},
		{"unknown plain service", "GET", "/s/none/x", "", nil, result.UnknownService},
		{"model as plain service", "GET", "/s/guide/x", "", nil, result.UnknownService},
		{"method not declared", "PUT", "/s/booking/x", "", nil, result.MethodNotDeclared},
		{"call without a key", "POST", "/s/booking/x", "{}", nil, result.KeyRequired},
		{"call body too large", "POST", "/s/booking/x", strings.Repeat("x", 101), []string{"Idempotency-Key", "k"}, result.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := send(t, c.method, url+c.path, ownKey, c.body, c.header...)
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

// TestNothingIsRevealed compares answers that must not be told apart.
func TestNothingIsRevealed(t *testing.T) {
	f := startDemo(t)
	url := f.EntryURLs[0]
	Convey("Given a generation of one workspace", t, func() {
		made := send(t, "POST", url+"/v1/completions", ownKey, ask("guide", "<<len=5>>", ""))
		So(made.status, ShouldEqual, http.StatusOK)
		id := made.header.Get("X-Generation-Id")
		So(id, ShouldNotBeEmpty)
		same := func(a, b reply) {
			So(a.status, ShouldEqual, b.status)
			So(a.body, ShouldEqual, b.body)
			So(len(a.header), ShouldEqual, len(b.header))
		}
		Convey("another workspace cannot tell it from one that does not exist", func() {
			for _, method := range []string{"GET", "DELETE"} {
				there := send(t, method, url+"/v1/generations/"+id, otherKey, "")
				So(there.code, ShouldEqual, result.UnknownGeneration)
				same(there, send(t, method, url+"/v1/generations/gen-none.000000000000.00", otherKey, ""))
				same(there, send(t, method, url+"/v1/generations/"+id+"0", otherKey, ""))
			}
		})
		Convey("a caller without a valid key learns nothing", func() {
			for _, key := range []string{"", "wrong"} {
				want := send(t, "GET", url+"/v1/generations/none", key, "")
				So(want.code, ShouldEqual, result.Unauthenticated)
				same(want, send(t, "GET", url+"/v1/generations/"+id, key, ""))
				same(want, send(t, "POST", url+"/v1/completions", key, ask("guide", "p", "")))
				same(want, send(t, "POST", url+"/v1/completions", key, ask("none", "p", "")))
				same(want, send(t, "GET", url+"/s/booking/x", key, ""))
				same(want, send(t, "GET", url+"/s/none/x", key, ""))
				for _, path := range []string{"/metrics", "/peer/v1/state", "/peer/v1/decisions", "/peer/v1/none"} {
					So(send(t, "GET", url+path, key, "").code, ShouldEqual, result.Unauthenticated)
				}
			}
		})
		Convey("a workspace's key does not open the processes' interface", func() {
			So(send(t, "GET", url+"/peer/v1/state", ownKey, "").code, ShouldEqual, result.Unauthenticated)
		})
	})
}

// TestSenderLimits sends headers that are too large or too slow.
func TestSenderLimits(t *testing.T) {
	f := startDemo(t)
	addr := strings.TrimPrefix(f.EntryURLs[0], "http://")
	Convey("Headers over the limit are refused", t, func() {
		got := send(t, "GET", f.EntryURLs[0]+"/v1/generations/x", ownKey, "", "X-Large", strings.Repeat("x", 64<<10))
		So(got.status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	slow := func(start string) string {
		conn, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(start))
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			So(err, ShouldEqual, io.EOF)
		}
		return line
	}
	Convey("A sender that does not finish its headers is disconnected", t, func() {
		slow("POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	})
	Convey("A sender that does not finish its body is refused and nothing runs", t, func() {
		head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + ownKey + "\r\nContent-Length: 100\r\n\r\n"
		So(slow(head+`{"model":"guide"`), ShouldStartWith, "HTTP/1.1 400")
		So(f.Engines[0].Stats().Started, ShouldEqual, 0)
	})
}
