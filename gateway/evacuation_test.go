package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// TestEvacuationsAfterARestore guards against work in an evacuated data centre because a restore
// of the store has lost the evacuation before the operator has written it again, and against an
// evacuation that stays for ever.
func TestEvacuationsAfterARestore(t *testing.T) {
	convey.Convey("An evacuation that is missing after a restore is kept for a while", t, func() {
		e := newEvacuations("evacuate/", map[string]string{"a": "north", "b": "north"}, log.NewNopLogger())
		key := func(datacentre string, revision int64) kvstore.KV {
			return kvstore.KV{Key: "evacuate/" + datacentre, ModRevision: revision}
		}
		e.Reset([]kvstore.KV{key("a", 7), key("b", 3)}, kvstore.Position{Era: 1, Revision: 9})
		e.Reset([]kvstore.KV{key("b", 3)}, kvstore.Position{Era: 2, Revision: 5})
		convey.So([]bool{e.includes("a"), e.includes("b")}, convey.ShouldResemble, []bool{true, true})
		convey.So(e.count(), convey.ShouldEqual, 2)
		convey.Convey("also in a further list, but not after its time", func() {
			e.Reset([]kvstore.KV{key("b", 3)}, kvstore.Position{Era: 2, Revision: 6})
			convey.So(e.includes("a"), convey.ShouldBeTrue)
			(*e.current.Load())["a"] = evacuation{revision: 7, until: time.Now().Add(-time.Millisecond)}
			convey.So(e.includes("a"), convey.ShouldBeFalse)
			convey.So(e.count(), convey.ShouldEqual, 1)
			e.Reset([]kvstore.KV{key("b", 3)}, kvstore.Position{Era: 2, Revision: 7})
			convey.So(e.includes("a"), convey.ShouldBeFalse)
		})
		convey.Convey("and for longer after another restore", func() {
			first := (*e.current.Load())["a"].until
			e.Reset([]kvstore.KV{key("b", 3)}, kvstore.Position{Era: 3, Revision: 5})
			convey.So((*e.current.Load())["a"].until.After(first), convey.ShouldBeTrue)
		})
		convey.Convey("until the operator ends it", func() {
			e.Apply(kvstore.WatchBatch{Era: 2, Revision: 6, Events: []kvstore.Event{{KV: key("a", 6), Deleted: true}}})
			convey.So(e.includes("a"), convey.ShouldBeFalse)
		})
		convey.Convey("and for ever once the operator has written it again", func() {
			e.Apply(kvstore.WatchBatch{Era: 2, Revision: 6, Events: []kvstore.Event{{KV: key("a", 6)}}})
			convey.So((*e.current.Load())["a"].until.IsZero(), convey.ShouldBeTrue)
		})
	})
	convey.Convey("An evacuation that had ended is not in force because its key is back", t, func() {
		e := newEvacuations("evacuate/", map[string]string{"a": "north"}, log.NewNopLogger())
		key := kvstore.KV{Key: "evacuate/a", ModRevision: 7}
		e.Reset([]kvstore.KV{key}, kvstore.Position{Era: 1, Revision: 9})
		e.Apply(kvstore.WatchBatch{Era: 1, Revision: 12, Events: []kvstore.Event{{KV: kvstore.KV{Key: key.Key, ModRevision: 12}, Deleted: true}}})
		e.Reset([]kvstore.KV{key}, kvstore.Position{Era: 2, Revision: 9})
		convey.So(e.includes("a"), convey.ShouldBeFalse)
		convey.So((*e.current.Load())["a"].isInForce(time.Now().Add(kvstore.RecoveryGrace)), convey.ShouldBeTrue)
		key.ModRevision = 10
		e.Apply(kvstore.WatchBatch{Era: 2, Revision: 10, Events: []kvstore.Event{{KV: key}}})
		convey.So(e.includes("a"), convey.ShouldBeTrue)
	})
	convey.Convey("Without a restore, an evacuation that is missing has ended", t, func() {
		e := newEvacuations("evacuate/", map[string]string{"a": "north"}, log.NewNopLogger())
		e.Reset([]kvstore.KV{{Key: "evacuate/a", ModRevision: 7}}, kvstore.Position{Era: 1, Revision: 9})
		e.Reset(nil, kvstore.Position{Era: 1, Revision: 10})
		convey.So(e.includes("a"), convey.ShouldBeFalse)
	})
}
