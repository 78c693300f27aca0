package entry

import (
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// markSlow marks the slow targets in a new snapshot by comparing the latencies that
// targets of the same role report: inter-token latencies for engines, call latencies
// for plain services. Agents measure them next to their targets, so they contain no
// network latency.
func (b *snapshotBuilder) markSlow(snapshot *routingSnapshot, now time.Time) {
	latenciesByRole := map[string][]decision.LatencySample{}
	for i := range snapshot.targets {
		t := &snapshot.targets[i]
		report := t.load.lastReport.Load()
		role := t.member.State.Role
		latency := time.Duration(report.load.LatencyMicros) * time.Microsecond
		latenciesByRole[role] = append(latenciesByRole[role], decision.LatencySample{VM: t.member.VM.Name, Latency: latency, ReportedAt: report.receivedAt})
	}
	for role, latencies := range latenciesByRole {
		if b.detectors[role] == nil {
			b.detectors[role] = decision.NewSlowDetector(decision.DefaultSlowLimits())
		}
		slowTargets := b.detectors[role].Update(latencies)
		for i := range snapshot.targets {
			if t := &snapshot.targets[i]; t.member.State.Role == role {
				b.updateSlow(t, slowTargets[t.member.VM.Name], now)
			}
		}
	}
}

// updateSlow marks the target as slow or normal, records a change, and sets
// probeDue if a slow target without work is due for a probe: a single request that
// provides a new measurement of the target's latency.
func (b *snapshotBuilder) updateSlow(t *targetSnapshot, isSlow bool, now time.Time) {
	vm := t.member.VM.Name
	if previous := b.current.Load().find(vm); previous != nil {
		t.probeDue = previous.probeDue
		if previous.isSlow != isSlow {
			b.recordSlow(t, isSlow)
		}
	}
	t.isSlow = isSlow
	if !isSlow {
		t.probeDue = nil
		return
	}
	if t.load.lastReport.Load().load.Running > 0 {
		// The running work already provides a measurement.
		t.probeDue = nil
		return
	}
	if b.detectors[t.member.State.Role].Probe(vm, now) {
		t.probeDue = &atomic.Bool{}
		t.probeDue.Store(true)
	}
}

func (b *snapshotBuilder) recordSlow(t *targetSnapshot, isSlow bool) {
	choice := "send only probes"
	if !isSlow {
		choice = "send work again"
	}
	b.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRoute, Target: t.member.VM.Name, Choice: choice, Reason: "cadence",
	})
}

// assignProbe makes the work the probe of the first slow candidate that is due for a
// probe. Only short idempotent work is used as a probe.
func assignProbe(r *routeDecision) {
	if !r.work.Short || !r.work.Idempotent {
		return
	}
	for i, t := range r.candidates {
		if t.probeDue != nil && t.probeDue.CompareAndSwap(true, false) {
			r.targets[i].Probe = true
			return
		}
	}
}
