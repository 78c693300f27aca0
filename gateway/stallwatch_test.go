package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStopCountsFromAStallBeforeIt guards against a stop that counts its time from the end of a stall
// in which its signal came: it takes requests too late, and the process is killed before its end.
func TestStopCountsFromAStallBeforeIt(t *testing.T) {
	const limit = defaultStopLimit - stopMargin
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	Convey("A stop counts from the begin of a stall that has just ended, within a bound", t, func() {
		longest := limit/6 - stopAnswerTime - stopMargin
		for _, c := range []struct {
			checks []int
			now    int
			limit  time.Duration
			want   time.Duration
		}{
			{nil, 0, limit, 0},
			{[]int{0, 50, 100}, 120, limit, 0},
			{[]int{0, 50, 170, 290}, 400, limit, 0},
			{[]int{0, 50}, 550, limit, 500 * time.Millisecond},
			{[]int{0, 50, 550}, 560, limit, 510 * time.Millisecond},
			{[]int{0, 50, 550, 600, 650, 700}, 750, limit, 0},
			{[]int{0, 50}, 5000, limit, longest},
			{[]int{0, 50}, 550, time.Second, 0},
			{[]int{0, 50}, 550, 0, 0},
		} {
			w := &stallWatch{}
			for _, ms := range c.checks {
				w.check(at(ms))
			}
			got := at(c.now).Sub(w.signalTime(at(c.now), c.limit))
			So(got, ShouldAlmostEqual, c.want, time.Microsecond)
		}
	})
}
