package httpclient

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/connend"
	"github.com/quetzalglade/quetzalglade/internal/httphead"
)

// wireConn is a connection, below TLS if that is used, whose writes and end are recorded.
type wireConn struct {
	net.Conn
	writes connend.Writes
	ended  atomic.Bool
}

// Read implements net.Conn.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	c.writes.Begin()
	n, err := c.Conn.Write(p)
	c.writes.End(err)
	return n, err
}

// headConn is a client connection that checks the head of each response, and the end of the
// connection if it ends the body of a response.
type headConn struct {
	net.Conn
	wire *wireConn

	mu sync.Mutex
	// head checks the current response.
	head *httphead.Checker
}

// expectHead makes the next data that is read the head of a response. The returned function
// reports whether that head was received and is valid, also after the next expectHead.
func (c *headConn) expectHead() (isValid func() bool) {
	head := &httphead.Checker{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return head.Valid()
	}
}

func (c *headConn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Check(p)
}

func (c *headConn) endsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.EndsWithConnection()
}

// Read implements net.Conn. After an invalid head it only returns the error. It returns io.EOF
// only if a body that ends there is complete. A check of the body itself would come too late: at
// its end the transport closes the connection, also during a write.
func (c *headConn) Read(p []byte) (int, error) {
	if err := c.check(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	// Without the data of an invalid line, no parser takes the head for complete.
	if err := c.check(p[:n]); err != nil {
		return 0, err
	}
	if errors.Is(err, io.EOF) && c.endsBody() {
		if broken := c.checkEnd(); broken != nil {
			err = broken
		}
	}
	return n, err
}

var errNoEndOfTLS = errors.New("the connection has ended without the end of TLS on it (close_notify)")

// checkEnd returns an error if a body that ends with the connection may be incomplete.
func (c *headConn) checkEnd() error {
	// crypto/tls takes the end of the connection for that of TLS if it comes between records.
	// RFC 9112 (9.8) asks clients to take such a body for incomplete.
	if _, isTLS := c.Conn.(*tls.Conn); isTLS && c.wire.ended.Load() {
		return errNoEndOfTLS
	}
	return c.wire.writes.Check(c.wire.Conn)
}

// headTransport is a transport whose connections are of type headConn.
type headTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. A response whose head is not valid by HTTP/1.1 is an
// error.
func (t headTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[exchange]
	// The transport calls GotConn before it writes the request, when it has read all of the
	// response to the connection's last request.
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*headConn); ok {
				current.Store(&exchange{conn: conn, hasValidHead: conn.expectHead()})
				conn.wire.writes.BeginRequest()
			}
		},
		// The transport may still write the end of the request from its buffer; the connection
		// records that too.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if e := current.Load(); e != nil {
				e.conn.wire.writes.EndRequest(info.Err)
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	// Not the current check of the connection: after a response without a body, another request
	// may already use the connection.
	if e := current.Load(); e == nil || !e.hasValidHead() {
		_ = resp.Body.Close()
		if e != nil {
			_ = e.conn.Close()
		}
		return nil, errors.Wrap(httphead.ErrInvalid, "a part of the head arrived before the connection was chosen")
	}
	return resp, nil
}

// exchange is the connection of a request and the result of the check of its response.
type exchange struct {
	conn         *headConn
	hasValidHead func() bool
}
