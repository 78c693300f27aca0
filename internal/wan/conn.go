package wan

import (
	"io"
	"net"
	"sync"
	"time"
)

// Sizes of a connection's pipes.
const (
	chunkBytes  = 32 << 10
	pipelineLen = 256
)

// chunk is data on its way.
type chunk struct {
	data []byte
	at   time.Time
	err  error
}

// conn delays what passes over a connection. Write deadlines are those of the
// buffer towards the path; read deadlines are not kept, since net/http's
// client ends a read by closing.
type conn struct {
	net.Conn
	out, back path
	sending   chan chunk
	arriving  chan chunk
	done      chan struct{}
	once      sync.Once

	readMu sync.Mutex
	rest   []byte
	err    error
}

func newConn(c net.Conn, out, back path) *conn {
	d := &conn{
		Conn: c, out: out, back: back,
		sending: make(chan chunk, pipelineLen), arriving: make(chan chunk, pipelineLen), done: make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

// Write implements net.Conn.
func (d *conn) Write(p []byte) (int, error) {
	c := chunk{data: append([]byte(nil), p...), at: d.out.arrival(len(p))}
	select {
	case d.sending <- c:
		return len(p), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

func (d *conn) send() {
	for {
		select {
		case c := <-d.sending:
			if !d.wait(c.at, d.out) {
				return
			}
			if _, err := d.Conn.Write(c.data); err != nil {
				return
			}
		case <-d.done:
			return
		}
	}
}

func (d *conn) receive() {
	for {
		buf := make([]byte, chunkBytes)
		n, err := d.Conn.Read(buf)
		c := chunk{data: buf[:n], at: d.back.arrival(n), err: err}
		select {
		case d.arriving <- c:
		case <-d.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// wait sleeps until data arrives over a path; it reports false if the
// connection was closed.
func (d *conn) wait(at time.Time, p path) bool {
	if !p.open(d.done) {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.done:
		return false
	}
}

// Read implements net.Conn.
func (d *conn) Read(p []byte) (int, error) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	for len(d.rest) == 0 {
		if d.err != nil {
			return 0, d.err
		}
		select {
		case c := <-d.arriving:
			if !d.wait(c.at, d.back) {
				return 0, net.ErrClosed
			}
			d.rest, d.err = c.data, c.err
		case <-d.done:
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (d *conn) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}

// SetDeadline implements net.Conn; see the type.
func (d *conn) SetDeadline(t time.Time) error { return d.SetWriteDeadline(t) }

// SetReadDeadline implements net.Conn; see the type.
func (d *conn) SetReadDeadline(time.Time) error { return nil }
