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

// hangLimit ends a test that would otherwise hang.
const hangLimit = 20 * time.Second

// newKeeperWithTarget returns a registry.Keeper with one target, and that target.
func newKeeperWithTarget(t *testing.T) (*registry.Keeper, *registry.Target) {
	t.Helper()
	decode := func(key string, _ []byte) (registry.Record, error) {
		return registry.Record{ID: key, Service: "engines", StartMillis: 1}, nil
	}
	keeper := registry.NewKeeper(decode, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = keeper.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	keeper.Reset([]kvstore.KV{{Key: "holder"}}, kvstore.Position{Revision: 1})
	for deadline := time.Now().Add(hangLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, target := range keeper.Snapshot().All() {
			return keeper, target
		}
	}
	t.Fatal("the target was not registered in time")
	return nil, nil
}

// TestMigrationDetectsLeavingBackupTarget guards against a switch to a target that
// stops too: the backup's target may start to leave while the stream waits for its
// switch.
func TestMigrationDetectsLeavingBackupTarget(t *testing.T) {
	keeper, backupTarget := newKeeperWithTarget(t)
	stream := &streamRequest{g: newEligibilityGateway(t), req: &request{}}
	migration := &segmentMigration{stream: stream, segment: &segment{backup: backupTarget, startedAt: time.Now().Add(-2 * minBackupAge)}}
	convey.Convey("A backup whose target stays is reliable", t, func() {
		convey.So(migration.waitForSwitch(context.Background(), 0), convey.ShouldBeTrue)
	})
	convey.Convey("If the target of the backup leaves too, waiting for the switch ends at once", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
		defer cancel()
		reliable := make(chan bool, 1)
		go func() { reliable <- migration.waitForSwitch(ctx, time.Hour) }()
		keeper.MarkLeaving(backupTarget.ID, backupTarget.StartMillis, "drains")
		convey.So(<-reliable, convey.ShouldBeFalse)
		convey.So(ctx.Err(), convey.ShouldBeNil)
	})
}
