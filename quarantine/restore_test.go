package quarantine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
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

// hasItem waits for an item of the store whose value contains a text.
func hasItem(store *platformtest.Store, key, text string) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.Contains(string(store.Items(key)[key].Value), text) {
			return true
		}
	}
	return false
}

// TestWrittenMarksOutliveARestore guards against marks and evidence that are gone for processes
// that start later, because the store has been restored from a copy without them.
func TestWrittenMarksOutliveARestore(t *testing.T) {
	store := platformtest.NewStore()
	store.SetEra(1)
	defer store.Close()
	client := platform.NewStore(store.Addr(), &http.Client{}, log.NewNopLogger(), time.Second, 100*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	Convey("Marks and evidence are written again, with leases of the new era", t, func() {
		marks := quarantine.NewKeeper(client, log.NewNopLogger(), true)
		parts := quarantine.NewPartKeeper(client, log.NewNopLogger(), func([]decision.PartEvidence) {})
		done.Go(func() { _ = marks.Serve(ctx) })
		done.Go(func() { _ = parts.Serve(ctx) })
		done.Go(func() { kvstore.Follow(ctx, client, quarantine.PartPrefix, parts) })
		earlier := store.Copy()
		marks.Enqueue(marks.RecordCrash("crash-1", []string{"f"}, time.Now()))
		parts.RecordCrash("crash-1", []string{"p"})
		So(hasItem(store, quarantine.Prefix+"f", "crash-1"), ShouldBeTrue)
		So(hasItem(store, quarantine.PartPrefix+"p", "crash-1"), ShouldBeTrue)
		for i := range 2 {
			store.Restore(earlier)
			So(hasItem(store, quarantine.Prefix+"f", "crash-1"), ShouldBeTrue)
			So(hasItem(store, quarantine.PartPrefix+"p", "crash-1"), ShouldBeTrue)
			So(fmt.Sprint("restores ", i, ", era ", client.Era()), ShouldEqual, fmt.Sprint("restores ", i, ", era ", i+2))
		}
	})
}

// TestTrialIsNotRepeatedAfterARestore guards against a second trial of a quarantined part
// because a restore of the store has lost the claim of the first one.
func TestTrialIsNotRepeatedAfterARestore(t *testing.T) {
	store := platformtest.NewStore()
	store.SetEra(1)
	defer store.Close()
	client := platform.NewStore(store.Addr(), &http.Client{}, log.NewNopLogger(), time.Second, 100*time.Millisecond)
	Convey("A trial that was due before the restore is not claimed after it, also by a process whose state is from before it; a later one is", t, func() {
		ctx := context.Background()
		newKeepers := func() (keepers []*quarantine.PartKeeper) {
			for range 3 {
				k := quarantine.NewPartKeeper(client, log.NewNopLogger(), func([]decision.PartEvidence) {})
				k.Reset(nil, kvstore.Position{Era: 1, Revision: 1})
				keepers = append(keepers, k)
			}
			return keepers
		}
		before, others := newKeepers(), newKeepers()
		part := decision.QuarantinedPart{Crashes: quarantineCrashes, LastCrashMillis: time.Now().Add(-5 * time.Second).UnixMilli()}
		trials := func(keepers []*quarantine.PartKeeper, h decision.QuarantinedPart) int {
			won := 0
			for _, k := range keepers {
				if k.ClaimTrial(ctx, "bad", h) {
					won++
				}
			}
			return won
		}
		_, err := client.Get(ctx, "k")
		So(err, ShouldBeNil)
		earlier := store.Copy()
		So(trials(before, part), ShouldEqual, 1)
		store.Restore(earlier)
		_, err = client.Get(ctx, "k")
		So(err, ShouldBeNil)
		So(trials(newKeepers(), part), ShouldEqual, 0)
		for _, k := range others {
			k.Reset(nil, kvstore.Position{Era: 2, Revision: 1})
		}
		So(trials(others, part), ShouldEqual, 0)
		first, ok := part.TrialAt()
		So(ok, ShouldBeTrue)
		time.Sleep(5 * time.Millisecond)
		part.LastCrashMillis += time.Since(first).Milliseconds()
		So(trials(others, part), ShouldEqual, 1)
	})
}
