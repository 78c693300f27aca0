package feed

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Guards against a gateway that takes a share while others do not know it: before its
// registration has reached them, or after its lease may have ended.
func TestSettledMembership(t *testing.T) {
	r := NewMemberRegistry(Member{Name: "a"}, nil, log.NewNopLogger())
	entry := func(name string) kvstore.KV {
		return kvstore.KV{Key: MemberPrefix + name, Value: []byte(`{"name":"` + name + `","region":"r","addr":"127.0.0.1:1"}`)}
	}
	settled := func(after time.Duration) bool {
		_, ok := r.Settled(time.Now().Add(after))
		return ok
	}
	convey.Convey("A process settles some time after it is listed, and only while it renews its lease", t, func() {
		r.markRenewed(time.Now())
		r.Reset([]kvstore.KV{entry("b")}, kvstore.Position{Revision: 1})
		convey.So(settled(settleTime), convey.ShouldBeFalse)
		r.Reset([]kvstore.KV{entry("a"), entry("b")}, kvstore.Position{Revision: 2})
		convey.So(settled(0), convey.ShouldBeFalse)
		convey.So(settled(settleTime), convey.ShouldBeTrue)
		convey.So(settled(maxRenewalAge+time.Second), convey.ShouldBeFalse)
		convey.So(maxRenewalAge, convey.ShouldBeLessThan, leaseTTL)
	})
	convey.Convey("A process that is no longer listed starts anew", t, func() {
		r.Apply(kvstore.WatchBatch{Events: []kvstore.Event{{KV: entry("a"), Deleted: true}}})
		convey.So(settled(settleTime), convey.ShouldBeFalse)
	})
}
