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

// onceReply is what a caller of a call that runs at most once got.
type onceReply struct {
	status  int
	text    string
	failure *result.Error
	err     error
	// had is set if the call had taken effect before this try.
	had bool
}

// saysNotRun reports whether the reply denies that the call ran.
func (r onceReply) saysNotRun() bool { return r.failure != nil && r.failure.Ran == result.RanNo }

func (r onceReply) ok() bool { return r.err == nil && r.status == http.StatusOK }

// deposit sends a call whose body names its key, so that its effects are told
// apart.
func deposit(ctx context.Context, addr, key string) onceReply {
	var r onceReply
	r.status, r.text, r.failure, r.err = invoke(ctx, addr, http.MethodPost, depositPath, key, depositBody(key))
	return r
}

func depositBody(key string) string { return fmt.Sprintf(`{"deposit":%q}`, key) }

// insist repeats a call through the entries in turn until it succeeds.
func (f *fleet) insist(ctx context.Context, first int, key string, tries int) []onceReply {
	var got []onceReply
	for i := range tries {
		had := f.effects(key) > 0
		r := deposit(ctx, f.entries[(first+i)%len(f.entries)].addr, key)
		r.had = had
		got = append(got, r)
		if r.ok() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return got
}

// effects counts how often the call with a key took effect at any target.
func (f *fleet) effects(key string) int {
	n := 0
	for _, tg := range f.targets {
		if tg.plain == nil {
			continue
		}
		for _, e := range tg.plain.Effects() {
			if e.Body == depositBody(key) {
				n++
			}
		}
	}
	return n
}

// claims returns the number of claims in the store.
func (f *fleet) claims() int {
	kvs, _, err := f.client.Range(context.Background(), claim.Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(kvs)
}

// issueKey asks an entry for a key.
func issueKey(ctx context.Context, addr string) string {
	_, text, _, err := invoke(ctx, addr, http.MethodPost, "/v1/keys", "", `{"service":"booking"}`)
	var out struct{ Key string }
	if err != nil || json.Unmarshal([]byte(text), &out) != nil {
		return ""
	}
	return out.Key
}

// TestOnceCallerKey brings about each failure of a call with a caller's key.
// The effect logs of the targets judge.
func TestOnceCallerKey(t *testing.T) {
	f := startFleet(t, fleetOptions{plains: 3, entries: 3, plainDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*answerWait)
	defer cancel()
	Convey("Concurrent callers repeat one key through every entry", t, func() {
		for k := range 10 {
			key := fmt.Sprintf("concurrent-%d", k)
			got := make([]onceReply, 6)
			var wg sync.WaitGroup
			for i := range got {
				wg.Go(func() { got[i] = deposit(ctx, f.entries[i%3].addr, key) })
			}
			wg.Wait()
			for i := range got {
				So(got[i].status, ShouldEqual, http.StatusOK)
				So(got[i].text, ShouldEqual, got[0].text)
			}
			So(f.effects(key), ShouldEqual, 1)
		}
	})
	Convey("A key with other content is refused", t, func() {
		So(deposit(ctx, f.entries[0].addr, "content").status, ShouldEqual, http.StatusOK)
		_, _, failure, err := invoke(ctx, f.entries[1].addr, http.MethodPost, depositPath, "content", "other")
		So(err, ShouldBeNil)
		So(failure.Code, ShouldEqual, result.KeyReused)
		So(failure.Ran, ShouldEqual, result.RanNo)
	})
	Convey("The store's reply is lost after the write", t, func() {
		for n := range 4 {
			f.store.SetFaults(standin.StoreFaults{DropReplies: n})
			key := fmt.Sprintf("lost-%d", n)
			So(deposit(ctx, f.entries[n%3].addr, key).status, ShouldEqual, http.StatusOK)
			So(f.effects(key), ShouldEqual, 1)
		}
		f.store.SetFaults(standin.StoreFaults{})
	})
	Convey("The store is slow", t, func() {
		f.store.SetFaults(standin.StoreFaults{DelayMillis: 400})
		So(deposit(ctx, f.entries[0].addr, "slow").status, ShouldEqual, http.StatusOK)
		f.store.SetFaults(standin.StoreFaults{})
		So(deposit(ctx, f.entries[1].addr, "slow").status, ShouldEqual, http.StatusOK)
		So(f.effects("slow"), ShouldEqual, 1)
	})
	Convey("The store is down: new keys are refused, earlier ones answered", t, func() {
		earlier := deposit(ctx, f.entries[0].addr, "earlier")
		f.store.SetFaults(standin.StoreFaults{Down: true})
		fresh := deposit(ctx, f.entries[0].addr, "fresh")
		_, _, first, err := invokeWith(ctx, f.entries[0].addr, http.MethodPost, depositPath, depositBody("fresh"),
			map[string]string{caller.HeaderIdempotencyKey: "fresh", caller.HeaderIdempotencyFirst: "true"})
		So(err, ShouldBeNil)
		repeated := deposit(ctx, f.entries[1].addr, "earlier")
		f.store.SetFaults(standin.StoreFaults{})
		So(fresh.failure, ShouldNotBeNil)
		So(fresh.failure.Code, ShouldEqual, result.StoreUnavailable)
		So(fresh.failure.Ran, ShouldEqual, result.RanUnknown)
		So(first.Code, ShouldEqual, result.StoreUnavailable)
		So(first.Ran, ShouldEqual, result.RanNo)
		So(f.effects("fresh"), ShouldEqual, 0)
		So(repeated.text, ShouldEqual, earlier.text)
		got := f.insist(ctx, 0, "fresh", 50)
		So(got[len(got)-1].ok(), ShouldBeTrue)
		So(f.effects("fresh"), ShouldEqual, 1)
	})
}

// TestOnceEntryStopped kills and pauses an entry that holds a claim.
func TestOnceEntryStopped(t *testing.T) {
	f := startFleet(t, fleetOptions{plains: 2, entries: 2, plainDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	Convey("An entry is killed between claim and dispatch", t, func() {
		f.entryStopsAfterClaim("killed-claim", func(e *process) { e.kill() })
		got := f.insist(ctx, 1, "killed-claim", 50)
		So(got[len(got)-1].ok(), ShouldBeTrue)
		So(f.effects("killed-claim"), ShouldEqual, 1)
		f.entries[0].restart()
		f.awaitReady()
	})
	Convey("An entry is paused after its claim until another took it over", t, func() {
		late := f.entryStopsAfterClaim("paused-claim", func(e *process) { e.pause() })
		got := f.insist(ctx, 1, "paused-claim", 50)
		f.entries[0].resume()
		So(got[len(got)-1].ok(), ShouldBeTrue)
		So(f.effects("paused-claim"), ShouldEqual, 1)
		r := <-late
		So(r.text, ShouldEqual, got[len(got)-1].text)
		So(f.effects("paused-claim"), ShouldEqual, 1)
	})
}

// entryStopsAfterClaim sends a call through the first entry and stops that
// entry when its claim is in the store but the store's reply is on its way.
func (f *fleet) entryStopsAfterClaim(key string, stop func(*process)) <-chan onceReply {
	before := f.claims()
	remove := f.storeProxy.toxic("latency", "downstream", `"latency":1000`)
	done := make(chan onceReply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerWait)
		defer cancel()
		done <- deposit(ctx, f.entries[0].addr, key)
	}()
	eventually(f.t, answerWait, "claim in the store", func() bool { return f.claims() > before })
	stop(f.entries[0])
	remove()
	return done
}

// TestOnceTargetLost kills an entry and an agent while a call runs.
func TestOnceTargetLost(t *testing.T) {
	f := startFleet(t, fleetOptions{plains: 2, entries: 2, plainDelay: 700 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	begin := func(key string) <-chan onceReply {
		done := make(chan onceReply, 1)
		go func() { done <- deposit(ctx, f.entries[0].addr, key) }()
		eventually(t, answerWait, "effect of "+key, func() bool { return f.effects(key) > 0 })
		return done
	}
	Convey("The entry is killed during the call: the repeat gets the first answer", t, func() {
		done := begin("entry-lost")
		f.entries[0].kill()
		So((<-done).err, ShouldNotBeNil)
		got := f.insist(ctx, 1, "entry-lost", 1)
		So(got[0].ok(), ShouldBeTrue)
		So(f.effects("entry-lost"), ShouldEqual, 1)
		f.entries[0].restart()
		f.awaitReady()
	})
	Convey("The link to the agent is cut during the call and comes back", t, func() {
		done := begin("link-lost")
		for _, tg := range f.targets {
			tg.inbound.cut()
			time.AfterFunc(20*time.Millisecond, tg.inbound.restore)
		}
		got := <-done
		if !got.ok() {
			So(got.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		again := f.insist(ctx, 1, "link-lost", 20)
		So(again[len(again)-1].ok(), ShouldBeTrue)
		So(f.effects("link-lost"), ShouldEqual, 1)
	})
	Convey("The agent is killed during the call: unknown, and never run again", t, func() {
		f.awaitReady()
		done := begin("agent-lost")
		tg := f.targets[0]
		if !strings.Contains(fmt.Sprint(tg.plain.Effects()), "agent-lost") {
			tg = f.targets[1]
		}
		tg.agent.kill()
		got := <-done
		So(got.failure, ShouldNotBeNil)
		So(got.failure.Ran, ShouldEqual, result.RanUnknown)
		tg.agent.restart()
		f.awaitReady()
		for _, r := range f.insist(ctx, 0, "agent-lost", 4) {
			So(r.failure, ShouldNotBeNil)
			So(r.failure.Code, ShouldEqual, result.OutcomeUnknown)
			So(r.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		So(f.effects("agent-lost"), ShouldEqual, 1)
	})
}

// TestOnceClaimExpires pauses an agent with calls on their way to it until
// their claims have expired and the calls ran elsewhere.
func TestOnceClaimExpires(t *testing.T) {
	f := startFleet(t, fleetOptions{
		plains: 2, entries: 2, plainDelay: 10 * time.Millisecond, entrySettings: "[claims]\nretention = 4s\n",
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	Convey("A call that arrives after its claim expired is not started", t, func() {
		f.targets[0].agent.pause()
		var late sync.WaitGroup
		keys := make([]string, 8)
		for i := range keys {
			keys[i] = fmt.Sprintf("expired-%d", i)
			late.Go(func() { deposit(ctx, f.entries[0].addr, keys[i]) })
		}
		eventually(t, answerWait, "claims written", func() bool { return f.claims() == len(keys) })
		waiting := func() (n int) {
			for _, key := range keys {
				n += 1 - f.effects(key)
			}
			return n
		}
		eventually(t, answerWait, "claims expired", func() bool { return f.claims() == 0 })
		So(waiting(), ShouldBeGreaterThan, 0)
		for _, key := range keys {
			if f.effects(key) == 0 {
				So(deposit(ctx, f.entries[1].addr, key).ok(), ShouldBeTrue)
			}
		}
		f.targets[0].agent.resume()
		late.Wait()
		for _, key := range keys {
			So(f.effects(key), ShouldEqual, 1)
		}
	})
}

// TestOnceIssuedKey runs calls under issued keys without the store.
func TestOnceIssuedKey(t *testing.T) {
	f := startFleet(t, fleetOptions{plains: 2, entries: 2, plainDelay: 50 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	f.store.SetFaults(standin.StoreFaults{Down: true})
	writes := f.store.Counts().Writes
	Convey("A key is issued and used through a store outage, by several callers", t, func() {
		key := issueKey(ctx, f.entries[0].addr)
		So(key, ShouldNotBeEmpty)
		got := make([]onceReply, 6)
		var wg sync.WaitGroup
		for i := range got {
			wg.Go(func() { got[i] = deposit(ctx, f.entries[i%2].addr, key) })
		}
		wg.Wait()
		for i := range got {
			So(got[i].status, ShouldEqual, http.StatusOK)
			So(got[i].text, ShouldEqual, got[0].text)
		}
		So(f.effects(key), ShouldEqual, 1)
		_, _, failure, _ := invoke(ctx, f.entries[0].addr, http.MethodPost, depositPath, key, "other")
		So(failure.Code, ShouldEqual, result.KeyReused)
	})
	Convey("The agent that the key names is replaced: unknown, never run", t, func() {
		used, unused := issueKey(ctx, f.entries[0].addr), issueKey(ctx, f.entries[1].addr)
		So(deposit(ctx, f.entries[0].addr, used).ok(), ShouldBeTrue)
		f.store.SetFaults(standin.StoreFaults{})
		for _, tg := range f.targets {
			tg.agent.kill()
			tg.agent.restart()
		}
		f.awaitReady()
		for _, key := range []string{used, unused} {
			r := deposit(ctx, f.entries[1].addr, key)
			So(r.failure, ShouldNotBeNil)
			So(r.failure.Ran, ShouldEqual, result.RanUnknown)
		}
		So(f.effects(used), ShouldEqual, 1)
		So(f.effects(unused), ShouldEqual, 0)
		So(f.store.Counts().Writes, ShouldEqual, writes)
	})
}
