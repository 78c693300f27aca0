package membership

import (
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Member is one target VM.
type Member struct {
	VM    vmlist.VM
	State peer.State
	// LastSeen is when the agent last sent a heartbeat or a reply; zero if it never
	// did.
	LastSeen time.Time
	// HeartbeatTimeout is the heartbeat timeout: without a message from the agent for
	// longer than this, the member is assumed to be gone.
	HeartbeatTimeout time.Duration
	// Unreachable is set while the agent's address refuses connections or belongs
	// to another VM.
	Unreachable bool
}

// Phase is the lifecycle phase of a target, derived from the state that its
// agent reports and from the VM list. The agent takes precedence.
type Phase int

// The phases of a target.
const (
	// PhaseUnknown means that no message from the agent has arrived yet.
	PhaseUnknown Phase = iota
	// PhaseLive means that the target accepts new work once it is ready.
	PhaseLive
	// PhaseLeaving means that the target completes running work only.
	PhaseLeaving
	// PhaseGone means that the agent's heartbeats timed out, that its address is
	// unreachable or that the address belongs to another VM.
	PhaseGone
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"unknown", "live", "leaving", "gone"}[p]
}

// Phase returns the phase of the member at the given time.
func (m *Member) Phase(now time.Time) Phase {
	switch {
	case m.LastSeen.IsZero() && !m.Unreachable:
		return PhaseUnknown
	case m.Unreachable || now.Sub(m.LastSeen) > m.HeartbeatTimeout:
		return PhaseGone
	case m.State.Draining || m.VM.State != vmlist.VMLive:
		return PhaseLeaving
	}
	return PhaseLive
}

// Usable reports whether the member accepts new work at the given time.
func (m *Member) Usable(now time.Time) bool {
	return m.Phase(now) == PhaseLive && m.State.Ready
}

// Replaced reports whether the agent runs as another incarnation than the given
// one. It returns false if the heartbeat timeout has passed.
func (m *Member) Replaced(incarnation string, now time.Time) bool {
	inContact := m.State.Incarnation != "" && now.Sub(m.LastSeen) <= m.HeartbeatTimeout
	return inContact && m.State.Incarnation != incarnation
}

// Snapshot is an immutable snapshot of the targets.
type Snapshot struct {
	// Members are the targets of this process's subset, sorted by VM name.
	Members []Member
	byVM    map[string]int
	// listed maps VM names to all listed targets; snapshots share the map.
	listed map[string]vmlist.VM
}

// Find returns the named target, or nil if there is none. For a target outside
// the subset only the VM is set.
func (v *Snapshot) Find(vm string) *Member {
	if i, ok := v.byVM[vm]; ok {
		return &v.Members[i]
	}
	if listed, ok := v.listed[vm]; ok {
		return &Member{VM: listed}
	}
	return nil
}

// Complete reports whether the subset has targets and none of them is in
// PhaseUnknown.
func (v *Snapshot) Complete(now time.Time) bool {
	for i := range v.Members {
		if v.Members[i].Phase(now) == PhaseUnknown {
			return false
		}
	}
	return len(v.Members) > 0
}
