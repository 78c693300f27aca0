package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/registry"
)

// hangLimit only ends a test that hangs.
const hangLimit = 20 * time.Second

// oneTarget returns a list of targets with one in it.
func oneTarget(t *testing.T) (*registry.Keeper, *registry.Target) {
	t.Helper()
	decode := func(key string, _ []byte) (registry.Record, error) {
		return registry.Record{ID: key, Service: "engines", Born: 1}, nil
	}
	k := registry.NewKeeper(decode, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	k.Reset([]kvstore.KV{{Key: "holder"}}, 1)
	for end := time.Now().Add(hangLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, target := range k.View().All() {
			return k, target
		}
	}
	t.Fatal("the target is not listed")
	return nil, nil
}

func TestBackupWhoseHolderLeaves(t *testing.T) {
	keeper, holder := oneTarget(t)
	g := &guard{leg: &leg{backup: holder, began: time.Now().Add(-2 * youngRun)}}
	convey.Convey("A backup that stays is relied on", t, func() {
		convey.So(g.holds(context.Background(), 0), convey.ShouldBeTrue)
	})
	convey.Convey("Once its holder leaves too, the run does not wait for the planned switch", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
		defer cancel()
		relied := make(chan bool, 1)
		go func() { relied <- g.holds(ctx, time.Hour) }()
		keeper.Leaving(holder.ID, holder.Born, "drains")
		convey.So(<-relied, convey.ShouldBeFalse)
		convey.So(ctx.Err(), convey.ShouldBeNil)
	})
}
