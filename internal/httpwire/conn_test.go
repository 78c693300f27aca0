package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
)

// endlessBytes bounds what the peer of a test sends if the client never stops reading.
const endlessBytes = 32 << 20

// serveEndless starts a server that sends the given text and then repeats line, until its
// client closes the connection. sent receives the number of repeated bytes.
func serveEndless(t *testing.T, start, line string) (addr string, sent <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	result := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprint(c, start)
		total := 0
		for total < endlessBytes {
			n, err := c.Write([]byte(line))
			total += n
			if err != nil {
				break
			}
		}
		result <- total
	}()
	return l.Addr().String(), result
}

// TestEndlessHeadEnds guards against a target whose response head never ends, which fills
// the memory of the process.
func TestEndlessHeadEnds(t *testing.T) {
	heads := map[string][2]string{
		"status line":             {"", "xxxxxxxxxxxxxxxx"},
		"header field":            {"HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"},
		"header fields":           {"HTTP/1.1 200 OK\r\n", "X-Next: 1\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nX-Next: 1\r\n\r\n"},
	}
	for name, head := range heads {
		Convey("An endless "+name+" is an error, and an earlier complete response is not", t, func() {
			addr, sent := serveEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+head[0], head[1])
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			conn, err := NewPool(PoolOptions{DialTimeout: time.Second}).Get(ctx, addr)
			So(err, ShouldBeNil)
			resp, err := conn.Receive(http.MethodGet)
			So(err, ShouldBeNil)
			body, err := ReadBody(resp.Body, 10)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "ok")
			_, err = conn.Receive(http.MethodGet)
			So(err != nil, ShouldBeTrue)
			conn.Close()
			So(<-sent, ShouldBeLessThan, endlessBytes)
		})
	}
}

// Guards against an invalid head that is not checked because it was read together with the
// response before it.
func TestBufferedHeadIsChecked(t *testing.T) {
	heads := map[string]string{
		"status":                "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno",
		"status, then a valid":  "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"field":                 "HTTP/1.1 200 OK\r\nX Worker: w\r\nContent-Length: 2\r\n\r\nno",
		"informational, framed": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	}
	for name, head := range heads {
		Convey("An invalid head behind a response: "+name, t, func() {
			client, server := net.Pipe()
			conn := &Conn{net: client, input: &headReader{r: client}}
			conn.reader = bufio.NewReader(conn.input)
			go func() {
				_, _ = fmt.Fprint(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+head)
				_ = server.Close()
			}()
			resp, err := conn.Receive(http.MethodGet)
			So(err, ShouldBeNil)
			_, err = ReadBody(resp.Body, 10)
			So(err, ShouldBeNil)
			So(conn.Buffered(), ShouldEqual, len(head))
			_, err = conn.Receive(http.MethodGet)
			So(errors.Is(err, httphead.ErrInvalid), ShouldBeTrue)
		})
	}
}

// TestAwaitLeavesTheConnectionUsable guards against a wait that loses data, or after which
// the connection cannot be read any more.
func TestAwaitLeavesTheConnectionUsable(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	conn := &Conn{net: client, input: &headReader{r: client}}
	conn.reader = bufio.NewReader(conn.input)
	Convey("Without data, a wait ends after its time", t, func() {
		So(conn.Await(time.Millisecond), ShouldBeFalse)
	})
	Convey("Data ends a wait and stays unread", t, func() {
		go func() { _, _ = fmt.Fprint(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }()
		So(conn.Await(20*time.Second), ShouldBeTrue)
		resp, err := conn.Receive(http.MethodGet)
		So(err, ShouldBeNil)
		body, err := ReadBody(resp.Body, 10)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "ok")
	})
	Convey("The end of the connection ends a wait", t, func() {
		So(conn.Await(time.Millisecond), ShouldBeFalse)
		So(server.Close(), ShouldBeNil)
		So(conn.Await(20*time.Second), ShouldBeTrue)
	})
}
