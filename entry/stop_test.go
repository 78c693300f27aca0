package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/settings"
)

func serveHTTP(t *testing.T, h http.Handler) (url string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// TestStoppingEntryRefusesLateRequests guards against a request that an entry takes on a
// kept connection when its stop is almost over, and then cuts off.
func TestStoppingEntryRefusesLateRequests(t *testing.T) {
	const drainLimit = 3 * time.Second
	s := entry.DefaultSettings()
	must(t, settings.Parse("entry.ini", []byte("[process]\nvm = entry-1\nkeys = k\nbalancer_grace = 1ms\ndrain_limit = "+drainLimit.String()+"\n"+processSettings+
		"[platform]\nstore = "+serveHTTP(t, standin.NewStore().Handler())+"\nvm_list = "+serveHTTP(t, standin.NewVMList(0).Handler())+"\n"), &s))
	opts, err := s.Options(log.NewNopLogger())
	must(t, err)
	e, err := entry.New(opts)
	must(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- e.Serve(ctx) }()
	addr := opts.Listener.Addr().String()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		must(t, err)
		return c, bufio.NewReader(c)
	}
	ask := func(c net.Conn, r *bufio.Reader, request string) (int, string, bool) {
		_, err := io.WriteString(c, request)
		must(t, err)
		resp, err := http.ReadResponse(r, nil)
		must(t, err)
		body, err := io.ReadAll(resp.Body)
		must(t, err)
		return resp.StatusCode, string(body), resp.Close
	}
	kept, reader := dial()
	defer func() { _ = kept.Close() }()
	status, _, _ := ask(kept, reader, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	// A request whose body is not complete keeps the stop waiting.
	slow, _ := dial()
	defer func() { _ = slow.Close() }()
	_, err = fmt.Fprintf(slow, "POST /v1/keys HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\nContent-Length: 10\r\n\r\n")
	must(t, err)
	time.Sleep(100 * time.Millisecond)
	stop()
	time.Sleep(drainLimit * 3 / 4)
	Convey("A request that comes after two thirds of the stop is refused as not run", t, func() {
		So(status, ShouldEqual, http.StatusOK)
		status, body, closed := ask(kept, reader, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\nContent-Length: 2\r\n\r\n{}")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(body, ShouldContainSubstring, `"code":2004`)
		So(body, ShouldContainSubstring, `"ran":"no"`)
		So(closed, ShouldBeTrue)
	})
	_ = slow.Close()
	<-served
}
