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

// Parameters of TestAtMostOnceUnderMixedFaults. Each of mixKeys keys is used by
// mixCallers concurrent callers, each of which sends the call up to mixAttempts times,
// until it succeeds. The callers of the next key start after mixInterval. mixSeed is
// the seed of the faults.
const (
	mixSeed     = 4
	mixKeys     = 150
	mixCallers  = 2
	mixAttempts = 12
	mixInterval = 60 * time.Millisecond
)

// TestAtMostOnceUnderMixedFaults repeats calls with callers' keys and issued keys
// through all entries. Meanwhile seeded faults kill and pause processes, break
// links, make the store unavailable or slow and drop its replies. Combinations of
// faults must not make a call run twice or make a response report "not run" for a
// call that ran. The services' effect logs show how often each call ran.
func TestAtMostOnceUnderMixedFaults(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 3, entries: 3, plainDelay: 150 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*responseTimeout)
	defer cancel()
	stop := make(chan struct{})
	var faults, calls sync.WaitGroup
	faults.Go(func() { f.injectMixedFaults(stop) })
	allReplies := make([][]callReply, mixKeys*mixCallers)
	keys := make([]string, mixKeys)
	for i := range keys {
		keys[i] = f.newMixKey(ctx, i)
		for c := range mixCallers {
			calls.Go(func() { allReplies[i*mixCallers+c] = f.retryDeposit(ctx, i+c, keys[i], mixAttempts) })
		}
		time.Sleep(mixInterval)
	}
	calls.Wait()
	close(stop)
	faults.Wait()
	answered, unanswered, attempts := 0, 0, 0
	for i, key := range keys {
		replies := make([]callReply, 0, mixCallers*mixAttempts)
		for c := range mixCallers {
			replies = append(replies, allReplies[i*mixCallers+c]...)
		}
		attempts += len(replies)
		if checkAtMostOnce(t, key, f.effectCount(key), replies) {
			answered++
		} else {
			unanswered++
		}
	}
	t.Logf("seed %d: %d keys, %d attempts, %d keys answered, %d without a successful response after %d attempts by each of %d callers",
		mixSeed, mixKeys, attempts, answered, unanswered, mixAttempts, mixCallers)
	if answered == 0 {
		t.Error("no call succeeded")
	}
}

// newMixKey returns an issued key for every third index, if an entry issues one, and
// a key chosen by the caller otherwise.
func (f *fleet) newMixKey(ctx context.Context, keyIndex int) string {
	if keyIndex%3 == 0 {
		if key := issueKey(ctx, f.entries[keyIndex%len(f.entries)].addr); key != "" {
			return key
		}
	}
	return fmt.Sprintf("mix-%d", keyIndex)
}

// checkAtMostOnce checks the replies for one key against the number of times that
// its call ran. It reports whether a caller received a successful response.
func checkAtMostOnce(t *testing.T, key string, effects int, replies []callReply) bool {
	t.Helper()
	if effects > 1 {
		t.Errorf("key %s: call ran %d times", key, effects)
	}
	body := ""
	allReportNotRun := true
	for _, reply := range replies {
		if reply.succeeded() && body != "" && reply.body != body {
			t.Errorf("key %s: different responses %q and %q", key, body, reply.body)
		}
		if reply.succeeded() {
			body = reply.body
		}
		allReportNotRun = allReportNotRun && reply.reportsNotRun()
		if reply.hadEffect && reply.reportsNotRun() {
			t.Errorf("key %s: call had run before, but the response reports \"not run\": %v", key, reply.failure)
		}
	}
	if body != "" && effects != 1 {
		t.Errorf("key %s: call succeeded, but ran %d times", key, effects)
	}
	if allReportNotRun && effects != 0 {
		t.Errorf("key %s: every response reports \"not run\", but the call ran", key)
	}
	return body != ""
}

// injectMixedFaults injects faults into entries, targets and the store concurrently,
// until stop is closed. It spares the first entry and the first target, so that some
// calls can succeed at any time.
func (f *fleet) injectMixedFaults(stop <-chan struct{}) {
	var injectors sync.WaitGroup
	for injectorIndex, inject := range []func(*rand.Rand, time.Duration){f.injectEntryFault, f.injectTargetFault, f.injectStoreFault} {
		injectors.Go(func() {
			rng := rand.New(rand.NewPCG(mixSeed, uint64(injectorIndex)))
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rng.IntN(150)) * time.Millisecond):
					inject(rng, time.Duration(50+rng.IntN(500))*time.Millisecond)
				}
			}
		})
	}
	injectors.Wait()
}

func (f *fleet) injectEntryFault(rng *rand.Rand, duration time.Duration) {
	entry := f.entries[1+rng.IntN(len(f.entries)-1)]
	if rng.IntN(2) == 0 {
		entry.pause()
		time.Sleep(2 * duration)
		entry.resume()
		return
	}
	entry.kill()
	entry.restart()
}

func (f *fleet) injectTargetFault(rng *rand.Rand, duration time.Duration) {
	tg := f.targets[1+rng.IntN(len(f.targets)-1)]
	switch rng.IntN(3) {
	case 0:
		tg.agent.pause()
		time.Sleep(2 * duration)
		tg.agent.resume()
	case 1:
		tg.agent.kill()
		tg.agent.restart()
	case 2:
		tg.inbound.disconnect()
		time.Sleep(duration)
		tg.inbound.restore()
	}
}

func (f *fleet) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	faults := []standin.StoreFaults{
		{AbortCalls: true}, {DropReplies: 1 + rng.IntN(3)}, {DelayMillis: int64(50 + rng.IntN(400))},
	}
	choice := rng.IntN(len(faults) + 1)
	if choice == len(faults) {
		f.storeProxy.disconnect()
		time.Sleep(duration)
		f.storeProxy.restore()
		return
	}
	f.store.SetFaults(faults[choice])
	time.Sleep(duration)
	f.store.SetFaults(standin.StoreFaults{})
}
