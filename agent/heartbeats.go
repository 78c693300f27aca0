package agent

import (
	"encoding/json"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
)

// Periods of heartbeats.
const (
	minHeartbeatPeriod = 100 * time.Millisecond
	maxHeartbeatPeriod = 5 * time.Second
	// changePollInterval is how often the state is compared with the last
	// heartbeat.
	changePollInterval = 100 * time.Millisecond
)

// handleHeartbeats streams heartbeats: one in each period, and one within
// changePollInterval when anything but the load has changed.
func (a *Agent) handleHeartbeats(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("period_ms"), 10, 64)
	if err != nil {
		millis = maxHeartbeatPeriod.Milliseconds()
	}
	period := min(max(time.Duration(millis)*time.Millisecond, minHeartbeatPeriod), maxHeartbeatPeriod)
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	tick := time.NewTicker(changePollInterval)
	defer tick.Stop()
	var sent *peer.State
	var sentAt time.Time
	for {
		now := time.Now()
		heartbeat, isDue := nextHeartbeat(sent, a.state.Load(), now.Sub(sentAt) >= period)
		if isDue {
			heartbeat.UptimeMillis = a.uptime().Milliseconds()
			if rc.SetWriteDeadline(now.Add(writeTimeout)) != nil || enc.Encode(heartbeat) != nil || rc.Flush() != nil {
				return
			}
			sent, sentAt = a.state.Load(), now
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-a.control.stopped:
			return
		}
	}
}

// nextHeartbeat returns the heartbeat that follows the sent state, and whether
// the heartbeat is due now. The heartbeat contains the whole state if anything but
// the load has changed, only the load if only that has changed, and otherwise
// neither.
func nextHeartbeat(lastSent, current *peer.State, isPeriodOver bool) (peer.Heartbeat, bool) {
	if lastSent == nil || differsBeyondLoad(lastSent, current) {
		return peer.Heartbeat{State: current}, true
	}
	if !isPeriodOver {
		return peer.Heartbeat{}, false
	}
	if lastSent.Load == current.Load {
		return peer.Heartbeat{}, true
	}
	return peer.Heartbeat{Load: &current.Load}, true
}

func differsBeyondLoad(a, b *peer.State) bool {
	x, y := *a, *b
	x.Load, y.Load = peer.Load{}, peer.Load{}
	return !reflect.DeepEqual(&x, &y)
}
