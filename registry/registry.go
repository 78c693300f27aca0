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
	// Warming is the remaining warm-up time, during which the target is slow.
	Warming time.Duration
	// Born is the start time of the target's incarnation in Unix milliseconds, 0 if
	// unknown.
	Born int64
}

// Target is a target with its load. A Target in a snapshot does not change, but
// its Account does: all snapshots share it until the target restarts.
type Target struct {
	Record
	// Since is when this process first observed the target in this state.
	Since   time.Time
	Account *Account
	key     string
}

// Account is the load of a target: the work that this process has in progress
// there and the last load report of the target's engine. It is safe for
// concurrent use.
type Account struct {
	// Requests is the number of requests in progress.
	Requests atomic.Int64
	// Prefill is the number of prompt tokens of the requests in progress that have
	// no output yet.
	Prefill atomic.Int64
	// Memory is the expected size of the KV cache of the work in progress, in
	// tokens.
	Memory atomic.Int64

	lastReport atomic.Pointer[Observation]
	leavesAt   atomic.Pointer[time.Time]
	leaving    chan struct{}
	leaveOnce  sync.Once
	mu         sync.Mutex
	recentWork []Sent
}

// Observation is a load report of an engine.
type Observation struct {
	// At is when this process received the load report.
	At time.Time
	// Lost is true if the sidecar on the engine's VM cannot reach the engine.
	Lost bool
	// Running is the number of requests that are being prefilled or decoded.
	Running int
	// Queued is the number of requests that wait for execution.
	Queued int
	// Prefilling is the number of requests whose prompt is being read.
	Prefilling int
	// Generating is the number of requests that are being decoded.
	Generating int
	// MemoryUsed is the part of the KV cache that cannot be freed at once, in
	// tokens. It includes MemoryCopies.
	MemoryUsed int
	// MemoryCopies is the KV cache held as backups of streams that run at other
	// targets, in tokens.
	MemoryCopies int
	// Usual is the slowdown of the engine: 1 is normal, 0 means unknown.
	Usual float64
}

// Sent is work that this process dispatched to a target.
type Sent struct {
	At           time.Time
	PromptTokens int
	// MemoryTokens is the expected size of the KV cache of the work, in tokens.
	MemoryTokens int
}

// recentPeriod is how long dispatched work is remembered. It exceeds the maximum
// age of the load reports that placement uses.
const recentPeriod = 2 * time.Second

func newAccount() *Account { return &Account{leaving: make(chan struct{})} }

// Observe replaces the load report.
func (a *Account) Observe(report *Observation) { a.lastReport.Store(report) }

// Observed returns the last load report, or nil if there is none or it is older
// than age.
func (a *Account) Observed(now time.Time, age time.Duration) *Observation {
	report := a.lastReport.Load()
	if report == nil || now.Sub(report.At) > age {
		return nil
	}
	return report
}

// LeavesAt returns when the target is expected to terminate, zero if unknown.
func (a *Account) LeavesAt() time.Time {
	if at := a.leavesAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetLeavesAt sets when the target is expected to terminate.
func (a *Account) SetLeavesAt(at time.Time) { a.leavesAt.Store(&at) }

// Send records work that is dispatched to the target.
func (a *Account) Send(sent Sent) {
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

// SentSince returns the sum of the work dispatched since the given time: the
// number of requests with a prompt, their prompt tokens, and the expected size of
// the KV cache of all work, in tokens. Work older than recentPeriod may be missing.
func (a *Account) SentSince(since time.Time) (requests, promptTokens, kvTokens int) {
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
		kvTokens += work.MemoryTokens
	}
	return requests, promptTokens, kvTokens
}

// Leaving returns a channel that is closed when the target is draining, is removed
// or is replaced by a new incarnation.
func (a *Account) Leaving() <-chan struct{} { return a.leaving }

// Left reports whether the channel that Leaving returns is closed.
func (a *Account) Left() bool {
	select {
	case <-a.leaving:
		return true
	default:
		return false
	}
}

// markLeaving marks the target as leaving and reports whether this is the first
// call.
func (a *Account) markLeaving() bool {
	isFirst := false
	a.leaveOnce.Do(func() {
		close(a.leaving)
		isFirst = true
	})
	return isFirst
}

// View is an immutable snapshot of the targets.
type View struct {
	// Revision is the store revision that the snapshot reflects.
	Revision int64
	targets  map[string]*Target
	services map[string][]*Target
}

// Target returns the target with the given ID, or nil if there is none.
func (v *View) Target(id string) *Target { return v.targets[id] }

// Ready returns the targets of a service that accept new work.
func (v *View) Ready(service string) []*Target { return v.services[service] }

// All returns all targets by ID. The caller must not modify the map.
func (v *View) All() map[string]*Target { return v.targets }
