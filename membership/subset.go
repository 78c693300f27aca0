package membership

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Sizes and periods of the subset.
const (
	// maxFullFleet is the largest number of targets for which the subset contains
	// all of them.
	maxFullFleet = 24
	// lingerPeriod is how long heartbeats of a deselected target continue, so that
	// a selection that is reversed soon, as after a short failure of a target,
	// opens no new heartbeat streams.
	lingerPeriod = 20 * time.Second
	// delistedRetention is the minimum time for which a VM that is no longer
	// listed is kept.
	delistedRetention = 30 * time.Second
	// surveyRate is the number of targets outside the subset that are queried in
	// each maintenance period. While there are targets that were never queried, up
	// to surveyBurst of them are queried instead.
	surveyRate  = 1
	surveyBurst = 16
	// minImplausibleLoss is the minimum number of targets that must vanish from the
	// list at once for the loss to be rejected as implausible.
	minImplausibleLoss = 4
)

// applyList replaces the VM list by a newly read one. It does nothing if the list
// is unchanged.
func (t *Tracker) applyList(vms []vmlist.VM, now time.Time) {
	if slices.Equal(vms, t.lastVMs) {
		return
	}
	t.lastVMs = vms
	t.published.Store(&vmList{vms: vms, digest: peer.DigestVMs(vms)})
	t.subsetStale = true
	t.listed = map[string]vmlist.VM{}
	t.entries = nil
	for _, vm := range vms {
		switch vm.Role {
		case vmlist.RoleTarget:
			t.listed[vm.Name] = vm
			t.addListed(vm)
		case vmlist.RoleEntry:
			t.entries = append(t.entries, location(vm))
		}
	}
	t.markDelisted(now)
	t.updateCoverage()
}

// updateCoverage determines for each target whether this process is one of the
// processes that cover it, which means that they always select it.
func (t *Tracker) updateCoverage() {
	self := t.opts.Self
	if !slices.ContainsFunc(t.entries, func(entry decision.Location) bool { return entry.VM == self.VM }) {
		t.entries = append(t.entries, self)
	}
	for _, m := range t.members {
		target := location(m.VM)
		m.covered = decision.Covers(&self, t.entries, &target)
	}
}

func location(vm vmlist.VM) decision.Location {
	return decision.Location{VM: vm.Name, Datacentre: vm.Datacentre, Region: vm.Region}
}

// addListed adds or updates a listed target. A changed address means another
// process, so the state received from the old address is discarded.
func (t *Tracker) addListed(vm vmlist.VM) {
	m, ok := t.members[vm.Name]
	if ok && m.VM.Addr != vm.Addr {
		t.remove(m)
		ok = false
	}
	if !ok {
		m = &member{Member: Member{HeartbeatTimeout: decision.MinHeartbeatTimeout}}
		t.members[vm.Name] = m
	}
	m.VM = vm
	m.delistedAt = time.Time{}
}

// markDelisted marks targets that are no longer listed as leaving; maintain
// removes them later. If at least minImplausibleLoss targets vanish at once and
// they are more than half as many as the live targets, the list is assumed to be
// wrong and the vanished targets stay unchanged.
func (t *Tracker) markDelisted(now time.Time) {
	var vanished []*member
	live := 0
	for name, m := range t.members {
		if m.Phase(now) == PhaseLive {
			live++
		}
		if _, ok := t.listed[name]; !ok && m.delistedAt.IsZero() {
			vanished = append(vanished, m)
		}
	}
	if len(vanished) >= minImplausibleLoss && 2*len(vanished) > live && live > 0 {
		telemetry.Warn(t.opts.Logger, "VM list implausible, delisted targets kept", "lost", len(vanished), "answering", live)
		for _, m := range vanished {
			t.listed[m.VM.Name] = m.VM
		}
		// Forces the next list to be applied even if it is the same.
		t.lastVMs = nil
		return
	}
	for _, m := range vanished {
		m.delistedAt = now
		m.VM.State = vmlist.VMLeaving
		t.listed[m.VM.Name] = m.VM
	}
}

func (t *Tracker) remove(m *member) {
	if m.stopHeartbeats != nil {
		m.stopHeartbeats()
	}
	delete(t.members, m.VM.Name)
}

// maintain removes delisted targets after delistedRetention unless their agents
// still respond, closes the heartbeat streams of targets that were deselected,
// updates the subset if it is stale and queries some of the targets outside it.
func (t *Tracker) maintain(ctx context.Context, now time.Time) {
	for name, m := range t.members {
		t.logPhase(m, now)
		if m.stopHeartbeats != nil && m.isUnusable(now) != m.wasUnusable {
			m.wasUnusable = m.isUnusable(now)
			t.subsetStale = true
		}
		expired := !m.delistedAt.IsZero() && now.Sub(m.delistedAt) > delistedRetention && m.Phase(now) != PhaseLeaving
		if expired {
			t.remove(m)
			t.listed = maps.Clone(t.listed)
			delete(t.listed, name)
			t.subsetStale = true
		}
		if m.stopHeartbeats != nil && !m.deselectedAt.IsZero() && now.Sub(m.deselectedAt) > lingerPeriod {
			m.stopHeartbeats()
			m.stopHeartbeats = nil
			t.snapshotStale = true
		}
	}
	if t.subsetStale {
		t.updateSubset(ctx, now)
	}
	t.surveyTargets(ctx, now)
}

