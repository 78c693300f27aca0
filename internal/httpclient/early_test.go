package httpclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// earlyRuns is the number of exchanges with each early answer: some depend on the order of
// events.
const earlyRuns = 10

// exchangeEarly sends a long request to a server that answers early and returns the body of the
// answer. With chunked, the request has no length.
func exchangeEarly(t *testing.T, secure, chunked bool, a platformtest.EarlyAnswer, upload []byte) (string, error) {
	t.Helper()
	l := platformtest.ListenEarly()
	scheme, opts := "http://", Options{DialTimeout: 5 * time.Second}
	if secure {
		server := httptest.NewUnstartedServer(nil)
		server.StartTLS()
		defer server.Close()
		opts.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig
		l = tls.NewListener(l, server.TLS)
		scheme = "https://"
	}
	defer func() { _ = l.Close() }()
	go platformtest.ServeEarly(l, a)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := New(opts)
	defer client.CloseIdleConnections()
	var body io.Reader = bytes.NewReader(upload)
	if chunked {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+l.Addr().String(), body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// countComplete returns the number of exchanges, out of earlyRuns, whose answer is taken for
// complete.
func countComplete(t *testing.T, secure, chunked bool, a platformtest.EarlyAnswer) int64 {
	t.Helper()
	upload := make([]byte, platformtest.EarlyUploadBytes)
	var completed atomic.Int64
	var wg sync.WaitGroup
	for range earlyRuns {
		wg.Go(func() {
			if body, err := exchangeEarly(t, secure, chunked, a, upload); err == nil && body == platformtest.EarlyPart {
				completed.Add(1)
			}
		})
	}
	wg.Wait()
	return completed.Load()
}

// Guards against a part of an answer that is taken for complete because a write of the request
// was told of the reset, so that the reads ended in order (issue 53).
func TestAnswerThatIsBrokenOffDuringTheUpload(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, a := range platformtest.EarlyAnswers("HTTP/1.1 200 OK\r\n", platformtest.EarlyPart) {
			name := "An answer that ends with its connection: " + a.Name
			if secure {
				name += ", with TLS"
			}
			convey.Convey(name, t, func() {
				want := 0
				if a.Whole {
					want = earlyRuns
				}
				convey.So(countComplete(t, secure, false, a), convey.ShouldEqual, want)
				convey.So(countComplete(t, secure, true, a), convey.ShouldEqual, want)
			})
		}
	}
}

// Guards against a part of an answer that is taken for complete because the connection ended
// without the end of TLS on it.
func TestAnswerThatEndsWithoutTheEndOfTLS(t *testing.T) {
	convey.Convey("The end of a connection without the end of TLS does not end an answer", t, func() {
		a := platformtest.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\n\r\n" + platformtest.EarlyPart, ReadsOn: true, AfterBody: true, End: platformtest.CutTLS}
		convey.So(countComplete(t, true, false, a), convey.ShouldEqual, 0)
	})
	convey.Convey("An answer with a length does not need the end of TLS", t, func() {
		a := platformtest.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + platformtest.EarlyPart, ReadsOn: true, AfterBody: true, End: platformtest.CutTLS}
		convey.So(countComplete(t, true, false, a), convey.ShouldEqual, earlyRuns)
	})
}

// Guards against an early answer that states its length, is whole and is not received because
// the connection ends in order before the request was written.
func TestEarlyAnswerWithALengthIsReceived(t *testing.T) {
	for _, secure := range []bool{false, true} {
		name := "A whole answer with a length is received"
		if secure {
			name += ", with TLS"
		}
		convey.Convey(name, t, func() {
			a := platformtest.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + platformtest.EarlyPart, Delay: 20 * time.Millisecond, End: platformtest.HalfClose}
			convey.So(countComplete(t, secure, false, a), convey.ShouldEqual, earlyRuns)
		})
	}
}
