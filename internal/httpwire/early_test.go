package httpwire

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// earlyRuns is the number of exchanges with each early answer: some depend on the order of
// events.
const earlyRuns = 10

// exchangeEarly sends a long request to a server that answers early. It returns the body of the
// answer and whether the connection could carry another request.
func exchangeEarly(t *testing.T, a platformtest.EarlyAnswer, upload []byte) (body string, reusable bool, err error) {
	t.Helper()
	l := platformtest.ListenEarly()
	defer func() { _ = l.Close() }()
	go platformtest.ServeEarly(l, a)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := NewPool(PoolOptions{DialTimeout: 5 * time.Second}).Get(ctx, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	defer conn.CloseOnDone(ctx)()
	if err := conn.Send(&Request{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: [][]byte{upload}}); err != nil {
		return "", false, err
	}
	resp, err := conn.Receive(http.MethodPost)
	if err != nil {
		return "", false, err
	}
	data, err := ReadBody(resp.Body, 1<<20)
	return string(data), conn.Reusable(resp), err
}

// countComplete returns the number of exchanges, out of earlyRuns, whose answer is taken for
// complete, and of those after which the connection could carry another request.
func countComplete(t *testing.T, a platformtest.EarlyAnswer, upload []byte, want string) (complete, reusable int64) {
	t.Helper()
	var completed, reused atomic.Int64
	var wg sync.WaitGroup
	for range earlyRuns {
		wg.Go(func() {
			body, isReusable, err := exchangeEarly(t, a, upload)
			if err == nil && body == want {
				completed.Add(1)
			}
			if isReusable {
				reused.Add(1)
			}
		})
	}
	wg.Wait()
	return completed.Load(), reused.Load()
}

// Guards against a part of an answer that is taken for complete because a write of the request
// was told of the reset, so that the reads ended in order (issue 53).
func TestAnswerThatIsBrokenOffDuringTheUpload(t *testing.T) {
	upload := make([]byte, platformtest.EarlyUploadBytes)
	for _, a := range platformtest.EarlyAnswers("HTTP/1.1 200 OK\r\n", platformtest.EarlyPart) {
		Convey("An answer that ends with its connection: "+a.Name, t, func() {
			complete, reusable := countComplete(t, a, upload, platformtest.EarlyPart)
			want := 0
			if a.Whole {
				want = earlyRuns
			}
			So(complete, ShouldEqual, want)
			So(reusable, ShouldEqual, 0)
		})
	}
}

// Guards against an early answer that states its length, is whole and is not received, and
// against the rest of its request becoming another request.
func TestEarlyAnswerWithALengthIsReceived(t *testing.T) {
	upload := make([]byte, platformtest.LongUploadBytes)
	for name, end := range map[string]platformtest.ConnEnd{"reset": platformtest.Reset, "closed": platformtest.Close, "ended in order": platformtest.HalfClose} {
		Convey("An answer with a length, "+name, t, func() {
			a := platformtest.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + platformtest.EarlyPart, Delay: 20 * time.Millisecond, End: end}
			complete, reusable := countComplete(t, a, upload, platformtest.EarlyPart)
			So(complete, ShouldEqual, earlyRuns)
			So(reusable, ShouldEqual, 0)
		})
	}
}
