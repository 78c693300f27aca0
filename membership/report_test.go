package membership

import (
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// TestReplyMakesTargetUsable checks that a load report in a reply makes a target
// in PhaseGone usable again, unless the reply is from another incarnation.
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
		tr.applyReport(report{vm: "target-0", incarnation: c.incarnation, at: time.Now()})
		if got := tr.members["target-0"].Usable(time.Now()); got != c.usable {
			t.Errorf("usable %v after a reply of the %s incarnation", got, c.incarnation)
		}
	}
}
