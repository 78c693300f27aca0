package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Guards against an entry that is read again and makes a target cold anew, and against a
// later entry whose cold time counts from the target's first one.
func TestColdTimeOfAnEntry(t *testing.T) {
	k, now := newTestKeeper(t)
	start := *now
	decodeRecord := k.decode
	warmUp := 10 * time.Second
	k.decode = func(key string, value []byte) (Record, error) {
		r, err := decodeRecord(key, value)
		r.WarmUp = warmUp
		return r, err
	}
	read := func(revision int64, at time.Duration) time.Duration {
		k.updates <- func() { *now = start.Add(at) }
		k.Reset([]kvstore.KV{{Key: "a", Value: []byte("s,ready,1"), ModRevision: revision}}, kvstore.Position{Revision: revision})
		k.flush()
		return k.Snapshot().Target("a").ColdUntil(start).Sub(start)
	}
	convey.Convey("The cold time counts from the first reading of each version of the entry", t, func() {
		convey.So(read(1, 0), convey.ShouldEqual, 10*time.Second)
		convey.So(read(1, 5*time.Second), convey.ShouldEqual, 10*time.Second)
		convey.So(read(2, 60*time.Second), convey.ShouldEqual, 70*time.Second)
	})
	convey.Convey("The recent word of a sidecar takes precedence", t, func() {
		target := k.Snapshot().Target("a")
		target.Load.SetCold(start.Add(time.Minute), 0)
		convey.So(target.ColdUntil(start.Add(time.Minute)).After(start.Add(time.Minute)), convey.ShouldBeFalse)
	})
}

// Guards against an entry that is deleted and registered again and lets this process use
// its share of the target's rate twice within the span.
func TestShareSurvivesAnEntryThatIsRegisteredAgain(t *testing.T) {
	k, now := newTestKeeper(t)
	start := *now
	put := func(value string, revision int64) *Load {
		k.Reset([]kvstore.KV{{Key: "a", Value: []byte(value), ModRevision: revision}}, kvstore.Position{Revision: revision})
		k.flush()
		return k.Snapshot().Target("a").Load
	}
	remove := func(revision int64) {
		k.Reset(nil, kvstore.Position{Revision: revision})
		k.flush()
	}
	convey.Convey("The share stays used for the same incarnation", t, func() {
		convey.So(put("s,ready,1", 1).TakeColdShare(start, 1), convey.ShouldBeTrue)
		remove(2)
		load := put("s,ready,1", 3)
		convey.So(load.TakeColdShare(start, 1), convey.ShouldBeFalse)
		convey.So(load.TakeColdShare(start.Add(2*time.Second), 1), convey.ShouldBeTrue)
	})
	convey.Convey("Another incarnation begins with an unused share", t, func() {
		remove(4)
		convey.So(put("s,ready,xx", 5).TakeColdShare(start.Add(2*time.Second), 1), convey.ShouldBeTrue)
	})
	convey.Convey("Sends beyond the share count", t, func() {
		later := start.Add(time.Minute)
		load := k.Snapshot().Target("a").Load
		load.CountColdSend(later)
		convey.So(load.TakeColdShare(later, 1), convey.ShouldBeFalse)
	})
}
