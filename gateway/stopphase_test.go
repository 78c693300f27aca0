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
			answer := times.untilAnswer(times.stop, 0)
			So(-answer, ShouldEqual, min(stopAnswerTime, limit/3))
			So(times.stop.Add(answer), ShouldHappenOnOrAfter, times.dispatch)
		}
	})
	Convey("Each slow answer adds to their time, within the last third", t, func() {
		const limit = defaultStopLimit - stopMargin
		times := newStopTimes(time.Now(), defaultBalancerGrace, limit)
		for slow, before := range map[int64]time.Duration{
			0: stopAnswerTime, 250: stopAnswerTime + 250*requestAnswerTime, 1_000_000: answerTime(limit, 1_000_000),
		} {
			answer := times.untilAnswer(times.stop, slow)
			So(-answer, ShouldEqual, before)
			So(times.stop.Add(answer), ShouldHappenOnOrAfter, times.dispatch)
		}
	})
	Convey("Answers are slow in a process whose timers are late, not only now and then", t, func() {
		const onTime, late = maxTimerDelay, maxTimerDelay + 1
		now := time.Now()
		for _, c := range []struct {
			delays []time.Duration
			isSlow bool
		}{
			{nil, false},
			{[]time.Duration{late, late, late}, false},
			{[]time.Duration{late, late, late, late}, true},
			{[]time.Duration{onTime, onTime, onTime, onTime}, false},
			{[]time.Duration{late, onTime, onTime, onTime, late, onTime, onTime, onTime, late, onTime, onTime, onTime, late, onTime, onTime, onTime}, true},
			{[]time.Duration{late, onTime, onTime, onTime, late, onTime, onTime, onTime, late, onTime, onTime, onTime, late, onTime, onTime, onTime, onTime}, false},
		} {
			var timers timerCount
			for _, delay := range c.delays {
				timers.add(now, now.Add(-delay))
			}
			So(timers.isSlow(), ShouldEqual, c.isSlow)
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
	Convey("They get their time when they are due late", t, func() {
		p := newStopPhase()
		begunAt := time.Now()
		p.begin(newStopTimes(begunAt.Add(-time.Minute), 0, time.Second))
		<-p.answer.Done()
		<-p.stop.Done()
		So(time.Since(begunAt), ShouldBeGreaterThanOrEqualTo, minAnswerTime)
	})
}

// TestSlowAnswersCutNoStreamEarlier guards against streams that a stop cuts early because the answers
// to other requests take their time.
func TestSlowAnswersCutNoStreamEarlier(t *testing.T) {
	Convey("A stream that has begun is cut later than slow answers are due", t, func() {
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
		times := newStopTimes(time.Now().Add(-limit*2/3-100*time.Millisecond), 0, limit)
		p.answerWhenDue(times, times.dispatch, timerCount{all: minLateTimers, late: minLateTimers})
		<-awaiting.Done()
		So(context.Cause(awaiting), ShouldEqual, errStopping)
		<-stream.Done()
		So(time.Now(), ShouldHappenOnOrAfter, times.stop.Add(-stopAnswerTime))
		So(context.Cause(stream), ShouldEqual, errStopping)
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
