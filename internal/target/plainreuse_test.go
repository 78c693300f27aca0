package target

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// repeated counts the responses that the services of serveRepeating have repeated.
var repeated atomic.Int64

// serveRepeating starts a service that sends, before its response to the second and each
// later request of a connection, the response to the first one once more.
func serveRepeating(t *testing.T) (baseURL string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	response := func(path string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader, first := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					text := first + response(req.URL.Path)
					if first == "" {
						first = text
					} else {
						repeated.Add(1)
					}
					if _, err := c.Write([]byte(text)); err != nil || req.Close {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a generation that is taken for another one: the engine sends the response
// to an earlier request, late, on a connection that is in use again.
func TestEngineRequestsShareNoConnection(t *testing.T) {
	engine := NewEngine(serveRepeating(t), httpclient.New(httpclient.Options{IdlePerHost: 4}))
	convey.Convey("Each response belongs to its request", t, func() {
		for n := range 5 {
			err := engine.Resume(context.Background(), fmt.Sprint(n), 0, func(Chunk) error { return nil })
			convey.So(err, convey.ShouldNotBeNil)
		}
		convey.So(repeated.Load(), convey.ShouldEqual, 0)
	})
}

// Guards against a caller that gets the response to an earlier call: a service sends it a
// second time, late, on a connection that is in use again.
func TestLateSecondResponseReachesNoOtherCall(t *testing.T) {
	plain := NewPlain(serveRepeating(t), httpclient.New(httpclient.Options{IdlePerHost: 4}))
	convey.Convey("Each call gets its own response", t, func() {
		before := repeated.Load()
		defer func() { convey.So(repeated.Load(), convey.ShouldEqual, before) }()
		for n := range 20 {
			path := fmt.Sprintf("/call/%d", n)
			reply, err := plain.Do(context.Background(), PlainCall{Method: http.MethodGet, Path: path})
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(reply.Body), convey.ShouldEqual, path)
		}
	})
}
