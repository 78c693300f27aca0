package feed

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// TestWatchVerifier guards against a watch that goes on without the changes or without responses
// while the store answers reads, and against lists because of a watch that is only slow.
func TestWatchVerifier(t *testing.T) {
	start := time.Unix(1000, 0)
	position := func(revision int64) kvstore.Position { return kvstore.Position{Era: 1, Revision: revision} }
	tests := []struct {
		name         string
		failedBefore bool
		watched      int64
		// read is the position that a read returns at the start, which took this long.
		read    kvstore.Position
		took    time.Duration
		reached int64
		after   time.Duration
		missing bool
	}{
		{"no change", false, 5, position(5), 0, 5, time.Minute, false},
		{"a change that the watch has reached", false, 5, position(6), 0, 6, time.Minute, false},
		{"a change that it has not reached yet", false, 5, position(6), 0, 5, maxUnseen, false},
		{"a change that it should have reached", false, 5, position(6), 0, 5, maxUnseen + 1, true},
		{"a read before the watch", false, 5, position(4), 0, 5, time.Minute, false},
		{"a slow link", false, 5, position(6), time.Second, 5, maxUnseen + 2*time.Second, false},
		{"a link that is slow for too long", false, 5, position(6), time.Second, 5, maxUnseen + 2*time.Second + 1, true},
		{"a change after a watch without responses", true, 5, position(6), 0, 5, time.Millisecond, true},
		{"no change after a watch without responses", true, 5, position(5), 0, 5, time.Minute, false},
		{"a later era", false, 5, kvstore.Position{Era: 2, Revision: 1}, 0, 9, maxUnseen + 1, true},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			v := watchVerifier{failedBefore: tt.failedBefore}
			v.read(positionRead{position: tt.read, startedAt: start, took: tt.took}, position(tt.watched))
			v.read(positionRead{position: position(100), startedAt: start.Add(time.Hour)}, position(100))
			v.reached(position(tt.reached))
			convey.So(v.isMissing(start.Add(tt.after)), convey.ShouldEqual, tt.missing)
		})
	}
}
