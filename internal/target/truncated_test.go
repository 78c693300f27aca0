package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// serveText starts a server that reads a request, sends the text and closes the connection.
func serveText(t *testing.T, text *atomic.Value) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(text.Load().(string)))
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a response that its service or engine breaks off at any byte, in the head
// too, and that passes for a complete one.
func TestTruncatedRepliesAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	const event = "id: 0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	const end = "data: [DONE]\n\n"
	ctx := context.Background()
	for name, response := range map[string]string{
		"a length":      head + "Content-Length: 5\r\n\r\nhello",
		"an empty body": head + "Content-Length: 0\r\n\r\n",
		"chunks":        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		convey.Convey("A reply with "+name, t, func() {
			var text atomic.Value
			plain := NewPlain(serveText(t, &text), httpclient.New(httpclient.Options{}))
			for n := 1; n < len(response); n++ {
				text.Store(response[:n])
				_, err := plain.Do(ctx, PlainCall{Method: http.MethodPost, Path: "/"})
				convey.So(err, convey.ShouldNotBeNil)
			}
			text.Store(response)
			_, err := plain.Do(ctx, PlainCall{Method: http.MethodPost, Path: "/"})
			convey.So(err, convey.ShouldBeNil)
		})
	}
	convey.Convey("A reply that ends with its connection is cut in its head", t, func() {
		var text atomic.Value
		plain := NewPlain(serveText(t, &text), httpclient.New(httpclient.Options{}))
		for n := 1; n < len(head+"\r\n"); n++ {
			text.Store((head + "\r\n")[:n])
			_, err := plain.Do(ctx, PlainCall{Method: http.MethodPost, Path: "/"})
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
	convey.Convey("An engine's stream", t, func() {
		var text atomic.Value
		engine := NewEngine(serveText(t, &text), httpclient.New(httpclient.Options{}))
		response := head + "\r\n" + event + end
		last := strings.LastIndex(response, "[DONE]") + len("[DONE]")
		for n := 1; n < last; n++ {
			text.Store(response[:n])
			err := engine.Start(ctx, Completion{ID: "c"}, func(Chunk) error { return nil })
			convey.So(err, convey.ShouldNotBeNil)
		}
		text.Store(response)
		convey.So(engine.Start(ctx, Completion{ID: "c"}, func(Chunk) error { return nil }), convey.ShouldBeNil)
	})
}
