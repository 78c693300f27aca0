// Package registry tracks the targets that serve requests and their load. One
// goroutine owns the state; request handling reads immutable snapshots.
package registry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
)

// State is the state of a target. A target publishes it in its store entry;
// Keeper.MarkLeaving can set Draining earlier.
type State int

// The states of a target.
const (
	Ready State = iota
	Draining
)

// Record is the decoded store entry of one target.
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
	// StartMillis is the start time of the target's incarnation, in milliseconds
	// since the Unix epoch, 0 if unknown.
	StartMillis int64
}

// Target is a target with its load. A Target in a snapshot does not change, but
// its Load does: all snapshots share it until the target restarts.
type Target struct {
	Record
	// Since is when this process first observed the target in this state.
	Since time.Time
	Load  *Load
	// entryRevision is the revision of the target's entry.
	entryRevision int64
	key           string
}

// ColdUntil returns the time until which the target may be cold. It is in the past for a
// target that is known to be warm.
func (t *Target) ColdUntil(now time.Time) time.Time { return t.Load.coldUntil(now) }

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
	hold       decision.ShedHold
	// departing is set once the target has stated that it leaves, announced once another
	// process knows that.
	departing atomic.Bool
	announced atomic.Bool
	// entryColdUntil is when the target is warm according to its entry. It is here, not in
	// Target, since a stream keeps the Target of its backup while later entries arrive.
	entryColdUntil time.Time
	// cold is what the sidecar has stated, coldSends counts the requests that this process
	// sent without the grant of a sidecar. coldDeniedUntil is when the target may have room
	// again.
	cold            decision.ColdState
	coldSends       *coldSends
	coldDeniedUntil time.Time
	// Until these times the target's sidecar is not asked for grants: it has not answered,
	// or does not count them.
	sidecarSilentUntil time.Time
	coldUnmeteredUntil time.Time
	invalidColdLogged  atomic.Bool
	// replacedAt is when another incarnation last reported from the address, in Unix
	// nanoseconds.
	replacedAt atomic.Int64
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
	// Prefilling is the number of requests that are being prefilled.
	Prefilling int
	// Decoding is the number of requests that are being decoded.
	Decoding int
	// PrefillTokens is the number of prompt tokens to be prefilled, 0 if unknown.
	PrefillTokens int
	// KVTokens is the part of the KV cache that cannot be freed immediately, in
	// tokens. It includes KVCopyTokens.
	KVTokens int
	// KVCopyTokens is the KV cache held as backups of streams that run at other
	// targets, in tokens.
	KVCopyTokens int
	// BaselineSlowdown is the slowdown of the engine without the influence of other
	// load on its host: 1 is normal, 0 means unknown.
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

func newLoad() *Load { return &Load{leaving: make(chan struct{}), coldSends: &coldSends{}} }

// coldSends counts the requests that this process sent to an incarnation of a target
// without the grant of a sidecar. It has its own lock, since it outlives the Load if the
// entry is deleted and registered again.
type coldSends struct {
	mu     sync.Mutex
	window decision.RateWindow
}

// MarkReplaced records that an engine that started later has reported from the target's
// address.
func (l *Load) MarkReplaced(now time.Time) { l.replacedAt.Store(now.UnixNano()) }

// IsReplaced reports whether MarkReplaced was called within the last maxAge.
func (l *Load) IsReplaced(now time.Time, maxAge time.Duration) bool {
	at := l.replacedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) <= maxAge
}

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

// SetCold records the statement of the target's sidecar that the target stays cold for the given
// time.
func (l *Load) SetCold(now time.Time, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.SetStatement(now, remaining)
}

// HadColdStatement reports whether the target's sidecar has ever stated how long the target
// stays cold.
func (l *Load) HadColdStatement() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.HadStatement()
}

func (l *Load) coldUntil(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Until(now, l.entryColdUntil)
}

func (l *Load) setEntryCold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryColdUntil = until
}

// TakeColdShare counts a request to the target without the grant of a sidecar if it stays within the share of this
// process, and reports whether it does.
func (l *Load) TakeColdShare(now time.Time, share int) bool {
	l.coldSends.mu.Lock()
	defer l.coldSends.mu.Unlock()
	if !l.coldSends.window.Allows(now, share) {
		return false
	}
	l.coldSends.window.Record(now)
	return true
}

