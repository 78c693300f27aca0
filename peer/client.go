package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/result"
)

// Limits of the data that a peer sends.
const (
	// maxFrameBytes is the maximum size of a line of a generation's stream.
	maxFrameBytes = 4 << 20
	// maxErrorBytes is how much of an error response's body is read.
	maxErrorBytes = 64 << 10
)

// Client sends messages to agents and entries. Its methods may be called from
// any goroutine. They return a *result.Error if the other process responds with
// one, and other errors for transport failures and other responses.
type Client struct {
	scheme string
	http   *http.Client
	keys   Keys
	// versions and selfAddr are set by EnableVersionExchange.
	versions VersionTracker
	selfAddr string
}

// NewClient returns a client that authenticates with the first of the keys.
func NewClient(client *http.Client, keys Keys) *Client {
	return &Client{http: client, keys: keys, scheme: "http://"}
}

// UseTLS makes the client use TLS. It must be called before the first message
// is sent.
func (c *Client) UseTLS() { c.scheme = "https://" }

// FrameStream is an open response with the frames of one generation.
type FrameStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Next returns the next frame, or io.ErrUnexpectedEOF after the last one. The
// stream was complete only if its last frame has End or Error set.
func (s *FrameStream) Next() (Frame, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Frame{}, err
		}
		return Frame{}, io.ErrUnexpectedEOF
	}
	var f Frame
	if err := json.Unmarshal(s.scanner.Bytes(), &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode frame")
	}
	if f.Offset < 0 || (f.End != nil && f.End.Tokens < 0) {
		return Frame{}, errors.New("decode frame: negative count")
	}
	return f, nil
}

// Close closes the stream. The generation continues at the agent without a
// connected stream for up to the ResumeMillis of its attempt.
func (s *FrameStream) Close() { _ = s.body.Close() }

// Start sends an attempt and returns the stream of its generation.
func (c *Client) Start(ctx context.Context, addr string, a *Attempt) (*FrameStream, error) {
	resp, err := c.send(ctx, http.MethodPost, addr, PathAttempts, a)
	if err != nil {
		return nil, err
	}
	return newFrameStream(resp.Body), nil
}

// Resume returns the stream of a generation, starting at a token offset.
func (c *Client) Resume(ctx context.Context, addr, generation, workspace string, offset int) (*FrameStream, error) {
	path := fmt.Sprintf("%s%s?from=%d&workspace=%s", PathGenerations, generation, offset, workspace)
	resp, err := c.send(ctx, http.MethodGet, addr, path, nil)
	if err != nil {
		return nil, err
	}
	return newFrameStream(resp.Body), nil
}

func newFrameStream(body io.ReadCloser) *FrameStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	return &FrameStream{body: body, scanner: scanner}
}

// Cancel ends a generation immediately.
func (c *Client) Cancel(ctx context.Context, addr, generation, workspace string) error {
	path := fmt.Sprintf("%s%s?workspace=%s", PathGenerations, generation, workspace)
	return c.exchange(ctx, http.MethodDelete, addr, path, nil, nil)
}

// Call sends a call to an agent's plain service, which is any service other than an
// engine, and returns the reply.
func (c *Client) Call(ctx context.Context, addr string, call *Call) (*Reply, error) {
	var reply Reply
	if err := c.exchange(ctx, http.MethodPost, addr, PathCalls, call, &reply); err != nil {
		return nil, err
	}
	if err := reply.CheckHead(); err != nil {
		return nil, errors.Wrap(err, "reply to a call")
	}
	return &reply, nil
}

// Revoke withdraws an attempt, a call or a reservation.
func (c *Client) Revoke(ctx context.Context, addr string, msg Revoke) (Revoked, error) {
	var out Revoked
	err := c.exchange(ctx, http.MethodPost, addr, PathRevoke, msg, &out)
	return out, err
}

// State returns the current state of an agent or entry.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var out State
	err := c.exchange(ctx, http.MethodGet, addr, PathState, nil, &out)
	return out, err
}

// Drain makes an agent stop accepting new work or, if on is false, accept it again.
func (c *Client) Drain(ctx context.Context, addr string, on bool) error {
	return c.exchange(ctx, http.MethodPost, addr, PathDrain, Drain{On: on}, nil)
}

// exchange sends a message and decodes the reply into out, unless out is nil.
func (c *Client) exchange(ctx context.Context, method, addr, path string, in, out any) error {
	resp, err := c.send(ctx, method, addr, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return errors.Wrap(err, "read reply")
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode reply")
}

// send sends a message and returns the response if its status is 200. The caller
// closes the response's body.
func (c *Client) send(ctx context.Context, method, addr, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode message")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+addr+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "peer request")
	}
	req.Header.Set("Content-Type", "application/json")
	c.keys.Sign(req)
	c.addVersionHeaders(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	c.reportPeerVersion(addr, resp.Header)
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, decodeError(resp)
}

// NotSent reports whether a transport error means that no part of the message was
// sent, because no connection could be opened.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// decodeError returns the error of a response whose status is not 200. If the body
// contains no *result.Error, it returns another error, and the requested work may
// or may not have run.
func decodeError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	if e := result.Decode(data); e != nil {
		return e
	}
	return errors.Newf("peer answered with status %d", resp.StatusCode)
}
