package faulttest

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/config"
)

// shortQueueDocuments returns the test configuration with a queue timeout of 300 ms,
// so that agents refuse requests under load, and a request timeout of 8 s.
func shortQueueDocuments() []config.Document {
	docs := testDocuments()
	for i := range docs[0].Services {
		docs[0].Services[i].QueueMillis = 300
		docs[0].Services[i].TimeoutMillis = 8000
	}
	return docs
}

// injectFaults injects one fault after another at randomly chosen targets until ctx
// is done.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		tg := f.targets[rng.IntN(len(f.targets))]
		duration := time.Duration(100+rng.IntN(700)) * time.Millisecond
		switch rng.IntN(7) {
		case 0:
			f.waitThenRecover(duration, tg.inbound.addToxic("timeout", "upstream", `"timeout":0`))
		case 1:
			f.waitThenRecover(duration, tg.inbound.addToxic("timeout", "downstream", `"timeout":0`))
		case 2:
			f.waitThenRecover(duration, tg.inbound.addToxic("reset_peer", "downstream", `"timeout":5`))
		case 3:
			f.waitThenRecover(duration, tg.inbound.addToxic("limit_data", "downstream", `"bytes":700`))
		case 4:
			tg.inbound.disconnect()
			f.waitThenRecover(duration, tg.inbound.restore)
		case 5:
			tg.agent.pause()
			f.waitThenRecover(4*duration, tg.agent.resume)
		case 6:
			tg.agent.kill()
			tg.agent.restart()
			f.waitThenRecover(2*duration, func() {})
		}
	}
}

// waitThenRecover keeps a fault for the duration and then ends it.
func (f *fleet) waitThenRecover(duration time.Duration, recoverTarget func()) {
	time.Sleep(duration)
	recoverTarget()
}

// TestReportedOutcomesMatchExecution guards against callers that receive a wrong
// outcome, for example "not run" for a request that ran. It runs concurrent callers
// with distinct requests while links lose requests and replies and agents pause or
// restart at the same address, and compares the outcome that each caller received with
// what the targets ran.
func TestReportedOutcomesMatchExecution(t *testing.T) {
	engine := fastEngineOptions()
	engine.MaxBatch = 8
	f := startFleet(t, fleetOptions{
		engines: 2, plainServices: 2, entries: 2, engineOptions: engine, plainDelay: 5 * time.Millisecond, documents: shortQueueDocuments(),
		targetSettings: "slots = 4\nqueue = 8\n",
	})
	var requestCount atomic.Int64
	pickEntry := func() string { return f.entries[int(requestCount.Add(1))%len(f.entries)].addr }
	Convey("No response reports an outcome that contradicts what the targets ran", t, func() {
		w := &workload{fleet: f, pickEntry: pickEntry, callers: 24, maxTokens: 60, includesPlainCalls: true}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, 11)
		}()
		f.injectFaults(ctx, rand.New(rand.NewPCG(11, 11)))
		<-done
		// Requests that are still on their way arrive during this time.
		time.Sleep(time.Second)
		violations, counts := w.check(f)
		t.Log(counts)
		for _, v := range violations[:min(len(violations), 10)] {
			t.Log(v)
		}
		So(len(violations), ShouldEqual, 0)
		So(counts.complete, ShouldBeGreaterThan, 0)
	})
}
