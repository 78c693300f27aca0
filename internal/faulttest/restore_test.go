package faulttest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// TestAtMostOnceThroughARestore guards against calls that run a second time because the store
// lost their claims: it comes back from a copy that is older than the claims, and the callers
// send the same keys again, through all entries. The calls have ended before the restore, or
// run through it.
func TestAtMostOnceThroughARestore(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 3, entries: 3, plainDelay: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*responseTimeout)
	defer cancel()
	const keys = 12
	for _, isEnded := range []bool{true, false} {
		for _, isNew := range []bool{true, false} {
			name := fmt.Sprintf("ended %v, new cluster %v", isEnded, isNew)
			copied := f.store.Copy()
			var first sync.WaitGroup
			key := func(k int) string { return fmt.Sprintf("%s, %d", name, k) }
			for k := range keys {
				first.Go(func() { f.retryDeposit(ctx, k, key(k), 4) })
			}
			if isEnded {
				first.Wait()
			} else {
				for k := range keys {
					for f.effectCount(key(k)) == 0 && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
				}
			}
			f.store.Restore(copied, standin.RestoreOptions{NewCluster: isNew})
			var again sync.WaitGroup
			succeeded := make([]bool, keys)
			for k := range keys {
				again.Go(func() {
					replies := f.retryDeposit(ctx, k+1, key(k), 20)
					succeeded[k] = replies[len(replies)-1].succeeded()
				})
			}
			again.Wait()
			first.Wait()
			answered := 0
			for k := range keys {
				if n := f.effectCount(key(k)); n != 1 {
					t.Errorf("%s: key %d ran %d times", name, k, n)
				}
				if succeeded[k] {
					answered++
				}
			}
			t.Logf("%s: %d of %d repeated calls got the answer", name, answered, keys)
		}
	}
}
