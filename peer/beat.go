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

// PathBeats streams an agent's heartbeats.
const PathBeats = "/peer/v1/beats"

// Beat is one line of an agent's stream of heartbeats. State is set on the
// first line and whenever anything but the load has changed, Load when only
// the load has. Neither is set if nothing has changed.
type Beat struct {
	// UptimeMillis is the age of the agent process.
	UptimeMillis int64  `json:"uptime_ms"`
	State        *State `json:"state,omitempty"`
	Load         *Load  `json:"load,omitempty"`
}

// Beats reads an agent's heartbeats and passes each to the function until the
// stream ends or is silent for longer than the given time.
func (c *Client) Beats(ctx context.Context, addr string, period, silence time.Duration, each func(Beat)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	path := fmt.Sprintf("%s?period_ms=%d", PathBeats, period.Milliseconds())
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
		watchdog.Reset(silence)
		var b Beat
		if err := json.Unmarshal(line, &b); err != nil {
			return errors.Wrap(err, "decode heartbeat")
		}
		if b.State != nil && c.versions != nil && b.State.ConfigVersion > c.versions.Version() {
			c.versions.Saw(b.State.ConfigVersion, addr)
		}
		each(b)
	}
}
