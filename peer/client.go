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

// Limits on what a peer may send.
const (
	maxFrameBytes = 4 << 20
	maxErrorBytes = 64 << 10
)

// Client sends messages to agents and entries. It may be used from any
// goroutine. A transport failure is returned as is; a refusal by the other
// process is a *result.Error.
type Client struct {
	scheme   string
	http     *http.Client
	keys     Keys
	versions Versions
	self     string
}

// NewClient returns a client that signs with the first key.
func NewClient(client *http.Client, keys Keys) *Client {
	return &Client{http: client, keys: keys, scheme: "http://"}
}

// UseTLS makes the client send over TLS. It is called before the first message.
func (c *Client) UseTLS() { c.scheme = "https://" }

// Stream is an open stream of frames.
type Stream struct {
	body io.ReadCloser
	scan *bufio.Scanner
}

// Next returns the next frame. It returns io.ErrUnexpectedEOF if the stream
// ends; a complete stream is told by a frame with End or Error before that.
func (s *Stream) Next() (Frame, error) {
	if !s.scan.Scan() {
		if err := s.scan.Err(); err != nil {
			return Frame{}, err
		}
		return Frame{}, io.ErrUnexpectedEOF
	}
	var f Frame
	if err := json.Unmarshal(s.scan.Bytes(), &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode frame")
	}
	if f.Offset < 0 || (f.End != nil && f.End.Tokens < 0) {
		return Frame{}, errors.New("decode frame: negative count")
	}
	return f, nil
}

// Close ends the stream. The generation goes on at the agent for its grace.
func (s *Stream) Close() { _ = s.body.Close() }

// Start sends an attempt and returns its stream.
func (c *Client) Start(ctx context.Context, addr string, a *Attempt) (*Stream, error) {
	resp, err := c.send(ctx, http.MethodPost, addr, PathAttempts, a)
	if err != nil {
		return nil, err
	}
	return newFrameStream(resp.Body), nil
}

// Resume returns the stream of a generation from a token offset on.
func (c *Client) Resume(ctx context.Context, addr, generation, workspace string, from int) (*Stream, error) {
	path := fmt.Sprintf("%s%s?from=%d&workspace=%s", PathGenerations, generation, from, workspace)
	resp, err := c.send(ctx, http.MethodGet, addr, path, nil)
	if err != nil {
		return nil, err
	}
	return newFrameStream(resp.Body), nil
}

func newFrameStream(body io.ReadCloser) *Stream {
	scan := bufio.NewScanner(body)
	scan.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	return &Stream{body: body, scan: scan}
}

// Cancel ends a generation at once.
func (c *Client) Cancel(ctx context.Context, addr, generation, workspace string) error {
	path := fmt.Sprintf("%s%s?workspace=%s", PathGenerations, generation, workspace)
	return c.exchange(ctx, http.MethodDelete, addr, path, nil, nil)
}

// Call makes a call to the plain service behind an agent.
func (c *Client) Call(ctx context.Context, addr string, call *Call) (*Reply, error) {
	var reply Reply
	if err := c.exchange(ctx, http.MethodPost, addr, PathCalls, call, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Revoke withdraws an attempt or call.
func (c *Client) Revoke(ctx context.Context, addr string, msg Revoke) (Revoked, error) {
	var out Revoked
	err := c.exchange(ctx, http.MethodPost, addr, PathRevoke, msg, &out)
	return out, err
}

// State asks an agent for its state.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var out State
	err := c.exchange(ctx, http.MethodGet, addr, PathState, nil, &out)
	return out, err
}

// Drain tells an agent to stop or to resume taking new work.
func (c *Client) Drain(ctx context.Context, addr string, on bool) error {
	return c.exchange(ctx, http.MethodPost, addr, PathDrain, Drain{On: on}, nil)
}

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
	c.announce(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	c.observe(addr, resp.Header)
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, decodeRefusal(resp)
}

// NotSent reports whether a transport failure happened before any of the
// message left: no connection could be opened.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decodeRefusal returns the numbered error of a refused message. An answer
// without one says nothing of whether the work ran.
func decodeRefusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	if e := result.Decode(data); e != nil {
		return e
	}
	return errors.Newf("peer answered with status %d", resp.StatusCode)
}
