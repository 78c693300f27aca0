package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Sizes of the mixed run.
const (
	mixSeed    = 4
	mixKeys    = 150
	mixCallers = 2
	mixTries   = 12
	mixSpacing = 60 * time.Millisecond
)

// TestOnceMixedFaults repeats calls with both kinds of key through all entries
// while a seeded schedule kills, pauses and cuts processes, the store and its
// replies. The targets' effect logs judge.
func TestOnceMixedFaults(t *testing.T) {
	f := startFleet(t, fleetOptions{plains: 3, entries: 3, plainDelay: 150 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*answerWait)
	defer cancel()
	stop := make(chan struct{})
	var faults, calls sync.WaitGroup
	faults.Go(func() { f.mixFaults(stop) })
	got := make([][]onceReply, mixKeys*mixCallers)
	keys := make([]string, mixKeys)
	for k := range keys {
		keys[k] = f.mixKey(ctx, k)
		for c := range mixCallers {
			calls.Go(func() { got[k*mixCallers+c] = f.insist(ctx, k+c, keys[k], mixTries) })
		}
		time.Sleep(mixSpacing)
	}
	calls.Wait()
	close(stop)
	faults.Wait()
	answered, unknown, tries := 0, 0, 0
	for k, key := range keys {
		replies := make([]onceReply, 0, mixCallers*mixTries)
		for c := range mixCallers {
			replies = append(replies, got[k*mixCallers+c]...)
		}
		tries += len(replies)
		if judgeOnce(t, key, f.effects(key), replies) {
			answered++
		} else {
			unknown++
		}
	}
	t.Logf("seed %d: %d keys, %d tries, %d keys answered, %d without an answer after %d tries by each of %d callers",
		mixSeed, mixKeys, tries, answered, unknown, mixTries, mixCallers)
	if answered == 0 {
		t.Error("no call was answered")
	}
}

// mixKey returns the caller's key, or an issued one for every third call.
func (f *fleet) mixKey(ctx context.Context, k int) string {
	if k%3 == 0 {
		if key := issueKey(ctx, f.entries[k%len(f.entries)].addr); key != "" {
			return key
		}
	}
	return fmt.Sprintf("mix-%d", k)
}

// judgeOnce checks the replies for one key against its effects. It reports
// whether a caller got the answer.
func judgeOnce(t *testing.T, key string, effects int, replies []onceReply) bool {
	t.Helper()
	if effects > 1 {
		t.Errorf("key %s took effect %d times", key, effects)
	}
	text := ""
	allNo := true
	for _, r := range replies {
		if r.ok() && text != "" && r.text != text {
			t.Errorf("key %s was answered %q and %q", key, text, r.text)
		}
		if r.ok() {
			text = r.text
		}
		allNo = allNo && r.saysNotRun()
		if r.had && r.saysNotRun() {
			t.Errorf("key %s had taken effect, but the answer said \"not run\": %v", key, r.failure)
		}
	}
	if text != "" && effects != 1 {
		t.Errorf("key %s was answered, but took effect %d times", key, effects)
	}
	if allNo && effects != 0 {
		t.Errorf("key %s: every answer said \"not run\", but it took effect", key)
	}
	return text != ""
}

// mixFaults brings about failures of entries, targets and the store at once.
// The first entry and target are left alone, so that some calls can succeed at
// any time.
func (f *fleet) mixFaults(stop <-chan struct{}) {
	var kinds sync.WaitGroup
	for i, fault := range []func(*rand.Rand, time.Duration){f.entryFault, f.targetFault, f.storeFault} {
		kinds.Go(func() {
			rnd := rand.New(rand.NewPCG(mixSeed, uint64(i)))
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rnd.IntN(150)) * time.Millisecond):
					fault(rnd, time.Duration(50+rnd.IntN(500))*time.Millisecond)
				}
			}
		})
	}
	kinds.Wait()
}

func (f *fleet) entryFault(rnd *rand.Rand, lasts time.Duration) {
	entry := f.entries[1+rnd.IntN(len(f.entries)-1)]
	if rnd.IntN(2) == 0 {
		entry.pause()
		time.Sleep(2 * lasts)
		entry.resume()
		return
	}
	entry.kill()
	entry.restart()
}

func (f *fleet) targetFault(rnd *rand.Rand, lasts time.Duration) {
	tg := f.targets[1+rnd.IntN(len(f.targets)-1)]
	switch rnd.IntN(3) {
	case 0:
		tg.agent.pause()
		time.Sleep(2 * lasts)
		tg.agent.resume()
	case 1:
		tg.agent.kill()
		tg.agent.restart()
	case 2:
		tg.inbound.cut()
		time.Sleep(lasts)
		tg.inbound.restore()
	}
}

func (f *fleet) storeFault(rnd *rand.Rand, lasts time.Duration) {
	faults := []standin.StoreFaults{
		{Down: true}, {DropReplies: 1 + rnd.IntN(3)}, {DelayMillis: int64(50 + rnd.IntN(400))},
	}
	n := rnd.IntN(len(faults) + 1)
	if n == len(faults) {
		f.storeProxy.cut()
		time.Sleep(lasts)
		f.storeProxy.restore()
		return
	}
	f.store.SetFaults(faults[n])
	time.Sleep(lasts)
	f.store.SetFaults(standin.StoreFaults{})
}
