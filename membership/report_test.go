package membership

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// TestReplyMakesTargetUsable guards against a target that stays in PhaseGone
// although its agent replies to an attempt or call, and against a reply of another
// incarnation that makes the target usable.
func TestReplyMakesTargetUsable(t *testing.T) {
	for _, c := range []struct {
		incarnation string
		usable      bool
	}{{"first", false}, {"second", true}} {
		tr := New(Options{})
		tr.members["target-0"] = &member{Member: Member{
			VM:       vmlist.VM{Name: "target-0", State: vmlist.VMLive},
			State:    peer.State{VM: "target-0", Incarnation: "second", Ready: true},
			LastSeen: time.Now().Add(-time.Hour), HeartbeatTimeout: decision.MinHeartbeatTimeout, Unreachable: true,
		}}
		tr.applyReport(context.Background(), report{vm: "target-0", incarnation: c.incarnation, at: time.Now()})
		if got := tr.members["target-0"].Usable(time.Now()); got != c.usable {
			t.Errorf("usable %v after a reply of the %s incarnation", got, c.incarnation)
		}
	}
}

// TestReplyMarksTargetAsDraining guards against new work for a target whose agent has
// stated in a reply that it drains, until its next heartbeat, and against a target that
// stays out because such a reply arrives after the end of the drain.
func TestReplyMarksTargetAsDraining(t *testing.T) {
	f := newFakeFleet(1, 0, "m")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tr := New(Options{Peers: f})
	vm := f.vms[0]
	m := &member{Member: Member{VM: vm, State: f.agents[vm.Addr], LastSeen: time.Now(), HeartbeatTimeout: decision.MinHeartbeatTimeout}, stopHeartbeats: func() {}}
	tr.members[vm.Name] = m
	if !m.Usable(time.Now()) {
		t.Fatal("the target is not usable before the reply")
	}
	tr.applyReport(ctx, report{vm: vm.Name, incarnation: "first", load: peer.Load{Draining: true}, at: time.Now()})
	if m.Usable(time.Now()) || tr.Snapshot().Find(vm.Name).Usable(time.Now()) {
		t.Error("the target is usable after its agent has stated that it drains")
	}
	answer := <-tr.heartbeats
	answer.at = time.Now()
	tr.applyHeartbeat(ctx, answer)
	if !m.Usable(time.Now()) {
		t.Error("the target is not usable although its agent states that it does not drain")
	}
}
