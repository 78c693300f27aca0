package membership

import (
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Member is a target VM and the state that its agent last reported.
type Member struct {
	VM    vmlist.VM
	State peer.State
	// LastSeen is when the agent last sent a heartbeat or a reply; zero if it never
	// did.
	LastSeen time.Time
	// HeartbeatTimeout is the time without a message from the agent after which the
	// member is assumed to be gone.
	HeartbeatTimeout time.Duration
	// Unreachable is set when a heartbeat stream ends without a heartbeat or its
	// address belongs to another VM. The next message from the agent clears it.
	Unreachable bool
}

// Phase is the lifecycle phase of a target. Only contact with the agent decides
// whether the target is gone, not the VM list; the agent's state and the VM list
// can each make it leaving.
type Phase int

// The phases of a target.
const (
	// PhaseUnknown means that no message from the agent has arrived yet and the
	// agent is not known to be unreachable.
	PhaseUnknown Phase = iota
	// PhaseLive means that the target accepts new work once it is ready.
	PhaseLive
	// PhaseLeaving means that the target completes running work only.
	PhaseLeaving
	// PhaseGone means that the heartbeat timeout has passed or that Unreachable is
	// set.
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
	case m.isDraining() || m.VM.State != vmlist.VMLive:
		return PhaseLeaving
	}
	return PhaseLive
}

// isDraining reports whether the agent has stated that it drains, in its state or in a
// reply.
func (m *Member) isDraining() bool { return m.State.Draining || m.State.Load.Draining }

// Usable reports whether the member accepts new work at the given time.
func (m *Member) Usable(now time.Time) bool {
	return m.Phase(now) == PhaseLive && m.State.Ready
}

// Replaced reports whether the agent runs as another incarnation than the given
// one. It returns false if the heartbeat timeout has passed or no state was
// received.
func (m *Member) Replaced(incarnation string, now time.Time) bool {
	inContact := m.State.Incarnation != "" && now.Sub(m.LastSeen) <= m.HeartbeatTimeout
	return inContact && m.State.Incarnation != incarnation
}

// Snapshot is an immutable copy of the targets' state.
type Snapshot struct {
	// Members are the targets of this process's subset, sorted by VM name.
	Members []Member
	// byVM maps VM names to indexes in Members.
	byVM map[string]int
	// listed maps VM names to all targets of the VM list and those delisted targets
	// that are still kept. Snapshots share the map.
	listed map[string]vmlist.VM
}

// Find returns the target on the named VM, or nil if there is none. For a target
// outside the subset only the VM field is set.
func (s *Snapshot) Find(vm string) *Member {
	if i, ok := s.byVM[vm]; ok {
		return &s.Members[i]
	}
	if listed, ok := s.listed[vm]; ok {
		return &Member{VM: listed}
	}
	return nil
}

// Complete reports whether the subset has targets and none of them is in
// PhaseUnknown.
func (s *Snapshot) Complete(now time.Time) bool {
	for i := range s.Members {
		if s.Members[i].Phase(now) == PhaseUnknown {
			return false
		}
	}
	return len(s.Members) > 0
}