// logPhase logs a phase change of a target in the subset.
func (t *Tracker) logPhase(m *member, now time.Time) {
	phase := m.Phase(now)
	if m.stopHeartbeats == nil || phase == m.loggedPhase {
		return
	}
	m.loggedPhase = phase
	telemetry.Info(t.opts.Logger, "target "+phase.String(), "target", m.VM.Name, "silent_ms", now.Sub(m.LastSeen).Milliseconds(),
		"limit_ms", m.HeartbeatTimeout.Milliseconds(), "broken", m.Unreachable)
}

// updateSubset selects the subset again. It opens heartbeat streams to the
// selected targets and records when other targets were deselected; maintain
// closes their streams after lingerPeriod.
func (t *Tracker) updateSubset(ctx context.Context, now time.Time) {
	t.subsetStale = false
	t.snapshotStale = true
	selected := t.selectSubset(now)
	period := min(max(time.Duration(len(selected))*heartbeatSpacing, minHeartbeatPeriod), maxHeartbeatPeriod)
	for name, m := range t.members {
		switch {
		case selected[name] && m.stopHeartbeats == nil:
			streamCtx, cancel := context.WithCancel(ctx)
			m.stopHeartbeats = cancel
			go t.receiveHeartbeats(streamCtx, m.VM.Name, m.VM.Addr, period)
			m.deselectedAt = time.Time{}
		case selected[name]:
			m.deselectedAt = time.Time{}
		case m.deselectedAt.IsZero():
			m.deselectedAt = now
		}
	}
}

// selectSubset returns the names of the targets of the subset: all targets if there
// are at most maxFullFleet, otherwise some targets of each group.
func (t *Tracker) selectSubset(now time.Time) map[string]bool {
	selected := map[string]bool{}
	groups := map[string][]decision.Candidate{}
	for name, m := range t.members {
		if len(t.members) <= maxFullFleet {
			selected[name] = true
			continue
		}
		candidate := decision.Candidate{Location: location(m.VM), Unusable: m.isUnusable(now), Covered: m.covered}
		for _, g := range groupsOf(&m.State) {
			groups[g] = append(groups[g], candidate)
		}
	}
	for _, candidates := range groups {
		for _, i := range decision.Subset(t.opts.Self, candidates) {
			selected[candidates[i].VM] = true
		}
	}
	return selected
}

// isUnusable reports whether the target is known not to accept work. A target
// in PhaseUnknown that the VM list shows as live is neither unusable nor Usable. The heartbeat
// timeout does not count for a target outside the subset, which sends no
// heartbeats.
func (m *member) isUnusable(now time.Time) bool {
	timedOut := m.stopHeartbeats != nil && m.Phase(now) == PhaseGone
	return timedOut || m.Unreachable || m.isDraining() || m.VM.State != vmlist.VMLive
}

// groupsOf returns the groups of interchangeable targets that a target with the
// given state belongs to: one for each of its models or, without models, one for
// its role. A target without a reported state belongs to none.
func groupsOf(st *peer.State) []string {
	if len(st.Models) > 0 {
		return st.Models
	}
	if st.Role != "" {
		return []string{"role " + st.Role}
	}
	return nil
}

func groupsDiffer(a, b *peer.State) bool { return !slices.Equal(groupsOf(a), groupsOf(b)) }

// surveyTargets queries targets outside the subset to find out which groups they
// belong to, starting with the least recently queried. The number of queries does
// not depend on the size of the fleet, except for targets that were never queried.
func (t *Tracker) surveyTargets(ctx context.Context, now time.Time) {
	var candidates []*member
	unqueried := 0
	for _, m := range t.members {
		if m.stopHeartbeats != nil {
			continue
		}
		candidates = append(candidates, m)
		if m.lastSurveyed.IsZero() {
			unqueried++
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].lastSurveyed.Before(candidates[j].lastSurveyed) })
	for _, m := range candidates[:min(len(candidates), max(surveyRate, min(unqueried, surveyBurst)))] {
		m.lastSurveyed = now
		go t.queryState(ctx, m.VM.Name, m.VM.Addr)
	}
}

// publish stores a new snapshot of the members.
func (t *Tracker) publish() {
	t.snapshotStale = false
	snapshot := &Snapshot{byVM: map[string]int{}, listed: t.listed}
	for _, m := range t.members {
		if m.stopHeartbeats != nil {
			snapshot.Members = append(snapshot.Members, m.Member)
		}
	}
	sort.Slice(snapshot.Members, func(i, j int) bool { return snapshot.Members[i].VM.Name < snapshot.Members[j].VM.Name })
	for i := range snapshot.Members {
		snapshot.byVM[snapshot.Members[i].VM.Name] = i
	}
	t.snapshot.Store(snapshot)
}
