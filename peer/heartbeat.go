package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// PathHeartbeats is the path of an agent's heartbeat stream.
const PathHeartbeats = "/peer/v1/beats"

// Heartbeat is one line of an agent's heartbeat stream. State is set on the first
// line and when anything other than the load has changed since the previous line.
// Load is set when only the load has changed. Neither is set if nothing has.
type Heartbeat struct {
	// UptimeMillis is the time since the agent process started.
	UptimeMillis int64  `json:"uptime_ms"`
	State        *State `json:"state,omitempty"`
	Load         *Load  `json:"load,omitempty"`
}

// Heartbeats reads an agent's heartbeats and passes each to handle. The agent sends a
// heartbeat every period, and earlier when anything other than its load changes.
// Heartbeats returns an error when the stream ends or when no heartbeat arrives within
// the timeout.
func (c *Client) Heartbeats(ctx context.Context, addr string, period, timeout time.Duration, handle func(Heartbeat)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	path := fmt.Sprintf("%s?period_ms=%d", PathHeartbeats, period.Milliseconds())
	resp, err := c.send(ctx, http.MethodGet, addr, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		watchdog.Reset(timeout)
		var hb Heartbeat
		if err := json.Unmarshal(line, &hb); err != nil {
			return errors.Wrap(err, "decode heartbeat")
		}
		if hb.State != nil && c.versions != nil && hb.State.ConfigVersion > c.versions.Version() {
			c.versions.ReportVersion(hb.State.ConfigVersion, addr)
		}
		handle(hb)
	}
}
