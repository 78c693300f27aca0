package decision

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against one stream whose first event was delayed by something else, and that makes a
// gateway take all engines for slow.
func TestOneSlowFirstEventBarelyChangesThePace(t *testing.T) {
	convey.Convey("The pace stays near 1 after one first event of 10 s", t, func() {
		var p PrefillPace
		for range 200 {
			p.Observe(300*time.Millisecond, 300*time.Millisecond)
		}
		p.Observe(300*time.Millisecond, 10*time.Second)
		convey.So(p.Factor(), convey.ShouldBeLessThan, 1.2)
		for range 100 {
			p.Observe(300*time.Millisecond, 750*time.Millisecond)
		}
		convey.So(p.Factor(), convey.ShouldAlmostEqual, 2.5, 0.05)
	})
}

// Guards against engines that cannot be used and that hide the overload of the others, or
// look overloaded themselves.
func TestUnreachableTargetsDoNotCountForCalm(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		reachable, unreachable PlacementTarget
		calm                   bool
	}{
		{"idle ones do not hide overload", PlacementTarget{Slots: 24, Requests: 20}, PlacementTarget{Slots: 24}, false},
		{"they do not lower the mean backlog", PlacementTarget{Slots: 24, PrefillTokens: 1500}, PlacementTarget{Slots: 24}, false},
		{"full ones do not cancel calm", PlacementTarget{Slots: 24}, PlacementTarget{Slots: 24, Requests: 40, PrefillTokens: 9000}, true},
	} {
		convey.Convey("Unreachable engines: "+tt.name, t, func() {
			tt.unreachable.Unreachable = true
			w := AdmissionWork{PlacementWork: PlacementWork{PromptTokens: 2200}, Objective: 1500 * time.Millisecond, Patience: 6 * time.Second, Limit: 6 * time.Second}
			a := Admit(&w, []PlacementTarget{tt.reachable, tt.unreachable, tt.unreachable}, QueueAhead{})
			convey.So(a.Calm, convey.ShouldEqual, tt.calm)
		})
	}
}
