// Package httpclient builds the HTTP clients of the daemons.
package httpclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of every client's connections.
const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	// idleTimeout is below the servers', so that no request meets a connection
	// that is being closed, and bounds the connections to processes that are
	// asked rarely.
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 15 * time.Second
)

// Options describe a client.
type Options struct {
	// IdlePerHost is the number of idle connections kept to one host.
	IdlePerHost int
	// Dial replaces the dialler, for tests and trials.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS is used for https addresses; nil selects the system's roots.
	TLS *tls.Config
}

// New returns a client that dials within a bounded time, uses no proxy of the
// environment and does not follow redirects: a followed redirect could run a
// call a second time.
func New(o Options) *http.Client {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			TLSClientConfig:     o.TLS,
			TLSHandshakeTimeout: handshakeTimeout,
			MaxIdleConnsPerHost: o.IdlePerHost,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SendJSON sends a request with a JSON body, none if in is nil. The caller ends
// the answer with CloseBody.
func SendJSON(ctx context.Context, client *http.Client, method, url string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return client.Do(req)
}

// maxDrain bounds what is read from a body so that its connection is reused.
const maxDrain = 64 << 10

// CloseBody ends the use of a response so that its connection can be reused.
func CloseBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain)
	_ = resp.Body.Close()
}
