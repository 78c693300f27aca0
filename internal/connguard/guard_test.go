package connguard

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// connection returns both ends of a connection, the accepted one in the account.
func connection(g *Guard) (server *Conn, client net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		panic(err)
	}
	return g.Add(accepted), client
}

// Guards against an account that grows beyond its limit, that keeps what closed connections
// held, and that closes a connection which holds little.
func TestGuardClosesConnections(t *testing.T) {
	Convey("Given an account of two connections", t, func() {
		g := New(Options{MaxBytes: 1 << 20, Logger: log.NewNopLogger()})
		a, clientA := connection(g)
		b, clientB := connection(g)
		defer func() { _, _ = clientA.Close(), clientB.Close() }()
		Convey("The one that holds the most is closed when the limit is exceeded", func() {
			a.Hold(100 << 10)
			b.Hold(1 << 20)
			So(g.Conns(), ShouldEqual, 1)
			So(g.Shed(), ShouldEqual, 1)
			So(g.Held(), ShouldEqual, 100<<10+idleBytes)
			b.HoldQuietly(-1 << 20)
			So(g.Held(), ShouldEqual, 100<<10+idleBytes)
		})
		Convey("Nothing is left after all have closed", func() {
			a.setActive(true)
			a.beginRunning(true)
			So(a.Close(), ShouldBeNil)
			So(b.Close(), ShouldBeNil)
			So(g.Held(), ShouldEqual, 0)
			So(g.paired.Load(), ShouldEqual, 0)
		})
		Convey("A request's context ends with its connection", func() {
			ctx := a.beginRequest(t.Context())
			So(a.Close(), ShouldBeNil)
			So(ctx.Err(), ShouldNotBeNil)
		})
	})
	Convey("The connections and those opened for them stay under the limit", t, func() {
		g := New(Options{MaxConns: 4, Logger: log.NewNopLogger()})
		for range 3 {
			c, client := connection(g)
			defer func() { _ = client.Close() }()
			c.beginRunning(true)
		}
		So(g.Conns()+g.paired.Load(), ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against a stalled body that is held for ever, and against the end of one that arrives
// slowly but above the minimum rate.
func TestBodyRate(t *testing.T) {
	Convey("Given a connection whose body is read", t, func() {
		g := New(Options{Logger: log.NewNopLogger()})
		c, client := connection(g)
		defer func() { _, _ = client.Close(), c.Close() }()
		c.beginBody()
		expire := func(bytes int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.rate.begin, c.rate.end, c.rate.bytes = time.Now().Add(-BodyGrace), time.Now().Add(-time.Second), bytes
		}
		Convey("A body with too few bytes since its begin ends it", func() {
			expire(DefaultBodyRate*int64(BodyGrace/time.Second) - 1)
			_, err := c.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(g.Slow(), ShouldEqual, 1)
		})
		Convey("A body with enough bytes goes on after a pause", func() {
			expire(2 * DefaultBodyRate * int64(BodyGrace/time.Second))
			_, err := client.Write([]byte("x"))
			So(err, ShouldBeNil)
			n, err := c.Read(make([]byte, 1))
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)
			So(g.Slow(), ShouldEqual, 0)
		})
		Convey("After the body, the connection may be silent", func() {
			expire(0)
			c.endBody()
			_, err := client.Write([]byte("x"))
			So(err, ShouldBeNil)
			_, err = c.Read(make([]byte, 1))
			So(err, ShouldBeNil)
		})
	})
}

// Guards against an account that does not return to zero after requests, against a request
// in progress that counts as stalled after its first event, and against a response that
// nobody reads and that counts as running.
func TestAccountOfRequests(t *testing.T) {
	Convey("Given a server with an account", t, func() {
		g := New(Options{MaxBytes: 1 << 20, Logger: log.NewNopLogger()})
		running := func() (n int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for c := range g.conns {
				c.mu.Lock()
				if c.running {
					n++
				}
				c.mu.Unlock()
			}
			return n
		}
		release := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write([]byte("event"))
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/unread" {
				for _, err := w.Write(make([]byte, 1<<20)); err == nil; _, err = w.Write(make([]byte, 1<<20)) {
				}
			}
			<-release
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{Handler: Handler(handler, 4, true), ConnContext: Context, ConnState: SetState}
		go func() { _ = server.Serve(guardedListener{l, g}) }()
		Reset(func() { _ = server.Close() })
		eventually := func(cond func() bool) bool {
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if cond() {
					return true
				}
			}
			return false
		}
		Convey("A quiet stream is running after its first event, and nothing is held after its end", func() {
			// The largest request is counted with a part of the limit only.
			resp, err := http.Post("http://"+l.Addr().String()+"/", "text/plain", bytes.NewReader(make([]byte, 1<<20)))
			So(err, ShouldBeNil)
			So(eventually(func() bool { return running() == 1 }), ShouldBeTrue)
			So(g.Shed(), ShouldEqual, 0)
			close(release)
			_, err = io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			http.DefaultClient.CloseIdleConnections()
			So(eventually(func() bool { return g.Held() == 0 && g.paired.Load() == 0 && g.Conns() == 0 }), ShouldBeTrue)
		})
		Convey("A response that is not read is not running", func() {
			defer close(release)
			resp, err := http.Get("http://" + l.Addr().String() + "/unread")
			So(err, ShouldBeNil)
			So(eventually(func() bool { return running() == 0 }), ShouldBeTrue)
			So(resp.Body.Close(), ShouldBeNil)
		})
	})
}

type guardedListener struct {
	net.Listener
	g *Guard
}

func (l guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.g.Add(c), nil
}
