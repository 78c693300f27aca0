package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAcceptedRequestsHaveTimeInTheStop guards against a stop so short that it accepts
// requests until its end and cuts them off.
func TestAcceptedRequestsHaveTimeInTheStop(t *testing.T) {
	Convey("A stop accepts requests in its first third at most", t, func() {
		for _, limit := range []time.Duration{-time.Second, 0, 100 * time.Millisecond, time.Second, 2600 * time.Millisecond, 8 * time.Second, time.Minute} {
			got := acceptTime(defaultBalancerGrace, limit)
			So(max(got, 0), ShouldBeLessThanOrEqualTo, max(limit/3, 0))
		}
	})
	Convey("The default limit leaves the whole time that the load balancer needs", t, func() {
		So(acceptTime(defaultBalancerGrace, defaultStopLimit-stopMargin), ShouldEqual, defaultBalancerGrace)
	})
}

// TestRequestContextEndsWithTheStop guards against requests that hold contexts after their
// end, and against a stop that is taken for a client that has left.
func TestRequestContextEndsWithTheStop(t *testing.T) {
	Convey("The end of the stop is the cause of a request's end", t, func() {
		p := newStopPhase()
		ended, cancelEnded := p.requestContext(context.Background())
		cancelEnded()
		active, cancel := p.requestContext(context.Background())
		defer cancel()
		p.begin(0)
		<-active.Done()
		So(context.Cause(active), ShouldEqual, errStopping)
		So(context.Cause(ended), ShouldEqual, context.Canceled)
		<-p.dispatch.Done()
		So(p.dispatchEnded(), ShouldBeTrue)
	})
}
