package connend

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// bufferedBytes is the size of a request that the system buffers whole, although its peer
// receives only a part of it.
const bufferedBytes = 512 << 10

// exchange writes a request of the given size to a peer that handles the connection with serve,
// and reads the connection to its end. The peer may receive from read once that is reached: a
// reset that follows the end at once may overtake it on the loopback interface.
func exchange(t *testing.T, w *Writes, size int, serve func(c *net.TCPConn, read <-chan struct{})) net.Conn {
	t.Helper()
	l := platformtest.ListenEarly()
	defer func() { _ = l.Close() }()
	read := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serve(c.(*net.TCPConn), read)
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	w.BeginRequest()
	_, err = conn.Write(make([]byte, size))
	w.EndRequest(err)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	close(read)
	return conn
}

// awaitReset waits until the reset of a connection has arrived.
func awaitReset(t *testing.T, conn net.Conn) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if isClosed, _ := inspect(conn); isClosed {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection is not reset")
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a body that counts as complete although the peer has not received the request
// and the connection was reset, and against the rejection of one whose connection is reset only
// after the exchange.
func TestEndOfConnections(t *testing.T) {
	convey.Convey("A reset after the whole request and an orderly end does not matter", t, func() {
		var w Writes
		conn := exchange(t, &w, 1000, func(c *net.TCPConn, read <-chan struct{}) {
			_, _ = io.ReadFull(c, make([]byte, 1000))
			_ = c.CloseWrite()
			<-read
			reset(c)
		})
		awaitReset(t, conn)
		convey.So(w.Check(conn), convey.ShouldBeNil)
	})
	convey.Convey("A reset after an orderly end matters if the system still held a part of the request", t, func() {
		var w Writes
		conn := exchange(t, &w, bufferedBytes, func(c *net.TCPConn, read <-chan struct{}) {
			_ = c.CloseWrite()
			<-read
			reset(c)
		})
		awaitReset(t, conn)
		convey.So(errors.Is(w.Check(conn), ErrBrokenOff), convey.ShouldBeTrue)
	})
	convey.Convey("So does one that follows within the delay", t, func() {
		var w Writes
		conn := exchange(t, &w, bufferedBytes, func(c *net.TCPConn, read <-chan struct{}) {
			_ = c.CloseWrite()
			<-read
			time.Sleep(resetDelay / 5)
			reset(c)
		})
		convey.So(errors.Is(w.Check(conn), ErrBrokenOff), convey.ShouldBeTrue)
	})
	convey.Convey("An orderly end without a reset is one, also before the request was received", t, func() {
		var w Writes
		done := make(chan struct{})
		defer close(done)
		conn := exchange(t, &w, bufferedBytes, func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			<-done
			_ = c.Close()
		})
		start := time.Now()
		convey.So(w.Check(conn), convey.ShouldBeNil)
		convey.So(time.Since(start), convey.ShouldBeGreaterThanOrEqualTo, resetDelay)
	})
	convey.Convey("A request that the peer receives during the check is received", t, func() {
		var w Writes
		conn := exchange(t, &w, bufferedBytes, func(c *net.TCPConn, read <-chan struct{}) {
			_ = c.CloseWrite()
			<-read
			_, _ = io.CopyN(io.Discard, c, bufferedBytes)
			_ = c.Close()
		})
		convey.So(w.Check(conn), convey.ShouldBeNil)
	})
}

// Guards against a verdict before the result of a write, which the system may have told of a
// reset already.
func TestCheckAwaitsWrites(t *testing.T) {
	conn, other := net.Pipe()
	t.Cleanup(func() {
		_ = conn.Close()
		_ = other.Close()
	})
	for name, end := range map[string]error{"fails": syscall.ECONNRESET, "succeeds": nil} {
		convey.Convey("A write that "+name+" during the check decides it", t, func() {
			var request, part Writes
			request.BeginRequest()
			part.Begin()
			time.AfterFunc(10*time.Millisecond, func() { request.EndRequest(end) })
			time.AfterFunc(10*time.Millisecond, func() { part.End(end) })
			for _, w := range []*Writes{&request, &part} {
				err := w.Check(conn)
				convey.So(errors.Is(err, ErrBrokenOff), convey.ShouldEqual, end != nil)
				convey.So(err == nil, convey.ShouldEqual, end == nil)
				convey.So(w.IsWritten(), convey.ShouldEqual, end == nil)
			}
		})
	}
	convey.Convey("A later write does not hide the failure of one before", t, func() {
		var w Writes
		w.BeginRequest()
		w.EndRequest(syscall.ECONNRESET)
		w.BeginRequest()
		w.EndRequest(nil)
		convey.So(errors.Is(w.Check(conn), syscall.ECONNRESET), convey.ShouldBeTrue)
	})
}
