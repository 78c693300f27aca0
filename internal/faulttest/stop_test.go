package faulttest

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// balancer models the platform's balancer: it knows the ready entries from
// their readiness endpoint.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

const balancerPeriod = 50 * time.Millisecond

func (b *balancer) watch(ctx context.Context, entries []*process) {
	for ctx.Err() == nil {
		var ready []string
		for _, e := range entries {
			if e.ready() {
				ready = append(ready, e.addr)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(balancerPeriod)
	}
}

// pick returns the address of a ready entry.
func (b *balancer) pick() string {
	for {
		b.mu.Lock()
		b.next++
		if n := len(b.ready); n > 0 {
			defer b.mu.Unlock()
			return b.ready[b.next%n]
		}
		b.mu.Unlock()
		time.Sleep(balancerPeriod)
	}
}

// roll stops a process, waits for its end and starts it again.
func (f *fleet) roll(p *process) {
	f.t.Helper()
	p.stop()
	code, ok := p.exited(answerWait)
	if !ok || code != 0 {
		f.t.Fatalf("%s: exited %v with code %d\n%s", p.name, ok, code, p.dump())
	}
	p.restart()
	eventually(f.t, startWait, p.name+" ready", p.ready)
	for _, e := range f.entries {
		eventually(f.t, startWait, e.name+" sees all", func() bool { return f.sees(e, len(f.targets)) })
	}
}

// TestRollingRestart restarts every process in turn under load with long
// streams. No request may fail.
func TestRollingRestart(t *testing.T) {
	engine := fastEngine()
	f := startFleet(t, fleetOptions{
		engines: 2, plains: 2, entries: 2, engine: engine, plainDelay: 30 * time.Millisecond, balancerGrace: 500 * time.Millisecond,
	})
	Convey("Every request completes while the whole fleet is restarted", t, func() {
		watching, stopWatching := context.WithCancel(context.Background())
		defer stopWatching()
		b := &balancer{}
		go b.watch(watching, append([]*process(nil), f.entries...))
		w := &workload{f: f, pick: b.pick, callers: 16, length: 3000, calls: true}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, 5)
		}()
		for _, tg := range f.targets {
			f.roll(tg.agent)
		}
		for _, e := range f.entries {
			f.roll(e)
		}
		cancel()
		<-done
		violations, tally := w.check(f)
		t.Log(tally)
		for _, o := range w.seen {
			if o.err != nil || o.failure != nil {
				t.Logf("%s%s: %v %v", o.prompt, o.uri, o.err, o.failure)
			}
		}
		So(violations, ShouldBeEmpty)
		So(tally.complete, ShouldEqual, len(w.seen))
	})
}

// TestStopKeepsForResume stops an agent that holds a generation whose caller
// lost its connection, and one whose work still waits.
func TestStopKeepsForResume(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, entries: 2, engine: fastEngine(), targetSettings: "slots = 1\n"})
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	tg := f.targets[0]
	Convey("A stopping agent finishes what it accepted and waits for a caller to resume", t, func() {
		read, leave := context.WithCancel(ctx)
		queued := make(chan *answer, 1)
		a := generate(read, f.entries[0].addr, "guide", prompt("left", 600), nil, once(100, func() {
			go func() { queued <- generate(ctx, f.entries[1].addr, "guide", prompt("queued", 50), nil, nil) }()
			eventually(t, startWait, "queued", func() bool { return queuedAt(tg) == 1 })
			tg.agent.stop()
			leave()
		}))
		So(a.complete, ShouldBeFalse)
		q := <-queued
		So(q.failure, ShouldBeNil)
		So(q.complete, ShouldBeTrue)
		// The generation has ended, since the queued one ran after it.
		a = a.resume(ctx, f.entries[1].addr)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
		So(a.text, ShouldEqual, f.output(a.generation))
		code, ok := tg.agent.exited(answerWait)
		So(ok, ShouldBeTrue)
		So(code, ShouldEqual, 0)
	})
}

// queuedAt returns the number of requests that wait at a target's agent.
func queuedAt(tg *target) int {
	st, err := fleetClient().State(context.Background(), tg.agent.addr)
	if err != nil {
		return 0
	}
	return st.Load.Queued
}
