package decision

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against urgent streams without any room that keep other streams from searching the
// targets that have room for these.
func TestStreamsWithoutRoomLeaveTheirSearchPlaces(t *testing.T) {
	convey.Convey("Eight streams that found no room do not keep a ninth from searching", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var q WaitQueue
		add := func(priority int) *WaitingStream {
			s := &WaitingStream{Priority: priority, ArrivedAt: now, TightAt: now.Add(time.Second), LateAt: now.Add(time.Second), PromptTokens: 100}
			q.Add(s, now)
			return s
		}
		urgent := make([]*WaitingStream, MaxSearching)
		for i := range urgent {
			urgent[i] = add(0)
		}
		held := add(1)
		convey.So(q.Ahead(held, 1, now).Ahead, convey.ShouldEqual, MaxSearching)
		for _, s := range urgent {
			q.SetNoRoom(s, true)
		}
		ahead := q.Ahead(held, 1, now.Add(sortPeriod))
		convey.So(ahead.Ahead, convey.ShouldEqual, 0)
		convey.So(ahead.OnTime, convey.ShouldEqual, MaxSearching)
		convey.So(ahead.Tokens, convey.ShouldEqual, 100*MaxSearching)
	})
}

// Guards against forecasts that count the streams of other regions, or all streams of the
// service against the engines of one region.
func TestOnlyCompetingStreamsOfOtherQueuesCount(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name     string
		own      int
		targets  SharedTargets
		expected int
	}{
		{"no common target", 500, SharedTargets{Own: 10, Other: 10}, 500},
		{"the other queue may use three times as many targets", 0, SharedTargets{Own: 10, Other: 30, Both: 10}, 400},
		{"the same targets", 500, SharedTargets{Own: 10, Other: 10, Both: 10}, 1700},
		{"free targets elsewhere", 0, SharedTargets{Own: 30, Other: 10, Both: 10}, 0},
		{"the work ahead fills the targets elsewhere", 1500, SharedTargets{Own: 30, Other: 10, Both: 10}, 2250},
	} {
		convey.Convey("Tokens ahead: "+tt.name, t, func() {
			var other WaitQueue
			for range 12 {
				other.Add(&WaitingStream{ArrivedAt: now, TightAt: now.Add(time.Second), LateAt: now.Add(time.Second), PromptTokens: 100}, now)
			}
			s := &WaitingStream{ArrivedAt: now.Add(time.Millisecond), TightAt: now.Add(time.Second), LateAt: now.Add(time.Second)}
			earlier := &WaitingStream{ArrivedAt: now.Add(-time.Millisecond), TightAt: now.Add(time.Second), LateAt: now.Add(time.Second)}
			convey.So(other.TokensBefore(s, now), convey.ShouldEqual, 1200)
			convey.So(other.TokensBefore(earlier, now), convey.ShouldEqual, 0)
			ahead := QueueAhead{Tokens: tt.own}
			ahead.AddCompeting(other.TokensBefore(s, now), tt.targets)
			convey.So(ahead.Tokens, convey.ShouldEqual, tt.expected)
		})
	}
}
