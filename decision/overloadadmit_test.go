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
