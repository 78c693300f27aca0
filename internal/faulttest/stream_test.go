package faulttest

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerWait bounds the wait for an answer that heals from a failure.
const answerWait = 60 * time.Second

// once returns a function for generate that runs f when n tokens arrived.
func once(n int, f func()) func(*answer) {
	ran := false
	return func(a *answer) {
		if !ran && a.last >= n {
			ran = true
			f()
		}
	}
}

// TestStreamSurvivesFailures breaks each hop of a stream in the middle. The
// answer must be byte-equal to what the engine generated.
func TestStreamSurvivesFailures(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, entries: 2, engine: fastEngine()})
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	tg := f.targets[0]
	whole := func(a *answer) {
		So(a.err, ShouldBeNil)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
		So(a.disorder, ShouldEqual, 0)
		So(a.text, ShouldEqual, f.output(a.generation))
	}
	Convey("The link between entry and agent is cut and comes back", t, func() {
		a := generate(ctx, f.entries[0].addr, "guide", prompt("cut", 1000), nil, once(100, func() {
			tg.inbound.cut()
			time.AfterFunc(200*time.Millisecond, tg.inbound.restore)
		}))
		whole(a)
		So(f.entries[0].logged(a.request, `"kind":"resume"`), ShouldNotBeEmpty)
	})
	Convey("The link between agent and engine is cut and comes back", t, func() {
		a := generate(ctx, f.entries[0].addr, "guide", prompt("engine link", 1000), nil, once(100, func() {
			tg.outbound.cut()
			time.AfterFunc(100*time.Millisecond, tg.outbound.restore)
		}))
		whole(a)
		So(tg.agent.logged(a.generation, `"kind":"resume"`), ShouldNotBeEmpty)
	})
	Convey("The stream is sliced into small pieces and delayed", t, func() {
		slice := tg.inbound.toxic("slicer", "downstream", `"average_size":7,"size_variation":3,"delay":10`)
		defer slice()
		whole(generate(ctx, f.entries[0].addr, "guide", prompt("sliced", 200), nil, nil))
	})
	Convey("The agent is paused longer than the silence limit", t, func() {
		a := generate(ctx, f.entries[0].addr, "guide", prompt("pause", 1000), nil, once(100, func() {
			tg.agent.pause()
			time.AfterFunc(4*time.Second, tg.agent.resume)
		}))
		whole(a)
	})
	Convey("The entry is killed and the caller resumes through the other one", t, func() {
		// The agent that was paused is used again with its next heartbeat.
		eventually(t, startWait, "the entry sees the target", func() bool { return f.sees(f.entries[0], 1) })
		a := generate(ctx, f.entries[0].addr, "guide", prompt("entry", 1000), nil, once(100, f.entries[0].kill))
		So(a.complete, ShouldBeFalse)
		So(a.failure, ShouldBeNil)
		So(a.last, ShouldBeGreaterThanOrEqualTo, 100)
		f.entries[0].restart()
		whole(a.resume(ctx, f.entries[1].addr))
	})
	Convey("A stopping agent finishes its stream and exits cleanly", t, func() {
		a := generate(ctx, f.entries[1].addr, "guide", prompt("stop", 1000), nil, once(100, tg.agent.stop))
		whole(a)
		code, ok := tg.agent.exited(answerWait)
		So(ok, ShouldBeTrue)
		So(code, ShouldEqual, 0)
	})
}
