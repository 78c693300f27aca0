// Package registry tracks the targets that serve requests and their load. One
// goroutine owns the state; request handling reads immutable snapshots.
package registry

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is the state of a target. A target publishes it in its store entry;
// Keeper.MarkLeaving can set Draining earlier.
type State int

// The states of a target.
const (
	Ready State = iota
	Draining
)

// Record is the store entry of one target.
type Record struct {
	// ID identifies the target. If the target restarts under the same ID,
	// StartMillis differs.
	ID         string
	Addr       string
	Service    string
	Datacentre string
	Slots      int
	State      State
	// WarmUp is the remaining warm-up time, during which the target is slow.
	WarmUp time.Duration
	// StartMillis is the start time of the target's incarnation in Unix milliseconds, 0 if
	// unknown.
	StartMillis int64
}

// Target is a target with its load. A Target in a snapshot does not change, but
// its Load does: all snapshots share it until the target restarts.
type Target struct {
	Record
	// Since is when this process first observed the target in this state.
	Since time.Time
	Load  *Load
	key   string
}

// Load is the load of a target: the work that this process has in progress
// there and the last load report of the target's engine. It is safe for
// concurrent use.
type Load struct {
	// Requests is the number of requests of this process in progress.
	Requests atomic.Int64
	// PrefillTokens is the number of prompt tokens of the requests in progress that have
	// no output yet.
	PrefillTokens atomic.Int64
	// KVTokens is the expected size of the KV cache of the work in progress, in
	// tokens.
	KVTokens atomic.Int64

	lastReport atomic.Pointer[LoadReport]
	leavesAt   atomic.Pointer[time.Time]
	leaving    chan struct{}
	leaveOnce  sync.Once
	mu         sync.Mutex
	recent     []Dispatch
}

// LoadReport is a load report of an engine.
type LoadReport struct {
	// ReceivedAt is when this process received the load report.
	ReceivedAt time.Time
	// Unreachable is true if the sidecar on the engine's VM cannot reach the engine.
	Unreachable bool
	// Running is the number of requests that are being prefilled or decoded.
	Running int
	// Queued is the number of requests that wait for execution.
	Queued int
	// Prefilling is the number of requests whose prompt is being read.
	Prefilling int
	// Decoding is the number of requests that are being decoded.
	Decoding int
	// KVTokens is the part of the KV cache that cannot be freed at once, in
	// tokens. It includes KVCopyTokens.
	KVTokens int
	// KVCopyTokens is the KV cache held as backups of streams that run at other
	// targets, in tokens.
	KVCopyTokens int
	// BaselineSlowdown is the slowdown of the engine: 1 is normal, 0 means unknown.
	BaselineSlowdown float64
}

// Dispatch is work that this process dispatched to a target.
type Dispatch struct {
	At           time.Time
	PromptTokens int
	// KVTokens is the expected size of the KV cache of the work, in tokens.
	KVTokens int
}

// recentPeriod is how long dispatches are kept. It exceeds the maximum age of the
// load reports that placement uses.
const recentPeriod = 2 * time.Second

func newLoad() *Load { return &Load{leaving: make(chan struct{})} }

// SetReport replaces the load report.
func (l *Load) SetReport(report *LoadReport) { l.lastReport.Store(report) }

// Report returns the last load report, or nil if there is none or it is older
// than maxAge.
func (l *Load) Report(now time.Time, maxAge time.Duration) *LoadReport {
	report := l.lastReport.Load()
	if report == nil || now.Sub(report.ReceivedAt) > maxAge {
		return nil
	}
	return report
}

// LeavesAt returns when the target is expected to terminate, zero if unknown.
func (l *Load) LeavesAt() time.Time {
	if at := l.leavesAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetLeavesAt sets when the target is expected to terminate.
func (l *Load) SetLeavesAt(at time.Time) { l.leavesAt.Store(&at) }

// RecordDispatch records work that is dispatched to the target.
func (l *Load) RecordDispatch(dispatch Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.recent[:0]
	for _, d := range l.recent {
		if dispatch.At.Sub(d.At) < recentPeriod {
			kept = append(kept, d)
		}
	}
	l.recent = append(kept, dispatch)
}

// DispatchedSince returns the sum of the work dispatched since the given time: the
// number of dispatches with a prompt, their prompt tokens, and the expected size
// of the KV cache of all dispatches, in tokens. Dispatches older than recentPeriod
// may be missing.
func (l *Load) DispatchedSince(since time.Time) (requests, promptTokens, kvTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.recent {
		if d.At.Before(since) {
			continue
		}
		if d.PromptTokens > 0 {
			requests++
		}
		promptTokens += d.PromptTokens
		kvTokens += d.KVTokens
	}
	return requests, promptTokens, kvTokens
}

// Leaving returns a channel that is closed when the target is draining, is removed
// or is replaced by a new incarnation.
func (l *Load) Leaving() <-chan struct{} { return l.leaving }

// IsLeaving reports whether the channel that Leaving returns is closed.
func (l *Load) IsLeaving() bool {
	select {
	case <-l.leaving:
		return true
	default:
		return false
	}
}

// markLeaving marks the target as leaving and reports whether this is the first
// call.
func (l *Load) markLeaving() bool {
	isFirst := false
	l.leaveOnce.Do(func() {
		close(l.leaving)
		isFirst = true
	})
	return isFirst
}

// Snapshot is an immutable snapshot of the targets.
type Snapshot struct {
	// Revision is the store revision that the snapshot reflects.
	Revision int64
	targets  map[string]*Target
	services map[string][]*Target
}

// Target returns the target with the given ID, or nil if there is none.
func (s *Snapshot) Target(id string) *Target { return s.targets[id] }

// Ready returns the targets of a service that accept new d.
func (s *Snapshot) Ready(service string) []*Target { return s.services[service] }

// All returns all targets by ID. The caller must not modify the map.
func (s *Snapshot) All() map[string]*Target { return s.targets }
