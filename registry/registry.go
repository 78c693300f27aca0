// Package registry tracks the targets that serve requests and their load. One
// goroutine owns the state; request handling reads immutable snapshots.
package registry

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is the state that a target publishes in its store entry.
type State int

// The states of a target.
const (
	Ready State = iota
	Draining
)

// Record is the store entry of one target.
type Record struct {
	// ID identifies the target. If the target restarts under the same ID, Born
	// differs.
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
// its Account does: all snapshots share it until the target restarts.
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
	// Requests is the number of requests in progress.
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
	recentWork []Dispatch
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
	// tokens. It includes MemoryCopies.
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

// recentPeriod is how long dispatched work is remembered. It exceeds the maximum
// age of the load reports that placement uses.
const recentPeriod = 2 * time.Second

func newAccount() *Load { return &Load{leaving: make(chan struct{})} }

// SetReport replaces the load report.
func (a *Load) SetReport(report *LoadReport) { a.lastReport.Store(report) }

// Report returns the last load report, or nil if there is none or it is older
// than age.
func (a *Load) Report(now time.Time, age time.Duration) *LoadReport {
	report := a.lastReport.Load()
	if report == nil || now.Sub(report.ReceivedAt) > age {
		return nil
	}
	return report
}

// LeavesAt returns when the target is expected to terminate, zero if unknown.
func (a *Load) LeavesAt() time.Time {
	if at := a.leavesAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetLeavesAt sets when the target is expected to terminate.
func (a *Load) SetLeavesAt(at time.Time) { a.leavesAt.Store(&at) }

// RecordDispatch records work that is dispatched to the target.
func (a *Load) RecordDispatch(sent Dispatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.recentWork[:0]
	for _, work := range a.recentWork {
		if sent.At.Sub(work.At) < recentPeriod {
			kept = append(kept, work)
		}
	}
	a.recentWork = append(kept, sent)
}

// DispatchedSince returns the sum of the work dispatched since the given time: the
// number of requests with a prompt, their prompt tokens, and the expected size of
// the KV cache of all work, in tokens. Work older than recentPeriod may be missing.
func (a *Load) DispatchedSince(since time.Time) (requests, promptTokens, kvTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, work := range a.recentWork {
		if work.At.Before(since) {
			continue
		}
		if work.PromptTokens > 0 {
			requests++
		}
		promptTokens += work.PromptTokens
		kvTokens += work.KVTokens
	}
	return requests, promptTokens, kvTokens
}

// Leaving returns a channel that is closed when the target is draining, is removed
// or is replaced by a new incarnation.
func (a *Load) Leaving() <-chan struct{} { return a.leaving }

// IsLeaving reports whether the channel that Leaving returns is closed.
func (a *Load) IsLeaving() bool {
	select {
	case <-a.leaving:
		return true
	default:
		return false
	}
}

// markLeaving marks the target as leaving and reports whether this is the first
// call.
func (a *Load) markLeaving() bool {
	isFirst := false
	a.leaveOnce.Do(func() {
		close(a.leaving)
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
func (v *Snapshot) Target(id string) *Target { return v.targets[id] }

// Ready returns the targets of a service that accept new work.
func (v *Snapshot) Ready(service string) []*Target { return v.services[service] }

// All returns all targets by ID. The caller must not modify the map.
func (v *Snapshot) All() map[string]*Target { return v.targets }
