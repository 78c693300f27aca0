package wan

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the size of the largest read from the underlying connection.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks is the capacity of a connection's queue in each direction.
	maxQueuedChunks = 256
)

// chunk is data in transit. err, if not nil, is the error of the underlying read that
// returned the data.
type chunk struct {
	data      []byte
	arrivesAt time.Time
	err       error
}

// conn delays the bytes of a connection in both directions. Write deadlines
// apply to the underlying connection. Read deadlines are ignored, since
// net/http's client ends a read by closing the connection.
type conn struct {
	net.Conn
	outbound, inbound path
	outgoing          chan chunk
	incoming          chan chunk
	closed            chan struct{}
	closeOnce         sync.Once

	readMu  sync.Mutex
	unread  []byte
	readErr error
}

func newConn(underlying net.Conn, outbound, inbound path) *conn {
	c := &conn{
		Conn: underlying, outbound: outbound, inbound: inbound,
		outgoing: make(chan chunk, maxQueuedChunks), incoming: make(chan chunk, maxQueuedChunks), closed: make(chan struct{}),
	}
	go c.sendLoop()
	go c.receiveLoop()
	return c
}

// Write implements net.Conn. It queues a copy of p and blocks while the queue
// is full.
func (c *conn) Write(p []byte) (int, error) {
	out := chunk{data: append([]byte(nil), p...), arrivesAt: c.outbound.arrivalTime(len(p))}
	select {
	case c.outgoing <- out:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *conn) sendLoop() {
	for {
		select {
		case out := <-c.outgoing:
			if !c.waitUntil(out.arrivesAt, c.outbound) {
				return
			}
			if _, err := c.Conn.Write(out.data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) receiveLoop() {
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := c.Conn.Read(buf)
		in := chunk{data: buf[:n], arrivesAt: c.inbound.arrivalTime(n), err: err}
		select {
		case c.incoming <- in:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// waitUntil blocks while the path is partitioned and then until the given arrival
// time. It returns false if the connection is closed first.
func (c *conn) waitUntil(arrival time.Time, p path) bool {
	if !p.waitOpen(c.closed) {
		return false
	}
	timer := time.NewTimer(time.Until(arrival))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// Read implements net.Conn. It blocks until the next data has arrived over the
// inbound path.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case in := <-c.incoming:
			if !c.waitUntil(in.arrivesAt, c.inbound) {
				return 0, net.ErrClosed
			}
			c.unread, c.readErr = in.data, in.err
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn. It drops data in transit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn. It sets the write deadline only.
func (c *conn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }

// SetReadDeadline implements net.Conn. It has no effect; see conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }
