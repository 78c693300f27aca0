package gateway

import (
	"context"
	"sync"
	"time"
)

// stallWatch notes when the process got no processor time: the signal that stops the process may
// have come meanwhile, and the time until it is killed counts from the signal. It is a suture service.
type stallWatch struct {
	mu sync.Mutex
	// ranAt is the last time at which the process is known to have run. The last stall lasted from
	// stalledFrom to stalledUntil.
	ranAt, stalledFrom, stalledUntil time.Time
}

const (
	stallCheckPeriod = 50 * time.Millisecond
	// minStall is longer than the pauses of a process whose quota of processor time holds for
	// periods of 100 ms, and shorter than stopAnswerTime.
	minStall = 200 * time.Millisecond
	// minStopFraction of a stop passes before requests in progress are answered, also if the
	// signal came at the end of a stall.
	minStopFraction = 5.0 / 6
)

// Serve implements suture.Service.
func (w *stallWatch) Serve(ctx context.Context) error {
	ticker := time.NewTicker(stallCheckPeriod)
	defer ticker.Stop()
	for {
		w.check(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (w *stallWatch) String() string { return "stall watch" }

// check records that the process runs.
func (w *stallWatch) check(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ranAt.IsZero() && now.Sub(w.ranAt) >= minStall {
		w.stalledFrom, w.stalledUntil = w.ranAt, now
	}
	w.ranAt = now
}

// signalTime returns the time from which a stop with the given limit counts if its signal is seen
// now: the begin of a stall that has just ended, as far as the limit allows, else now.
func (w *stallWatch) signalTime(now time.Time, limit time.Duration) time.Time {
	w.check(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.stalledUntil) >= minStall {
		return now
	}
	longest := time.Duration((1-minStopFraction)*float64(limit)) - stopAnswerTime - stopMargin
	return now.Add(-max(min(now.Sub(w.stalledFrom), longest), 0))
}
