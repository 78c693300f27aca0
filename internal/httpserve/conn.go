package httpserve

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// lateReadTimeout limits the reads after a deadline that has passed while data waited.
const lateReadTimeout = time.Second

// lateBodyReadTimeout is the same for the body of a request. It is shorter than the time that the
// end of a stop leaves for the refusal of the request.
const lateBodyReadTimeout = 200 * time.Millisecond

// conn is a server's connection whose read deadline does not discard received data. A
// process that did not run for a while finds the deadline passed and the data of a request
// unread; the server would close the connection without a response.
type conn struct {
	*net.TCPConn
	// extended is set once the read deadline has been extended.
	extended atomic.Bool
	// received is set once data has arrived since the last response.
	received atomic.Bool
	// idle is set while no request of the connection is served.
	idle atomic.Bool
	// grown is set once the send buffer has been enlarged.
	grown atomic.Bool

	// mu guards readDeadline and is held while it is set.
	mu           sync.Mutex
	readDeadline time.Time
}

// Read implements net.Conn. It extends a deadline that has passed once, if there is unread
// data: only the reader knows whether it has received a part of a request. Without unread
// data it shuts an idle connection down.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.keepsOpen() || c.extended.Swap(true) {
		return n, err
	}
	timeout := lateReadTimeout
	if !c.idle.Load() {
		timeout = lateBodyReadTimeout
	}
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.read(p)
}

func (c *conn) read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// shutdownMu makes shutDownUnread the work of one thread at a time: a process that does not
// run between the two system calls loses the request of one connection at most.
var shutdownMu sync.Mutex

// keepsOpen reports whether there is unread data, and shuts an idle connection down if there
// is none.
func (c *conn) keepsOpen() bool {
	if !c.idle.Load() {
		return readable(c.TCPConn)
	}
	shutdownMu.Lock()
	defer shutdownMu.Unlock()
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) { unread = shutDownUnread(int(fd)) })
	return err == nil && unread
}

// shutDownUnread reports whether a socket has unread data, and shuts it down if it has none.
// The system then resets the connection as soon as data arrives, also while the process does
// not run, so that the client learns at once that its request was not read. The server closes
// the connection only later.
func shutDownUnread(fd int) bool {
	if pollIn(fd) {
		return true
	}
	_ = unix.Shutdown(fd, unix.SHUT_RDWR)
	return false
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extended.Store(false)
	c.readDeadline = t
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// readsEnded reports whether the reads have been ended by a deadline that nobody has replaced.
func (c *conn) readsEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadline.Equal(pastDeadline)
}
