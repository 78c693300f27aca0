package httpserve

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a request that is cut off without a response because the server reads it
// after the start of a stop, on a connection that it had accepted before.
func TestStopServesAcceptedConnections(t *testing.T) {
	convey.Convey("A request that is completed during the stop gets its response", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		s := New("test", l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), 10*time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx) }()
		c, err := net.Dial("tcp", l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\n"))
		convey.So(err, convey.ShouldBeNil)
		for active := 0; active == 0; time.Sleep(time.Millisecond) {
			_, opened := s.conns.count()
			active = opened
		}
		cancel()
		// The listener refuses connections from the start of the stop on.
		for {
			probe, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				break
			}
			_ = probe.Close()
		}
		_, err = c.Write([]byte("Host: h\r\n\r\n"))
		convey.So(err, convey.ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusNoContent)
		<-served
	})
}
