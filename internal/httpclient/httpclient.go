// Package httpclient creates the HTTP clients of the daemons and sends their
// JSON requests.
package httpclient

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
)

// Timeouts and periods of every client's connections.
const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	// idleTimeout is shorter than the idle timeout of the servers (see package
	// httpserve), so that no request is sent on a connection that the server is
	// closing. It also limits the number of idle connections to rarely contacted
	// processes.
	idleTimeout = 15 * time.Second
	// keepAlivePeriod is the interval between TCP keep-alive probes.
	keepAlivePeriod = 15 * time.Second
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// Options configure a client.
type Options struct {
	// IdlePerHost is the maximum number of idle connections per host.
	IdlePerHost int
	// DialTimeout limits the opening of a connection, without TLS; 0 selects two seconds for
	// the default dialer and no limit for another one.
	DialTimeout time.Duration
	// NewConnections makes the client open a connection for each request: a server may have
	// dropped an idle one.
	NewConnections bool
	// Dial replaces the default dialer in tests and measurements.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS configures https connections; nil selects the system's root
	// certificates.
	TLS *tls.Config
}

// New returns a client that ignores proxy settings of the environment and does
// not follow redirects, since a followed redirect could run a call a second
// time. The default dialer has a timeout of two seconds. A response whose head is
// not valid by HTTP/1.1 is an error, and so is the end of a body that ends with its connection
// if the connection was broken off while the request was being written.
func New(o Options) *http.Client {
	dial := o.Dial
	switch {
	case dial == nil:
		timeout := cmp.Or(o.DialTimeout, dialTimeout)
		dial = (&net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}).DialContext
	case o.DialTimeout > 0:
		dial = dialWithin(o.DialTimeout, dial)
	}
	dial = dialRecorded(dial)
	return &http.Client{
		Transport: headTransport{&http.Transport{
			DialContext:         dialChecked(dial),
			DialTLSContext:      dialChecked(dialTLS(dial, o.TLS)),
			MaxIdleConnsPerHost: o.IdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   o.NewConnections,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialWithin returns a dialer that limits the time of dial. Its error at the limit is that of
// the default dialer.
func dialWithin(limit time.Duration, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		conn, err := dial(dialCtx, network, addr)
		if err != nil && dialCtx.Err() != nil && ctx.Err() == nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		return conn, err
	}
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialRecorded returns a dialer whose connections are of type wireConn.
func dialRecorded(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &wireConn{Conn: conn}, nil
	}
}

// dialChecked returns a dialer whose connections are of type headConn. Those of dial are of type
// wireConn, or tls.Conn above it.
func dialChecked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &headConn{Conn: conn, head: &httphead.Checker{}}
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		c.wire = conn.(*wireConn)
		return c, nil
	}
}

// dialTLS returns a dialer that opens a connection with TLS on one of dial's. A handshake by
// the transport would hide the responses from a connection below it.
func dialTLS(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &tls.Config{}
		if config != nil {
			c = config.Clone()
		}
		if c.ServerName == "" {
			if c.ServerName, _, err = net.SplitHostPort(addr); err != nil {
				_ = raw.Close()
				return nil, err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn := tls.Client(raw, c)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// IsUnreachable reports whether the error of a request or of a dial shows that the other process
// can't be reached: it refuses connections, no connection came about within the dial timeout, or
// there is no path to it. A failure after the connection was opened does not show that, nor does one
// of this process's own resources.
func IsUnreachable(err error) bool {
	var opErr *net.OpError
	if !errors.As(err, &opErr) || opErr.Op != "dial" {
		return false
	}
	return opErr.Timeout() || errors.IsAny(opErr.Err, syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ENETUNREACH)
}

// SendJSON sends a request with payload as its JSON body; a nil payload sends
// no body. The caller must release the response with CloseBody.
func SendJSON(ctx context.Context, client *http.Client, method, url string, payload any) (*http.Response, error) {
	var body io.Reader
	if payload != nil {
		data, err := json.Marshal(payload)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return client.Do(req)
}

// maxDiscardBytes limits how much of the rest of a body CloseBody reads. The
// connection is reused only if that reaches the end of the body.
const maxDiscardBytes = 64 << 10

// CloseBody reads the rest of a response's body, up to 64 KiB, so that the
// connection can be reused, and closes the body.
func CloseBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
}
