package wan

import (
	"io"
	"net"
	"sync"
	"time"
)

// Sizes of a connection's queues.
const (
	maxChunkBytes   = 32 << 10
	maxQueuedChunks = 256
)

// chunk is data in transit.
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

func newConn(c net.Conn, outbound, inbound path) *conn {
	d := &conn{
		Conn: c, outbound: outbound, inbound: inbound,
		outgoing: make(chan chunk, maxQueuedChunks), incoming: make(chan chunk, maxQueuedChunks), closed: make(chan struct{}),
	}
	go d.sendLoop()
	go d.receiveLoop()
	return d
}

// Write implements net.Conn. It queues a copy of p and blocks while the queue
// is full.
func (d *conn) Write(p []byte) (int, error) {
	c := chunk{data: append([]byte(nil), p...), arrivesAt: d.outbound.arrivalTime(len(p))}
	select {
	case d.outgoing <- c:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

func (d *conn) sendLoop() {
	for {
		select {
		case c := <-d.outgoing:
			if !d.waitUntil(c.arrivesAt, d.outbound) {
				return
			}
			if _, err := d.Conn.Write(c.data); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}

func (d *conn) receiveLoop() {
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := d.Conn.Read(buf)
		c := chunk{data: buf[:n], arrivesAt: d.inbound.arrivalTime(n), err: err}
		select {
		case d.incoming <- c:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// waitUntil blocks until data that arrives over the path at the given time has
// arrived. It returns false if the connection was closed first.
func (d *conn) waitUntil(arrival time.Time, p path) bool {
	if !p.waitOpen(d.closed) {
		return false
	}
	timer := time.NewTimer(time.Until(arrival))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.closed:
		return false
	}
}

// Read implements net.Conn. It blocks until the next data has arrived over the
// inbound path.
func (d *conn) Read(p []byte) (int, error) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	for len(d.unread) == 0 {
		if d.readErr != nil {
			return 0, d.readErr
		}
		select {
		case c := <-d.incoming:
			if !d.waitUntil(c.arrivesAt, d.inbound) {
				return 0, net.ErrClosed
			}
			d.unread, d.readErr = c.data, c.err
		case <-d.closed:
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Close implements net.Conn. It drops data in transit.
func (d *conn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Conn.Close()
}

// SetDeadline implements net.Conn. It sets the write deadline only.
func (d *conn) SetDeadline(t time.Time) error { return d.SetWriteDeadline(t) }

// SetReadDeadline implements net.Conn. It has no effect; see conn.
func (d *conn) SetReadDeadline(time.Time) error { return nil }
