package faulttest

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// responseTimeout limits requests, and waits for conditions, that include the
// recovery from a failure.
const responseTimeout = 60 * time.Second

// afterTokens returns an onEvent function for generate. It runs f once, when the
// event with the id eventID or a later one has arrived. Ids count tokens from 0.
func afterTokens(eventID int, f func()) func(*completion) {
	hasRun := false
	return func(c *completion) {
		if !hasRun && c.lastEventID >= eventID {
			hasRun = true
			f()
		}
	}
}

// TestStreamSurvivesFailures interrupts each link and each daemon in the middle of a
// stream. The delivered text must be byte-equal to the engine's output.
func TestStreamSurvivesFailures(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, entries: 2, engineOptions: fastEngineOptions()})
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	tg := f.targets[0]
	checkComplete := func(c *completion) {
		So(c.err, ShouldBeNil)
		So(c.failure, ShouldBeNil)
		So(c.complete, ShouldBeTrue)
		So(c.outOfOrder, ShouldEqual, 0)
		So(c.text, ShouldEqual, f.output(c.generationID))
	}
	Convey("The link between entry and agent breaks and recovers", t, func() {
		c := generate(ctx, f.entries[0].addr, "guide", prompt("agent link", 1000), nil, afterTokens(100, func() {
			tg.inbound.disconnect()
			time.AfterFunc(200*time.Millisecond, tg.inbound.restore)
		}))
		checkComplete(c)
		So(f.entries[0].grepLog(c.requestID, `"kind":"resume"`), ShouldNotBeEmpty)
	})
	Convey("The link between agent and engine breaks and recovers", t, func() {
		c := generate(ctx, f.entries[0].addr, "guide", prompt("engine link", 1000), nil, afterTokens(100, func() {
			tg.outbound.disconnect()
			time.AfterFunc(100*time.Millisecond, tg.outbound.restore)
		}))
		checkComplete(c)
		So(tg.agent.grepLog(c.generationID, `"kind":"resume"`), ShouldNotBeEmpty)
	})
	Convey("The stream arrives in small, delayed pieces", t, func() {
		removeToxic := tg.inbound.addToxic("slicer", "downstream", `"average_size":7,"size_variation":3,"delay":10`)
		defer removeToxic()
		checkComplete(generate(ctx, f.entries[0].addr, "guide", prompt("sliced", 200), nil, nil))
	})
	Convey("The agent is paused for longer than the heartbeat timeout", t, func() {
		c := generate(ctx, f.entries[0].addr, "guide", prompt("pause", 1000), nil, afterTokens(100, func() {
			tg.agent.pause()
			time.AfterFunc(4*time.Second, tg.agent.resume)
		}))
		checkComplete(c)
	})
	Convey("The entry is killed and the caller resumes through the other entry", t, func() {
		// The entry does not use the agent that was paused above until it receives a
		// heartbeat of the agent.
		eventually(t, startTimeout, "the entry can use the target", func() bool { return f.hasUsableTargets(f.entries[0], 1) })
		c := generate(ctx, f.entries[0].addr, "guide", prompt("entry", 1000), nil, afterTokens(100, f.entries[0].kill))
		So(c.complete, ShouldBeFalse)
		So(c.failure, ShouldBeNil)
		So(c.lastEventID, ShouldBeGreaterThanOrEqualTo, 100)
		f.entries[0].restart()
		checkComplete(c.resume(ctx, f.entries[1].addr))
	})
	Convey("A stopping agent finishes its stream and exits cleanly", t, func() {
		c := generate(ctx, f.entries[1].addr, "guide", prompt("stop", 1000), nil, afterTokens(100, tg.agent.stop))
		checkComplete(c)
		exitCode, ok := tg.agent.exited(responseTimeout)
		So(ok, ShouldBeTrue)
		So(exitCode, ShouldEqual, 0)
	})
}
