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
	minBeatPeriod = 100 * time.Millisecond
	maxBeatPeriod = 5 * time.Second
	// changePeriod is how often the state is compared with what was sent.
	changePeriod = 100 * time.Millisecond
)

// handleBeats streams heartbeats: one in each period, and at once when
// anything but the load has changed.
func (a *Agent) handleBeats(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("period_ms"), 10, 64)
	if err != nil {
		millis = maxBeatPeriod.Milliseconds()
	}
	period := min(max(time.Duration(millis)*time.Millisecond, minBeatPeriod), maxBeatPeriod)
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	tick := time.NewTicker(changePeriod)
	defer tick.Stop()
	var sent *peer.State
	var at time.Time
	for {
		now := time.Now()
		b, due := nextBeat(sent, a.state.Load(), now.Sub(at) >= period)
		if due {
			b.UptimeMillis = a.uptime().Milliseconds()
			if rc.SetWriteDeadline(now.Add(writeTimeout)) != nil || enc.Encode(b) != nil || rc.Flush() != nil {
				return
			}
			sent, at = a.state.Load(), now
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-a.control.gone:
			return
		}
	}
}

// nextBeat returns the heartbeat that follows what was sent, and whether it is
// to be sent now.
func nextBeat(sent, now *peer.State, periodOver bool) (peer.Beat, bool) {
	if sent == nil || changedBeyondLoad(sent, now) {
		return peer.Beat{State: now}, true
	}
	if !periodOver {
		return peer.Beat{}, false
	}
	if sent.Load == now.Load {
		return peer.Beat{}, true
	}
	return peer.Beat{Load: &now.Load}, true
}

func changedBeyondLoad(a, b *peer.State) bool {
	x, y := *a, *b
	x.Load, y.Load = peer.Load{}, peer.Load{}
	return !reflect.DeepEqual(&x, &y)
}
