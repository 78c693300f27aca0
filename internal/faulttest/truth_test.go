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

// loadedDocuments make agents refuse work early.
func loadedDocuments() []config.Document {
	docs := testDocuments()
	for i := range docs[0].Services {
		docs[0].Services[i].QueueMillis = 300
		docs[0].Services[i].TimeoutMillis = 8000
	}
	return docs
}

// disturb injects one fault after the other at the targets until ctx ends.
func (f *fleet) disturb(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		tg := f.targets[r.IntN(len(f.targets))]
		d := time.Duration(100+r.IntN(700)) * time.Millisecond
		switch r.IntN(7) {
		case 0:
			f.during(d, tg.inbound.toxic("timeout", "upstream", `"timeout":0`))
		case 1:
			f.during(d, tg.inbound.toxic("timeout", "downstream", `"timeout":0`))
		case 2:
			f.during(d, tg.inbound.toxic("reset_peer", "downstream", `"timeout":5`))
		case 3:
			f.during(d, tg.inbound.toxic("limit_data", "downstream", `"bytes":700`))
		case 4:
			tg.inbound.cut()
			f.during(d, tg.inbound.restore)
		case 5:
			tg.agent.pause()
			f.during(4*d, tg.agent.resume)
		case 6:
			tg.agent.kill()
			tg.agent.restart()
			f.during(2*d, func() {})
		}
	}
}

func (f *fleet) during(d time.Duration, heal func()) {
	time.Sleep(d)
	heal()
}

// TestTruth runs concurrent callers with distinct requests while links lose
// requests and replies and agents pause and restart at the same address. What
// the callers were told is compared with what the targets ran.
func TestTruth(t *testing.T) {
	engine := fastEngine()
	engine.MaxBatch = 8
	f := startFleet(t, fleetOptions{
		engines: 2, plains: 2, entries: 2, engine: engine, plainDelay: 5 * time.Millisecond, documents: loadedDocuments(),
		targetSettings: "slots = 4\nqueue = 8\n",
	})
	var next atomic.Int64
	pick := func() string { return f.entries[int(next.Add(1))%len(f.entries)].addr }
	Convey("No request is told more than is true", t, func() {
		w := &workload{f: f, pick: pick, callers: 24, length: 60, calls: true}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, 11)
		}()
		f.disturb(ctx, rand.New(rand.NewPCG(11, 11)))
		<-done
		// Late messages arrive meanwhile.
		time.Sleep(time.Second)
		violations, tally := w.check(f)
		t.Log(tally)
		for _, v := range violations[:min(len(violations), 10)] {
			t.Log(v)
		}
		So(len(violations), ShouldEqual, 0)
		So(tally.complete, ShouldBeGreaterThan, 0)
	})
}
