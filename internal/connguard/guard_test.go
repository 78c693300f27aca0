package connguard

import (
	"net"
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
			a.beginRunning()
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
			c.beginRunning()
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
			c.rate.end, c.rate.bytes = time.Now().Add(-time.Second), bytes
		}
		Convey("A window with too few bytes ends it", func() {
			expire(DefaultBodyRate*int64(BodyWindow/time.Second) - 1)
			_, err := c.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(g.Slow(), ShouldEqual, 1)
		})
		Convey("A window with enough bytes is followed by the next one", func() {
			expire(DefaultBodyRate * int64(BodyWindow/time.Second))
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
