package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
)

// Plain is a client of one plain service.
type Plain struct {
	baseURL string
	http    *http.Client
	// buffered limits the replies that are being read.
	buffered *bufferlimit.Limit
}

// NewPlain returns a client of the service at baseURL ("http://127.0.0.1:8080").
func NewPlain(baseURL string, client *http.Client) *Plain {
	return &Plain{
		baseURL: strings.TrimSuffix(baseURL, "/"), http: client,
		buffered: bufferlimit.New(maxBufferedBytes, freeBufferBytes),
	}
}

// PlainCall is one call to a plain service.
type PlainCall struct {
	Method string
	// Path is the path and query; it starts with "/".
	Path   string
	Header map[string]string
	Body   []byte
}

// PlainReply is the complete response of a plain service.
type PlainReply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Limits of response bodies: maxReplyBytes for each, maxBufferedBytes for all that are
// being read, of which the first freeBufferBytes of each do not count.
const (
	maxReplyBytes    = 8 << 20
	maxBufferedBytes = 16 << 20
	freeBufferBytes  = 64 << 10
)

// ErrReplyTooLarge is returned by Do for a response body over 8 MiB.
var ErrReplyTooLarge = errors.New("service reply exceeds the size limit")

// Do sends the call at most once. If it fails after the request was sent, the
// service may or may not have run the call.
func (p *Plain) Do(ctx context.Context, call PlainCall) (*PlainReply, error) {
	// If the service closes the connection, net/http retries a request whose
	// method is idempotent and whose body is empty or can be rewound. NopCloser
	// hides the bytes.Reader, so the body cannot be rewound and the call is sent
	// at most once.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, p.baseURL+call.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "create service request")
	}
	req.ContentLength = int64(len(call.Body))
	// A response has no ID. On a connection that is used again, a late second copy of the
	// response to an earlier call would be taken for the response to this one.
	req.Close = true
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "service")
	}
	defer func() { _ = resp.Body.Close() }()
	buffered := p.buffered.NewReader(resp.Body)
	defer buffered.Release()
	data, err := io.ReadAll(io.LimitReader(buffered, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read service reply")
	}
	if len(data) > maxReplyBytes {
		return nil, ErrReplyTooLarge
	}
	reply := &PlainReply{Status: resp.StatusCode, Header: map[string]string{}, Body: data}
	if contentType := resp.Header.Get("Content-Type"); contentType != "" {
		reply.Header["Content-Type"] = contentType
	}
	return reply, nil
}
