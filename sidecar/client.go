package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Client reads the streams of load reports of sidecars.
type Client struct{ http *http.Client }

// NewClient returns a client that uses the given HTTP client.
func NewClient(c *http.Client) *Client { return &Client{http: c} }

// StreamTimeout is the time without a line after which a stream counts as broken.
// It covers two keepalive periods and a transfer between regions.
const StreamTimeout = 2200 * time.Millisecond

// Watch passes each line of the stream at addr to onLine until ctx ends or the
// stream breaks. It always returns an error.
func (c *Client) Watch(ctx context.Context, addr string, onLine func(Line)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(StreamTimeout, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+PathWatch, nil)
	if err != nil {
		return errors.Wrap(err, "create sidecar request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "sidecar")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("sidecar responded with status %d", resp.StatusCode)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	for scanner.Scan() {
		watchdog.Reset(StreamTimeout)
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrap(err, "decode sidecar line")
		}
		if line.Report == nil && !line.EngineUnreachable {
			return errors.New("decode sidecar line: it holds no report")
		}
		onLine(line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read sidecar stream")
	}
	return io.ErrUnexpectedEOF
}

// initialLineBytes is the initial size of the buffer for a line, maxLineBytes the largest
// line that is accepted.
const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 256 << 10
)
