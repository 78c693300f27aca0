package agent

import (
	"context"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEngineGateCrash guards against suspicion of content that did not run when the
// engine crashed, against a crash that is recorded twice because several attempts
// fail, and against attempts that run beside an isolated suspect.
func TestEngineGateCrash(t *testing.T) {
	ctx := context.Background()
	Convey("A crash is recorded once, for the attempts that ran when the stream broke", t, func() {
		g := newEngineGate()
		So(g.acquire(ctx, "a", "fa", false), ShouldBeNil)
		So(g.acquire(ctx, "b", "fb", false), ShouldBeNil)
		g.markStreamBroken()
		shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		So(g.acquire(shortCtx, "c", "fc", false), ShouldNotBeNil)
		fingerprints, number := g.recordCrash("a")
		sort.Strings(fingerprints)
		So(fingerprints, ShouldResemble, []string{"fa", "fb"})
		So(number, ShouldEqual, 1)
		_, number = g.recordCrash("b")
		So(number, ShouldEqual, 0)
		So(g.acquire(ctx, "d", "fd", false), ShouldNotBeNil)
		g.markAnswered(time.Now())
		So(g.acquire(ctx, "d", "fd", false), ShouldBeNil)
	})
	Convey("A crash is also recorded if the engine restarted before it was probed", t, func() {
		g := newEngineGate()
		So(g.acquire(ctx, "a", "fa", false), ShouldBeNil)
		g.markStreamBroken()
		g.markAnswered(time.Now())
		So(g.acquire(ctx, "b", "fb", false), ShouldBeNil)
		fingerprints, _ := g.recordCrash("a")
		So(fingerprints, ShouldResemble, []string{"fa"})
	})
	Convey("The gate admits one suspect at a time, and no other attempts during its isolation", t, func() {
		g := newEngineGate()
		So(g.acquire(ctx, "a", "fa", true), ShouldBeNil)
		shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		So(g.acquire(shortCtx, "b", "fb", true), ShouldNotBeNil)
		So(g.acquire(shortCtx, "c", "fc", false), ShouldNotBeNil)
		g.release("a")
		So(g.acquire(ctx, "b", "fb", true), ShouldBeNil)
	})
}
