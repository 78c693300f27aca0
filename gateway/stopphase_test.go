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

// TestAnswersHaveTimeAtTheEndOfTheStop guards against a stop that closes the connections while it
// writes the answers to the requests in progress.
func TestAnswersHaveTimeAtTheEndOfTheStop(t *testing.T) {
	Convey("The answers are due before the end, and after the time for new work", t, func() {
		for _, limit := range []time.Duration{0, 100 * time.Millisecond, time.Second, defaultStopLimit - stopMargin, time.Minute} {
			times := newStopTimes(time.Now(), defaultBalancerGrace, limit)
			answer, _ := times.untilAnswer(times.stop, times.stop, 0, false)
			So(-answer, ShouldEqual, min(stopAnswerTime, limit/3))
			So(times.stop.Add(answer), ShouldHappenOnOrAfter, times.dispatch)
		}
	})
	Convey("Each answer adds to their time in a process whose timers are late, within the last third", t, func() {
		const limit = defaultStopLimit - stopMargin
		times := newStopTimes(time.Now(), defaultBalancerGrace, limit)
		for _, c := range []struct {
			late            time.Duration
			awaiting        int64
			wasSlow, isSlow bool
			before          time.Duration
		}{
			{0, 250, false, false, stopAnswerTime},
			{maxTimerDelay, 250, false, false, stopAnswerTime},
			{maxTimerDelay + 1, 250, false, true, stopAnswerTime + 250*requestAnswerTime},
			{0, 250, true, true, stopAnswerTime + 250*requestAnswerTime},
			{0, 0, true, true, stopAnswerTime},
			{0, 1_000_000, true, true, answerTime(limit, 1_000_000)},
		} {
			answer, isSlow := times.untilAnswer(times.stop, times.stop.Add(-c.late), c.awaiting, c.wasSlow)
			So(-answer, ShouldEqual, c.before)
			So(isSlow, ShouldEqual, c.isSlow)
			So(times.stop.Add(answer), ShouldHappenOnOrAfter, times.dispatch)
		}
	})
	Convey("Requests count until their answer begins, once", t, func() {
		p := newStopPhase()
		wait := p.awaitAnswer()
		p.awaitAnswer()
		So(p.awaiting.Load(), ShouldEqual, 2)
		wait.end()
		wait.end()
		So(p.awaiting.Load(), ShouldEqual, 1)
	})
	Convey("They do not cut a stream that has begun earlier", t, func() {
		const limit, requests = 3 * time.Second, 200
		p := newStopPhase()
		for range requests {
			p.awaitAnswer()
		}
		awaiting, cancelAwaiting := p.requestContext(context.Background(), p.awaitAnswer())
		defer cancelAwaiting()
		wait := p.awaitAnswer()
		wait.end()
		stream, cancelStream := p.requestContext(context.Background(), wait)
		defer cancelStream()
		// The first timer is late.
		times := newStopTimes(time.Now().Add(-limit*2/3-100*time.Millisecond), 0, limit)
		p.begin(times)
		<-awaiting.Done()
		So(context.Cause(awaiting), ShouldEqual, errStopping)
		<-stream.Done()
		So(time.Now(), ShouldHappenOnOrAfter, times.stop.Add(-stopAnswerTime))
		So(context.Cause(stream), ShouldEqual, errStopping)
	})
	Convey("They get their time when they are due late", t, func() {
		p := newStopPhase()
		begunAt := time.Now()
		p.begin(newStopTimes(begunAt.Add(-time.Minute), 0, time.Second))
		<-p.answer.Done()
		<-p.stop.Done()
		So(time.Since(begunAt), ShouldBeGreaterThanOrEqualTo, minAnswerTime)
	})
}

// TestRequestContextEndsWithTheStop guards against requests that hold contexts after their
// end, and against a stop that is taken for a client that has left.
func TestRequestContextEndsWithTheStop(t *testing.T) {
	Convey("The end of the stop is the cause of a request's end", t, func() {
		p := newStopPhase()
		ended, cancelEnded := p.requestContext(context.Background(), p.awaitAnswer())
		cancelEnded()
		active, cancel := p.requestContext(context.Background(), p.awaitAnswer())
		defer cancel()
		p.begin(newStopTimes(time.Now(), 0, 0))
		<-active.Done()
		So(context.Cause(active), ShouldEqual, errStopping)
		So(context.Cause(ended), ShouldEqual, context.Canceled)
		<-p.dispatch.Done()
		<-p.stop.Done()
		So(p.dispatchEnded(), ShouldBeTrue)
	})
}

// TestStopPhasesEndByTheClock guards against a stop that begins work after the time for it,
// because the goroutines and timers that end its phases got no processor time.
func TestStopPhasesEndByTheClock(t *testing.T) {
	Convey("What may be begun depends on the time since the start of the stop alone", t, func() {
		const limit, accept = 9 * time.Minute, 2 * time.Minute
		for _, c := range []struct {
			since                      time.Duration
			acceptEnded, dispatchEnded bool
		}{
			{accept - time.Minute, false, false},
			{accept, true, false},
			{limit/2 + time.Minute, true, false},
			{limit * 2 / 3, true, true},
			{limit + time.Minute, true, true},
		} {
			p := newStopPhase()
			So(p.acceptEnded(), ShouldBeFalse)
			So(p.dispatchEnded(), ShouldBeFalse)
			// No timer and no goroutine takes part.
			p.times.Store(newStopTimes(time.Now().Add(-c.since), accept, limit))
			So(p.acceptEnded(), ShouldEqual, c.acceptEnded)
			So(p.dispatchEnded(), ShouldEqual, c.dispatchEnded)
		}
	})
}
