package agent

import (
	"context"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSoloGateDeath checks what a death is held against.
func TestSoloGateDeath(t *testing.T) {
	ctx := context.Background()
	Convey("A death is counted once, against what was at the engine", t, func() {
		g := newSoloGate()
		So(g.enter(ctx, "a", "fa", false), ShouldBeNil)
		So(g.enter(ctx, "b", "fb", false), ShouldBeNil)
		g.broken()
		late, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		So(g.enter(late, "c", "fc", false), ShouldNotBeNil)
		fingerprints, number := g.death("a")
		sort.Strings(fingerprints)
		So(fingerprints, ShouldResemble, []string{"fa", "fb"})
		So(number, ShouldEqual, 1)
		_, number = g.death("b")
		So(number, ShouldEqual, 0)
		So(g.enter(ctx, "d", "fd", false), ShouldNotBeNil)
		g.alive(time.Now())
		So(g.enter(ctx, "d", "fd", false), ShouldBeNil)
	})
	Convey("An engine that restarted before it was asked died all the same", t, func() {
		g := newSoloGate()
		So(g.enter(ctx, "a", "fa", false), ShouldBeNil)
		g.broken()
		g.alive(time.Now())
		So(g.enter(ctx, "b", "fb", false), ShouldBeNil)
		fingerprints, _ := g.death("a")
		So(fingerprints, ShouldResemble, []string{"fa"})
	})
	Convey("One suspect at a time", t, func() {
		g := newSoloGate()
		So(g.enter(ctx, "a", "fa", true), ShouldBeNil)
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		So(g.enter(short, "b", "fb", true), ShouldNotBeNil)
		So(g.enter(short, "c", "fc", false), ShouldNotBeNil)
		g.leave("a")
		So(g.enter(ctx, "b", "fb", true), ShouldBeNil)
	})
}
