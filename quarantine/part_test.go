package quarantine_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/quarantine"
)

// quarantineCrashes is the number of crashes after which a part is quarantined.
const quarantineCrashes = 3

func isQuarantined(k *quarantine.PartKeeper, part string) bool {
	_, _, ok := k.Quarantined([]string{"other", part})
	return ok
}

// TestPartEvidenceIsShared guards against processes that let a part crash targets which
// another process already quarantined: while the store is away, and after a restart.
func TestPartEvidenceIsShared(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStore(store.Addr(), &http.Client{}, log.NewNopLogger(), time.Second, 100*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	Convey("Evidence reaches another process in messages, and a new one through the store", t, func() {
		store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true})
		var b *quarantine.PartKeeper
		a := quarantine.NewPartKeeper(client, log.NewNopLogger(), func(e []decision.PartEvidence) { b.Merge(e...) })
		b = quarantine.NewPartKeeper(client, log.NewNopLogger(), func(e []decision.PartEvidence) { a.Merge(e...) })
		done.Go(func() { _ = a.Serve(ctx) })
		quarantined := make(chan struct{}, 1)
		waiting := b.Watch([]string{"bad"}, func() { quarantined <- struct{}{} })
		for i, k := range []*quarantine.PartKeeper{a, b, a} {
			So(isQuarantined(b, "bad"), ShouldBeFalse)
			k.RecordCrash(string(rune('1'+i)), []string{"bad"})
		}
		So(isQuarantined(a, "bad"), ShouldBeTrue)
		So(isQuarantined(b, "bad"), ShouldBeTrue)
		So(quarantined, ShouldHaveLength, 1)
		b.Unwatch(waiting)
		store.SetFaults(platformtest.StoreFaults{})
		restarted := quarantine.NewPartKeeper(client, log.NewNopLogger(), func([]decision.PartEvidence) {})
		done.Go(func() { kvstore.Follow(ctx, client, quarantine.PartPrefix, restarted) })
		for end := time.Now().Add(20 * time.Second); !isQuarantined(restarted, "bad") && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		So(isQuarantined(restarted, "bad"), ShouldBeTrue)
	})
}

// TestOneProcessGetsTheTrial guards against a trial of a quarantined part in each process, which
// crashes a target each, and against a wrong verdict that stays because the only trial had
// no result.
func TestOneProcessGetsTheTrial(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStore(store.Addr(), &http.Client{}, log.NewNopLogger(), time.Second, 100*time.Millisecond)
	ctx := context.Background()
	now := time.Now().UnixMilli()
	Convey("One of several processes gets the trial when it is due, and none without the store", t, func() {
		trials := func(crashMillis int64) int {
			won := 0
			for range 5 {
				k := quarantine.NewPartKeeper(client, log.NewNopLogger(), func([]decision.PartEvidence) {})
				for range 3 {
					if k.ClaimTrial(ctx, "bad", decision.QuarantinedPart{Crashes: quarantineCrashes, LastCrashMillis: crashMillis}) {
						won++
					}
				}
			}
			return won
		}
		So(trials(now), ShouldEqual, 0)
		So(trials(now-60_000), ShouldEqual, 1)
		So(trials(now-60_000), ShouldEqual, 0)
		first, ok := decision.QuarantinedPart{Crashes: quarantineCrashes, LastCrashMillis: now}.Trial(time.UnixMilli(now).Add(5 * time.Second))
		So(ok, ShouldBeTrue)
		later, ok := decision.QuarantinedPart{Crashes: quarantineCrashes, LastCrashMillis: now}.Trial(time.UnixMilli(now).Add(30 * time.Second))
		So(ok, ShouldBeTrue)
		So(later, ShouldBeGreaterThan, first)
		store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true})
		So(trials(now-50_000), ShouldEqual, 0)
	})
}

// TestMalformedMarkBlocksNoOther guards against a value under the key of a mark that is no
// mark: it blocked all later writes of the process, and the list of all marks.
func TestMalformedMarkBlocksNoOther(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStore(store.Addr(), &http.Client{}, log.NewNopLogger(), time.Second, 100*time.Millisecond)
	Convey("The malformed value is replaced, and the list leaves out others", t, func() {
		ctx := context.Background()
		now := time.Now()
		store.Put(quarantine.Prefix+"f", []byte(`{"deaths":7`))
		store.Put(quarantine.Prefix+"junk", []byte(`[1e400]`))
		mark := quarantine.Mark{Fingerprint: "f", Crashes: map[string]int64{"c": now.UnixMilli()}}
		So(quarantine.Put(ctx, client, mark), ShouldBeNil)
		marks, err := quarantine.List(ctx, client, now)
		So(err, ShouldBeNil)
		So(marks, ShouldResemble, []quarantine.Mark{mark})
	})
}