// CountColdSend counts a request beyond the share of this process, to a warm target.
func (l *Load) CountColdSend(now time.Time) {
	l.coldSends.mu.Lock()
	defer l.coldSends.mu.Unlock()
	l.coldSends.window.Record(now)
}

// SetSidecarSilent records that the target's sidecar has not answered and is not asked
// until the given time.
func (l *Load) SetSidecarSilent(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sidecarSilentUntil = until
}

// IsSidecarSilent reports whether the target's sidecar has recently not answered.
func (l *Load) IsSidecarSilent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.sidecarSilentUntil)
}

// SetColdUnmetered records that the target's sidecar does not count grants, and is not
// asked for them until the given time.
func (l *Load) SetColdUnmetered(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUnmeteredUntil = until
}

// MetersCold reports whether the target's sidecar may count grants: it has not recently
// failed to answer or to count one.
func (l *Load) MetersCold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.sidecarSilentUntil) && !now.Before(l.coldUnmeteredUntil)
}

// DenyCold records that the cold target takes no further request until the given time.
func (l *Load) DenyCold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldDeniedUntil = until
}

// IsColdDenied reports whether the cold target takes no request now.
func (l *Load) IsColdDenied(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.coldDeniedUntil)
}

// IsFirstInvalidCold reports whether this is the first call, for a log line about an invalid statement
// of the sidecar.
func (l *Load) IsFirstInvalidCold() bool { return !l.invalidColdLogged.Swap(true) }

// RaiseBacklog raises the number of prompt tokens to be prefilled in the load report.
func (l *Load) RaiseBacklog(prefillTokens int) {
	report := l.lastReport.Load()
	if report == nil || report.PrefillTokens >= prefillTokens {
		return
	}
	raised := *report
	raised.PrefillTokens = prefillTokens
	// A newer report replaces this one.
	l.lastReport.CompareAndSwap(report, &raised)
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

// Shed records that the target has turned away a request and wants no further ones for
// the given time.
func (l *Load) Shed(now time.Time, hold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold.Shed(now, hold, rand.Float64())
}

// Accepted records that the target has accepted a request that was sent at the given time.
func (l *Load) Accepted(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold.Accepted(sentAt)
}

// HeldUntil returns when the target's hold ends, zero if the target is not held.
func (l *Load) HeldUntil(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.Ends(now)
}

// TryStart reports whether the target's hold allows a request to be sent now.
func (l *Load) TryStart(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.TryStart(now)
}

// TryResume is like TryStart for a request that only this target can continue.
func (l *Load) TryResume(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.TryResume(now)
}

// CanResume reports whether TryResume would allow a request.
func (l *Load) CanResume(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.CanResume(now)
}

// CanStop reports whether the target's hold allows a call that stops a request there.
func (l *Load) CanStop(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.CanStop(now)
}

// TryStop is like CanStop and counts the call within the hold.
func (l *Load) TryStop(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold.TryStop(now)
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

// MarkLeaving marks the target as leaving and reports whether this is the first
// call. It takes effect at once, before the next snapshot.
func (l *Load) MarkLeaving() bool {
	isFirst := false
	l.leaveOnce.Do(func() {
		close(l.leaving)
		isFirst = true
	})
	return isFirst
}

// Announced reports whether the other processes know the departure of the target.
func (l *Load) Announced() bool { return l.announced.Load() }

// Announce reports whether the departure of the target is still to be sent to the other
// processes, and records that they know it.
func (l *Load) Announce() bool { return !l.announced.Swap(true) }

// Snapshot is an immutable snapshot of the targets.
type Snapshot struct {
	// Revision is the store revision that the snapshot reflects.
	Revision int64
	targets  map[string]*Target
	services map[string][]*Target
}

// Target returns the target with the given ID, or nil if there is none.
func (s *Snapshot) Target(id string) *Target { return s.targets[id] }

// Ready returns the targets of a service that accept new work.
func (s *Snapshot) Ready(service string) []*Target { return s.services[service] }

// All returns all targets by ID. The caller must not modify the map.
func (s *Snapshot) All() map[string]*Target { return s.targets }
