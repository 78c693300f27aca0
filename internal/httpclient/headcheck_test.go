package httpclient

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

const (
	soundFields = "Content-Type: text/plain\r\n"
	soundBody   = "hello"
)

// serveTexts responds on each connection of l with first to as many requests as times states,
// then with last, and closes the connection.
func serveTexts(l net.Listener, first string, times int, last string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			for n := 0; n <= times; n++ {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				text := first
				if n == times {
					text = last
				}
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}()
	}
}

// exchangeTexts sends times+1 requests to a server of serveTexts. It returns the body of the
// last response, or the first error.
func exchangeTexts(t *testing.T, secure bool, first string, times int, last string) (string, error) {
	t.Helper()
	var l net.Listener
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	scheme, opts := "http://", Options{IdlePerHost: 1}
	if secure {
		server := httptest.NewUnstartedServer(nil)
		server.StartTLS()
		defer server.Close()
		opts.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig
		l = tls.NewListener(l, server.TLS)
		scheme = "https://"
	}
	go serveTexts(l, first, times, last)
	client := New(opts)
	defer client.CloseIdleConnections()
	var body []byte
	for range times + 1 {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, scheme+l.Addr().String(), strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return "", err
		}
	}
	return string(body), nil
}

// testHeads receives each response as the first and as the third of a connection, without and
// with TLS, and returns the names of those whose result judge rejects.
func testHeads(t *testing.T, responses []platformtest.Response, judge func(body string, err error) bool) (wrong []string) {
	t.Helper()
	sound := platformtest.ValidResponses(soundFields, soundBody)[0].Text
	for _, r := range responses {
		for _, secure := range []bool{false, true} {
			for _, times := range []int{0, 2} {
				if body, err := exchangeTexts(t, secure, sound, times, r.Text); !judge(body, err) {
					wrong = append(wrong, r.Name)
				}
			}
		}
	}
	return wrong
}

func isError(_ string, err error) bool { return err != nil }

// Guards against a response with an invalid status such as 000 that is taken for an answer.
func TestInvalidStatusLines(t *testing.T) {
	convey.Convey("A response with an invalid status line is an error", t, func() {
		convey.So(testHeads(t, platformtest.InvalidStatusLines(soundFields, soundBody), isError), convey.ShouldBeEmpty)
	})
	convey.Convey("The error names the cause", t, func() {
		_, err := exchangeTexts(t, false, "", 0, "HTTP/1.1 000 OK\r\n\r\n")
		convey.So(errors.Is(err, httphead.ErrInvalid), convey.ShouldBeTrue)
	})
}

// Guards against a response with an invalid field line that is taken for an answer, or whose
// body is read with the wrong framing.
func TestInvalidFields(t *testing.T) {
	convey.Convey("A response with an invalid field line is an error", t, func() {
		convey.So(testHeads(t, platformtest.InvalidFields(soundFields, soundBody), isError), convey.ShouldBeEmpty)
	})
}

// Guards against the framing of chunks that is taken for a part of the body.
func TestInvalidFraming(t *testing.T) {
	convey.Convey("A response that contradicts itself about the end of its body is an error", t, func() {
		convey.So(testHeads(t, platformtest.InvalidFraming(soundFields, soundBody), isError), convey.ShouldBeEmpty)
	})
}

// Guards against the rejection of valid but unusual heads.
func TestUnusualHeads(t *testing.T) {
	convey.Convey("A valid response is one", t, func() {
		convey.So(testHeads(t, platformtest.ValidResponses(soundFields, soundBody), func(body string, err error) bool {
			return err == nil && body == soundBody
		}), convey.ShouldBeEmpty)
	})
}

// Guards against a body on a reused connection that is checked like a head.
func TestEachHeadOfAConnectionIsChecked(t *testing.T) {
	convey.Convey("Bodies that look like invalid heads pass, many on one connection", t, func() {
		var opened atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		client := New(Options{IdlePerHost: 1})
		for range 50 {
			text := strings.Repeat("HTTP/1.1 000\r\n", 1000)
			resp, err := client.Post(server.URL, "text/plain", strings.NewReader(text))
			convey.So(err, convey.ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			CloseBody(resp)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(body) == text, convey.ShouldBeTrue)
		}
		server.Close()
		convey.So(opened.Load(), convey.ShouldEqual, 1)
	})
}

// Guards against a request that fails because another one already uses its connection: the
// transport reuses a connection before it returns a response without a body.
func TestConcurrentRequestsKeepTheirHeads(t *testing.T) {
	convey.Convey("Concurrent requests with empty responses succeed", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		defer server.Close()
		client := New(Options{IdlePerHost: 2})
		var failed atomic.Int64
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				for range 200 {
					resp, err := SendJSON(context.Background(), client, http.MethodPost, server.URL, "x")
					if err != nil {
						failed.Add(1)
						continue
					}
					CloseBody(resp)
				}
			})
		}
		wg.Wait()
		convey.So(failed.Load(), convey.ShouldEqual, 0)
	})
}
