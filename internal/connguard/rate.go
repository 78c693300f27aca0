package connguard

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Minimum rate of bodies. Heads are limited by the time limit for them.
const (
	// BodyWindow is the time between two checks of the rate, BodyGrace the time before the first
	// one that counts. Clients wait less than BodyGrace for a connection or an answer to a
	// short request; only generations have longer deadlines, and their bodies exceed
	// BodyGrace times DefaultBodyRate, 480 bytes, or arrive at once.
	BodyWindow = 15 * time.Second
	BodyGrace  = 30 * time.Second
	// DefaultBodyRate is the least mean rate of a body in bytes per second since its begin. A
	// request lasts a minute at most: even a body of 960 bytes that takes all of it arrives
	// at this rate. A pause in a larger body does not count.
	DefaultBodyRate = 16
)

// bodyRate is the progress of a body that is being read.
type bodyRate struct {
	reading bool
	// begin is when the body began, end the end of the current window, bytes what has arrived
	// since begin.
	begin, end time.Time
	bytes      int64
}

func (c *Conn) beginBody() {
	if c == nil || c.g.o.BodyRate < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.rate = bodyRate{reading: true, begin: now, end: now.Add(BodyWindow)}
}

// endBody ends the check of the rate, also for a read in progress.
func (c *Conn) endBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate.reading {
		c.rate.reading = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.rate.reading && (t.IsZero() || t.After(c.rate.end)) {
		t = c.rate.end
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.armRate()
		n, err := c.Conn.Read(p)
		c.countMoved(n)
		if n > 0 {
			c.setActive(true)
			c.mu.Lock()
			c.rate.bytes += int64(n)
			c.mu.Unlock()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.nextWindow() {
			return n, err
		}
	}
}

// armRate ends the next read at the end of the window.
func (c *Conn) armRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate.reading && (c.readDeadline.IsZero() || c.readDeadline.After(c.rate.end)) {
		_ = c.Conn.SetReadDeadline(c.rate.end)
	}
}

// nextWindow reports whether a read that has reached a deadline continues: the deadline was
// not the server's and enough has arrived in the window.
func (c *Conn) nextWindow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return false
	}
	if !c.rate.reading {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		return true
	}
	if now.Before(c.rate.end) {
		return true
	}
	if elapsed := now.Sub(c.rate.begin); elapsed >= BodyGrace && float64(c.rate.bytes) < float64(c.g.o.BodyRate)*elapsed.Seconds() {
		c.g.slow.Add(1)
		return false
	}
	c.rate.end = now.Add(BodyWindow)
	return true
}

// maxRequestParts is the number of requests of the largest size for which the account always
// has room: one request is counted with at most this part of the limit, so that it is served
// while nothing else is held.
const maxRequestParts = 2

// body is the body of a request, whose memory counts until the end of the request.
type body struct {
	io.ReadCloser
	c *Conn
	// factor is the memory that the request takes for each byte of its body.
	factor int64
	paired bool
	held   int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.c.endBody()
		// Without a part of the body, nothing is done for the request.
		if errors.Is(err, io.EOF) {
			b.c.beginRunning(b.paired)
		}
	}
	bytes := b.factor * int64(n)
	if limit := b.c.g.o.MaxBytes; limit > 0 {
		bytes = min(bytes, max(limit/maxRequestParts-b.held, 0))
	}
	if bytes > 0 {
		b.held += bytes
		b.c.Hold(bytes)
		b.c.awaitClosing()
	}
	return n, err
}

// Handler checks the rate of bodies and counts factor bytes of memory for each of their bytes.
// paired states that a request may use a connection to another process, which then counts.
func Handler(next http.Handler, factor int64, paired bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		r = r.WithContext(c.beginRequest(r.Context()))
		defer c.endRequest()
		if r.Body == nil || r.Body == http.NoBody {
			c.beginRunning(paired)
			next.ServeHTTP(w, r)
			return
		}
		c.beginBody()
		b := &body{ReadCloser: r.Body, c: c, factor: factor, paired: paired}
		r.Body = b
		defer func() { c.HoldQuietly(-b.held) }()
		next.ServeHTTP(w, r)
	})
}
