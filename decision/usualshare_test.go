package decision

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a map of workspaces that grows without bound, and against load of forgotten
// workspaces that stays in the total and so raises the share of the others.
func TestUsualSharesForgetWorkspaces(t *testing.T) {
	convey.Convey("The workspaces are bounded and the total is their sum", t, func() {
		var u UsualShares
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range 3 * maxWorkspaces {
			now = now.Add(time.Millisecond)
			u.Observe(now, fmt.Sprint(i), 1000)
			u.Observe(now, "regular", 1000)
		}
		convey.So(len(u.byWorkspace), convey.ShouldEqual, maxWorkspaces)
		convey.So(u.byWorkspace, convey.ShouldContainKey, "regular")
		var sum workspaceLoad
		for _, l := range u.byWorkspace {
			l.decay(now)
			sum.recent += l.recent
			sum.usual += l.usual
		}
		convey.So(u.total.recent, convey.ShouldAlmostEqual, sum.recent, 1)
		convey.So(u.total.usual, convey.ShouldAlmostEqual, sum.usual, 1)
	})
}

// BenchmarkUsualShares measures the count of a stream with 4000 workspaces.
func BenchmarkUsualShares(b *testing.B) {
	var u UsualShares
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	names := make([]string, 4000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		u.Observe(now, names[i%len(names)], 2500)
	}
}
