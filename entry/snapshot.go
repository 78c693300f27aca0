package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// snapshotPeriod is the interval at which a new snapshot of the targets is built.
const snapshotPeriod = 50 * time.Millisecond

// routingSnapshot is an immutable snapshot of the targets. The goroutines that
// serve requests access the state of targets only through this snapshot, the
// membership snapshot and the atomic fields of targetLoad.
type routingSnapshot struct {
	targets []targetSnapshot
	byVM    map[string]*targetSnapshot
}

// targetSnapshot is one target of a routingSnapshot.
type targetSnapshot struct {
	member *membership.Member
	load   *targetLoad
	isSlow bool
	// probeDue is non-nil and true while a slow target is due for a probe. The
	// request that clears it is the probe.
	probeDue *atomic.Bool
}

// targetLoad is the load of one target as this entry knows it: the last load
// report and the requests that this entry sent. It is shared by successive
// snapshots and is safe for concurrent use.
type targetLoad struct {
	// sentRequests counts the requests and reservations sent to the target since
	// the entry started.
	sentRequests atomic.Int64
	lastReport   atomic.Pointer[loadReport]
}

// loadReport is an agent's load report.
type loadReport struct {
	load       peer.Load
	receivedAt time.Time
	// sentBeforeReport is the value of sentRequests when the report arrived.
	sentBeforeReport int64
}

func newTargetLoad() *targetLoad {
	l := &targetLoad{}
	l.lastReport.Store(&loadReport{})
	return l
}

// updateReport stores a load report unless a newer one is stored.
func (l *targetLoad) updateReport(load peer.Load, receivedAt time.Time) {
	report := &loadReport{load: load, receivedAt: receivedAt, sentBeforeReport: l.sentRequests.Load()}
	for {
		current := l.lastReport.Load()
		if !current.receivedAt.Before(receivedAt) || l.lastReport.CompareAndSwap(current, report) {
			return
		}
	}
}

// describe returns the description of the target that the routing policy uses.
func (t *targetSnapshot) describe(now time.Time) decision.Target {
	report := t.load.lastReport.Load()
	l := &report.load
	return decision.Target{
		VM: t.member.VM.Name, Datacentre: t.member.State.Datacentre, Region: t.member.State.Region,
		Running: l.Running, Queued: l.Queued, Sent: int(t.load.sentRequests.Load() - report.sentBeforeReport), Slots: l.Slots,
		KVTokens: l.KVTokens, KVCapacityTokens: l.KVCapacityTokens, EngineRequests: l.EngineRunning + l.EngineWaiting,
		Wait: time.Duration(l.WaitMicros) * time.Microsecond, ShortWait: time.Duration(l.ShortWaitMicros) * time.Microsecond,
		InterTokenLatency: time.Duration(l.LatencyMicros) * time.Microsecond,
		Age:               now.Sub(report.receivedAt), Slow: t.isSlow,
	}
}

// candidates returns the members that may receive the service's work now and are
// not in tried. The membership snapshot may be newer than s.
func (s *routingSnapshot) candidates(members *membership.Snapshot, svc *config.Service, tried map[string]bool, now time.Time) []*targetSnapshot {
	var candidates []*targetSnapshot
	for i := range members.Members {
		m := &members.Members[i]
		if !tried[m.VM.Name] && m.Usable(now) && serves(m, svc) {
			candidates = append(candidates, s.targetFor(m))
		}
	}
	return candidates
}

// targetFor returns the member with its load from the snapshot, or with a new
// targetLoad if the snapshot does not contain the member.
func (s *routingSnapshot) targetFor(m *membership.Member) *targetSnapshot {
	existing := s.find(m.VM.Name)
	if existing == nil {
		t := &targetSnapshot{member: m, load: newTargetLoad()}
		t.load.updateReport(m.State.Load, m.LastSeen)
		return t
	}
	t := *existing
	t.member = m
	return &t
}

// serves reports whether the member serves the service: by its role for a plain
// service, by its models for a model service.
func serves(m *membership.Member, svc *config.Service) bool {
	if svc.Kind == config.KindPlain {
		return m.State.Role == svc.Role
	}
	return slices.Contains(m.State.Models, peer.ModelKey(svc.Model, svc.Adapter))
}

// find returns the target on the VM, or nil.
func (s *routingSnapshot) find(vm string) *targetSnapshot {
	return s.byVM[vm]
}

// snapshotBuilder is a suture service that builds a routingSnapshot every
// snapshotPeriod from the membership snapshot and the loads of the targets. Only
// its goroutine accesses loads and detectors.
type snapshotBuilder struct {
	members *membership.Tracker
	loads   map[string]*targetLoad
	// detectors find the slow targets; the key is the role, since only targets
	// of one role are comparable.
	detectors map[string]*decision.SlowDetector
	recorder  *telemetry.Recorder
	// slowDetectionOff is set if slow targets are not to be marked.
	slowDetectionOff bool
	// current is the newest snapshot.
	current atomic.Pointer[routingSnapshot]
}

func newSnapshotBuilder(members *membership.Tracker, recorder *telemetry.Recorder, slowDetectionOff bool) *snapshotBuilder {
	b := &snapshotBuilder{
		members: members, loads: map[string]*targetLoad{}, detectors: map[string]*decision.SlowDetector{}, recorder: recorder, slowDetectionOff: slowDetectionOff,
	}
	b.current.Store(&routingSnapshot{})
	return b
}

// Serve implements suture.Service.
func (b *snapshotBuilder) Serve(ctx context.Context) error {
	tick := time.NewTicker(snapshotPeriod)
	defer tick.Stop()
	for {
		b.build(b.members.Snapshot(), time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// build publishes a new snapshot of the members.
func (b *snapshotBuilder) build(members *membership.Snapshot, now time.Time) {
	snapshot := &routingSnapshot{targets: make([]targetSnapshot, len(members.Members)), byVM: make(map[string]*targetSnapshot, len(members.Members))}
	loads := make(map[string]*targetLoad, len(members.Members))
	for i := range members.Members {
		m := &members.Members[i]
		load := b.loads[m.VM.Name]
		if load == nil {
			load = newTargetLoad()
		}
		loads[m.VM.Name] = load
		load.updateReport(m.State.Load, m.LastSeen)
		snapshot.targets[i] = targetSnapshot{member: m, load: load}
		snapshot.byVM[m.VM.Name] = &snapshot.targets[i]
	}
	b.loads = loads
	if !b.slowDetectionOff {
		b.markSlow(snapshot, now)
	}
	b.current.Store(snapshot)
}
