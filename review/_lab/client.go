package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a stand-in of a client: one connection at a time, which it keeps for many
// requests. It is not safe for concurrent use.
type client struct {
	l      *lab
	b      *balancer
	n      int
	conn   net.Conn
	reader *bufio.Reader
	at     *gateway
	used   bool
}

// answer is what became of one client attempt.
type answer struct {
	id      string
	gateway *gateway
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if the connection ended without an answer.
	status     int
	signed     bool
	complete   bool
	retryAfter string
	body       string
	err        error
	// unread is set if no connection could be opened, kept if the connection had carried a
	// request before.
	unread bool
	kept   bool
}

func (a *answer) served() bool { return a.status == http.StatusOK && a.signed && a.complete }

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+lastID.Add(1)) }

// connect opens a connection to a gateway in rotation if none is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	c.at = c.b.pick(c.n)
	conn, err := net.DialTimeout("tcp", c.at.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its whole answer. onBody, if set, gets the body instead.
func (c *client) send(method, path, body string, header map[string]string, deadline time.Duration, onBody func(io.Reader) error) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	defer func() { a.endedAt = time.Now() }()
	if err := c.connect(); err != nil {
		a.err, a.unread, a.gateway = err, true, c.at
		a.endedAt = time.Now()
		c.l.note("client %d: no connection to %s: %v", c.n, c.at.name, err)
		return a
	}
	a.gateway, a.kept = c.at, c.used
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, a.id, deadline.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(a.sentAt.Add(deadline + 2*time.Second))
	c.l.note("client %d: sends %s %s %s to %s", c.n, a.id, method, path, c.at.name)
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		a.err = err
		c.close()
	} else {
		c.receive(&a, method, onBody)
	}
	a.endedAt = time.Now()
	c.l.note("client %d: %s ends: status %d signed %v complete %v err %v", c.n, a.id, a.status, a.signed, a.complete, a.err)
	return a
}

func (c *client) receive(a *answer, method string, onBody func(io.Reader) error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return
	}
	a.status, a.signed, a.retryAfter = resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", resp.Header.Get("Retry-After")
	if onBody != nil && a.status == http.StatusOK {
		a.err = onBody(resp.Body)
	} else {
		var data []byte
		data, a.err = io.ReadAll(resp.Body)
		a.body = string(data)
	}
	a.complete = a.err == nil
	if a.err != nil || resp.Close {
		c.close()
	}
	c.used = true
}
