package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/result"
)

const depositPath = "/s/booking/deposits"

// callReply is the response to one non-idempotent call.
type callReply struct {
	status  int
	body    string
	failure *result.Error
	err     error
	// hadEffect is true if the service had already run the call when this attempt
	// was sent.
	hadEffect bool
}

// reportsNotRun reports whether the reply is an error with "ran: no".
func (r callReply) reportsNotRun() bool { return r.failure != nil && r.failure.Ran == result.RanNo }

func (r callReply) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

// deposit makes a non-idempotent call to a plain service with the idempotency key.
// The body contains the key, so that the effects of different calls can be
// distinguished.
func deposit(ctx context.Context, entryAddr, key string) callReply {
	var reply callReply
	reply.status, reply.body, reply.failure, reply.err = invokeWithKey(ctx, entryAddr, http.MethodPost, depositPath, key, depositBody(key))
	return reply
}

func depositBody(key string) string { return fmt.Sprintf(`{"deposit":%q}`, key) }

// retryDeposit makes a call up to maxAttempts times through the entries in turn
// until it succeeds, and returns all replies.
func (f *fleet) retryDeposit(ctx context.Context, firstEntry int, key string, maxAttempts int) []callReply {
	var replies []callReply
	for i := range maxAttempts {
		hadEffect := f.effectCount(key) > 0
		reply := deposit(ctx, f.entries[(firstEntry+i)%len(f.entries)].addr, key)
		reply.hadEffect = hadEffect
		replies = append(replies, reply)
		if reply.succeeded() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return replies
}

// effectCount returns how often the deposit with a key ran, over all targets.
func (f *fleet) effectCount(key string) int {
	count := 0
	for _, tg := range f.targets {
		if tg.plainService == nil {
			continue
		}
		for _, effect := range tg.plainService.Effects() {
			if effect.Body == depositBody(key) {
				count++
			}
		}
	}
	return count
}

// claimCount returns the number of claims in the store.
func (f *fleet) claimCount() int {
	kvs, _, err := f.storeClient.Range(context.Background(), claim.Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(kvs)
}

// issueKey requests an idempotency key from an entry and returns it, or an empty
// string on failure.
func issueKey(ctx context.Context, entryAddr string) string {
	_, responseBody, _, err := invokeWithKey(ctx, entryAddr, http.MethodPost, "/v1/keys", "", `{"service":"booking"}`)
	var reply struct{ Key string }
	if err != nil || json.Unmarshal([]byte(responseBody), &reply) != nil {
		return ""
	}
	return reply.Key
}

// TestAtMostOnceWithCallerKey makes calls with keys that the callers chose, from
// concurrent callers and while the store fails in different ways. A call would run
// twice if two entries claimed its key, or if an entry dispatched it again after the
// store's reply to its claim was lost. The services' effect logs show how often each
// call ran.
func TestAtMostOnceWithCallerKey(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 3, entries: 3, plainDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*responseTimeout)
	defer cancel()
	Convey("Concurrent callers send the same key through every entry", t, func() {
		for k := range 10 {
			key := fmt.Sprintf("concurrent-%d", k)
			replies := make([]callReply, 6)
			var wg sync.WaitGroup
			for i := range replies {
				wg.Go(func() { replies[i] = deposit(ctx, f.entries[i%3].addr, key) })
			}
			wg.Wait()
			for i := range replies {
				So(replies[i].status, ShouldEqual, http.StatusOK)
				So(replies[i].body, ShouldEqual, replies[0].body)
			}
			So(f.effectCount(key), ShouldEqual, 1)
		}
	})
	Convey("A key that is reused with other content is refused", t, func() {
		So(deposit(ctx, f.entries[0].addr, "content").status, ShouldEqual, http.StatusOK)
		_, _, failure, err := invokeWithKey(ctx, f.entries[1].addr, http.MethodPost, depositPath, "content", "other")
		So(err, ShouldBeNil)
		So(failure.Code, ShouldEqual, result.KeyReused)
		So(failure.Ran, ShouldEqual, result.RanNo)
	})
	Convey("The store applies a write, but its reply is lost", t, func() {
		for n := range 4 {
			f.store.SetFaults(standin.StoreFaults{DropReplies: n})
			key := fmt.Sprintf("lost-%d", n)
			So(deposit(ctx, f.entries[n%3].addr, key).status, ShouldEqual, http.StatusOK)
			So(f.effectCount(key), ShouldEqual, 1)
		}
		f.store.SetFaults(standin.StoreFaults{})
	})
	Convey("The store is slow", t, func() {
		f.store.SetFaults(standin.StoreFaults{DelayMillis: 400})
		So(deposit(ctx, f.entries[0].addr, "slow").status, ShouldEqual, http.StatusOK)
		f.store.SetFaults(standin.StoreFaults{})
		So(deposit(ctx, f.entries[1].addr, "slow").status, ShouldEqual, http.StatusOK)
		So(f.effectCount("slow"), ShouldEqual, 1)
	})
	Convey("While the store is down, new keys are refused and repeats of earlier keys are answered", t, func() {
		earlierReply := deposit(ctx, f.entries[0].addr, "earlier")
		f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
		refused := deposit(ctx, f.entries[0].addr, "fresh")
		_, _, refusedFirstUse, err := invoke(ctx, f.entries[0].addr, http.MethodPost, depositPath, depositBody("fresh"),
			map[string]string{caller.HeaderIdempotencyKey: "fresh", caller.HeaderIdempotencyFirst: "true"})
		So(err, ShouldBeNil)
		repeated := deposit(ctx, f.entries[1].addr, "earlier")
		f.store.SetFaults(standin.StoreFaults{})
		So(refused.failure, ShouldNotBeNil)
		So(refused.failure.Code, ShouldEqual, result.StoreUnavailable)
		So(refused.failure.Ran, ShouldEqual, result.RanUnknown)
		So(refusedFirstUse.Code, ShouldEqual, result.StoreUnavailable)
		So(refusedFirstUse.Ran, ShouldEqual, result.RanNo)
		So(f.effectCount("fresh"), ShouldEqual, 0)
		So(repeated.body, ShouldEqual, earlierReply.body)
		replies := f.retryDeposit(ctx, 0, "fresh", 50)
		So(replies[len(replies)-1].succeeded(), ShouldBeTrue)
		So(f.effectCount("fresh"), ShouldEqual, 1)
	})
}

// TestAtMostOnceWhenEntryFailsAfterClaim kills or pauses (SIGKILL, SIGSTOP) an entry
// between its claim and the dispatch. A repeat through another entry must run the
// call, and the paused entry must not dispatch it a second time when it resumes.
func TestAtMostOnceWhenEntryFailsAfterClaim(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 2, entries: 2, plainDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	Convey("An entry is killed between the claim and the dispatch", t, func() {
		f.interruptEntryAfterClaim("killed-claim", func(e *process) { e.kill() })
		replies := f.retryDeposit(ctx, 1, "killed-claim", 50)
		So(replies[len(replies)-1].succeeded(), ShouldBeTrue)
		So(f.effectCount("killed-claim"), ShouldEqual, 1)
		f.entries[0].restart()
		f.awaitReady()
	})
	Convey("An entry is paused after its claim until another entry has taken over the claim", t, func() {
		delayedReply := f.interruptEntryAfterClaim("paused-claim", func(e *process) { e.pause() })
		replies := f.retryDeposit(ctx, 1, "paused-claim", 50)
		f.entries[0].resume()
		So(replies[len(replies)-1].succeeded(), ShouldBeTrue)
		So(f.effectCount("paused-claim"), ShouldEqual, 1)
		reply := <-delayedReply
		So(reply.body, ShouldEqual, replies[len(replies)-1].body)
		So(f.effectCount("paused-claim"), ShouldEqual, 1)
	})
}

// interruptEntryAfterClaim sends a call through the first entry. It calls interrupt
// with that entry when the claim is in the store, but the store's reply, which is
// delayed by 1 s, has not reached the entry yet.
func (f *fleet) interruptEntryAfterClaim(key string, interrupt func(*process)) <-chan callReply {
	claimsBefore := f.claimCount()
	removeToxic := f.storeProxy.addToxic("latency", "downstream", `"latency":1000`)
	reply := make(chan callReply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		defer cancel()
		reply <- deposit(ctx, f.entries[0].addr, key)
	}()
	eventually(f.t, responseTimeout, "the claim is in the store", func() bool { return f.claimCount() > claimsBefore })
	interrupt(f.entries[0])
	removeToxic()
	return reply
}

// TestAtMostOnceWhenCallIsInterrupted kills the entry or the agent, or breaks the link
// between them, while a service runs a call. A repeat must not run the call again:
// it returns the first response or reports that the outcome is unknown.
func TestAtMostOnceWhenCallIsInterrupted(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 2, entries: 2, plainDelay: 700 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	startDeposit := func(key string) <-chan callReply {
		reply := make(chan callReply, 1)
		go func() { reply <- deposit(ctx, f.entries[0].addr, key) }()
		eventually(t, responseTimeout, "service runs the call with key "+key, func() bool { return f.effectCount(key) > 0 })
		return reply
	}
	Convey("The entry is killed during the call: the repeat returns the first response", t, func() {
		reply := startDeposit("entry-lost")
		f.entries[0].kill()
		So((<-reply).err, ShouldNotBeNil)
		first := f.retryDeposit(ctx, 1, "entry-lost", 1)
		So(first[0].succeeded(), ShouldBeTrue)
		So(f.effectCount("entry-lost"), ShouldEqual, 1)
		f.entries[0].restart()
		f.awaitReady()
	})
	Convey("The link to the agent breaks during the call and recovers", t, func() {
		reply := startDeposit("link-lost")
		for _, tg := range f.targets {
			tg.inbound.disconnect()
			time.AfterFunc(20*time.Millisecond, tg.inbound.restore)
		}
		first := <-reply
		if !first.succeeded() {
			So(first.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		repeats := f.retryDeposit(ctx, 1, "link-lost", 20)
		So(repeats[len(repeats)-1].succeeded(), ShouldBeTrue)
		So(f.effectCount("link-lost"), ShouldEqual, 1)
	})
	Convey("The agent is killed during the call: the outcome is unknown and the call never runs again", t, func() {
		f.awaitReady()
		reply := startDeposit("agent-lost")
		tg := f.targets[0]
		if !strings.Contains(fmt.Sprint(tg.plainService.Effects()), "agent-lost") {
			tg = f.targets[1]
		}
		tg.agent.kill()
		first := <-reply
		So(first.failure, ShouldNotBeNil)
		So(first.failure.Ran, ShouldEqual, result.RanUnknown)
		tg.agent.restart()
		f.awaitReady()
		for _, repeat := range f.retryDeposit(ctx, 0, "agent-lost", 4) {
			So(repeat.failure, ShouldNotBeNil)
			So(repeat.failure.Code, ShouldEqual, result.OutcomeUnknown)
			So(repeat.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		So(f.effectCount("agent-lost"), ShouldEqual, 1)
	})
}

// TestAtMostOnceWhenClaimExpires pauses an agent while calls are sent to it, until
// their claims have expired and repeats of the calls have run at another target.
// The calls would run twice if the resumed agent started them.
func TestAtMostOnceWhenClaimExpires(t *testing.T) {
	f := startFleet(t, fleetOptions{
		plainServices: 2, entries: 2, plainDelay: 10 * time.Millisecond, entrySettings: "[claims]\nretention = 4s\n",
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	Convey("An agent does not start a call that arrives after its claim expired", t, func() {
		f.targets[0].agent.pause()
		var delayedCalls sync.WaitGroup
		keys := make([]string, 8)
		for i := range keys {
			keys[i] = fmt.Sprintf("expired-%d", i)
			delayedCalls.Go(func() { deposit(ctx, f.entries[0].addr, keys[i]) })
		}
		eventually(t, responseTimeout, "all claims are in the store", func() bool { return f.claimCount() == len(keys) })
		countNotRun := func() (n int) {
			for _, key := range keys {
				n += 1 - f.effectCount(key)
			}
			return n
		}
		eventually(t, responseTimeout, "all claims have expired", func() bool { return f.claimCount() == 0 })
		So(countNotRun(), ShouldBeGreaterThan, 0)
		for _, key := range keys {
			if f.effectCount(key) == 0 {
				So(deposit(ctx, f.entries[1].addr, key).succeeded(), ShouldBeTrue)
			}
		}
		f.targets[0].agent.resume()
		delayedCalls.Wait()
		for _, key := range keys {
			So(f.effectCount(key), ShouldEqual, 1)
		}
	})
}

// TestAtMostOnceWithIssuedKey guards against calls that run twice with an idempotency
// key that an entry issued. Such a key names the only agent incarnation that may run
// the call, so that no claim in the store is needed. After a restart of that agent the
// call must not run at any agent, since the named incarnation may have run it.
func TestAtMostOnceWithIssuedKey(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 2, entries: 2, plainDelay: 50 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
	writesBefore := f.store.Counts().Writes
	Convey("During a store outage, a key is issued and several callers use it", t, func() {
		key := issueKey(ctx, f.entries[0].addr)
		So(key, ShouldNotBeEmpty)
		replies := make([]callReply, 6)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Go(func() { replies[i] = deposit(ctx, f.entries[i%2].addr, key) })
		}
		wg.Wait()
		for i := range replies {
			So(replies[i].status, ShouldEqual, http.StatusOK)
			So(replies[i].body, ShouldEqual, replies[0].body)
		}
		So(f.effectCount(key), ShouldEqual, 1)
		_, _, failure, _ := invokeWithKey(ctx, f.entries[0].addr, http.MethodPost, depositPath, key, "other")
		So(failure.Code, ShouldEqual, result.KeyReused)
	})
	Convey("The agent that the key names is replaced: the outcome is unknown and no call runs", t, func() {
		used, unused := issueKey(ctx, f.entries[0].addr), issueKey(ctx, f.entries[1].addr)
		So(deposit(ctx, f.entries[0].addr, used).succeeded(), ShouldBeTrue)
		f.store.SetFaults(standin.StoreFaults{})
		for _, tg := range f.targets {
			tg.agent.kill()
			tg.agent.restart()
		}
		f.awaitReady()
		for _, key := range []string{used, unused} {
			reply := deposit(ctx, f.entries[1].addr, key)
			So(reply.failure, ShouldNotBeNil)
			So(reply.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		So(f.effectCount(used), ShouldEqual, 1)
		So(f.effectCount(unused), ShouldEqual, 0)
		So(f.store.Counts().Writes, ShouldEqual, writesBefore)
	})
}
