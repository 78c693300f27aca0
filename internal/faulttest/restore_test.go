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

// TestLostClaimOfALostTarget guards against work that runs a second time when all that knew of
// the first is gone: the store has lost the claim, the entry that made it and the agent that
// ran the call have ended. The call must be refused without a claim that it did not run.
func TestLostClaimOfALostTarget(t *testing.T) {
	const key = "all gone"
	f := startFleet(t, fleetOptions{plainServices: 2, entries: 2, plainDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	copied := f.store.Copy()
	if reply := deposit(ctx, f.entries[0].addr, key); !reply.succeeded() {
		t.Fatalf("first call: %+v", reply)
	}
	f.entries[0].kill()
	f.store.Restore(copied, standin.RestoreOptions{NewCluster: true})
	eventually(t, responseTimeout, "the other entry knows of the restore", func() bool {
		return len(f.entries[1].grepLog("store restored")) > 0
	})
	for _, tg := range f.targets {
		if len(tg.plainService.Effects()) > 0 {
			tg.agent.kill()
			tg.agent.restart()
		}
	}
	for range 10 {
		reply := deposit(ctx, f.entries[1].addr, key)
		if reply.succeeded() || reply.reportsNotRun() {
			t.Errorf("a call whose outcome nobody knows was answered with %+v", reply)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if n := f.effectCount(key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}
