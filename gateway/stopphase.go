package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/result"
)

// Phases of a graceful stop, as parts of the limit of the whole stop. Requests are accepted
// first, then only the accepted ones are served.
const (
	// maxAcceptFraction limits the time in which requests are accepted, so that they have
	// the rest to be served.
	maxAcceptFraction = 1.0 / 3
	// maxDispatchFraction ends the time in which a request that no target has received is
	// passed on. Later it might be cut off, while another gateway can serve it.
	maxDispatchFraction = 2.0 / 3
	// stopAnswerTime is the time before the end of the stop at which the requests in
	// progress are answered. It lets a process with little processor time write the answers.
	// Such a process takes requestAnswerTime more for each request that awaits its answer. In
	// all it is maxAnswerFraction of the limit at most. Streams that have begun are cut
	// stopAnswerTime before the end, also there.
	stopAnswerTime    = 400 * time.Millisecond
	requestAnswerTime = 2 * time.Millisecond
	maxAnswerFraction = 1 - maxDispatchFraction
	// A process gets little processor time if a part of its timers of answerCheckPeriod, and
	// not single ones, are late by more than maxTimerDelay. Quotas of processor time hold for
	// periods of 100 ms.
	answerCheckPeriod = 50 * time.Millisecond
	maxTimerDelay     = 20 * time.Millisecond
	minLateTimers     = 4
	minLateFraction   = 1.0 / 4
	// minAnswerTime is the time for these answers in a process that did not run when they
	// were due.
	minAnswerTime = 100 * time.Millisecond
)

// errStopping ends what can't be completed before the process ends.
var errStopping = errors.New("this process stops")

// stopPhase is the state of a graceful stop. Its contexts are active until the phase of the
// stop that they name, and end later than it in a process with little processor time. What
// may still be begun is decided by the clock.
type stopPhase struct {
	times atomic.Pointer[stopTimes]
	// awaiting is the number of requests whose answer has not begun.
	awaiting                         atomic.Int64
	dispatch, answer, streams, stop  context.Context
	endDispatch, endStreams, endStop context.CancelFunc
	endAnswer                        context.CancelCauseFunc
}

// stopTimes holds the limit of a stop and the ends of its phases.
type stopTimes struct {
	limit                  time.Duration
	accept, dispatch, stop time.Time
}

// newStopTimes returns the times of a stop that began at startedAt.
func newStopTimes(startedAt time.Time, balancerGrace, limit time.Duration) *stopTimes {
	return &stopTimes{
		limit:    limit,
		accept:   startedAt.Add(acceptTime(balancerGrace, limit)),
		dispatch: startedAt.Add(time.Duration(maxDispatchFraction * float64(limit))),
		stop:     startedAt.Add(limit),
	}
}

// timerCount counts timers and those of them that were late.
type timerCount struct{ all, late int }

// add counts a timer that was due at dueAt and runs now.
func (c *timerCount) add(now, dueAt time.Time) {
	c.all++
	if now.Sub(dueAt) > maxTimerDelay {
		c.late++
	}
}

// isSlow reports whether the process gets little processor time.
func (c *timerCount) isSlow() bool {
	return c.late >= minLateTimers && float64(c.late) >= minLateFraction*float64(c.all)
}

// untilAnswer returns how long after now the requests in progress must be answered if so many of
// them take requestAnswerTime.
func (t *stopTimes) untilAnswer(now time.Time, slow int64) time.Duration {
	return t.stop.Add(-answerTime(t.limit, slow)).Sub(now)
}

func newStopPhase() *stopPhase {
	p := &stopPhase{}
	p.dispatch, p.endDispatch = context.WithCancel(context.Background())
	p.answer, p.endAnswer = context.WithCancelCause(context.Background())
	p.streams, p.endStreams = context.WithCancel(context.Background())
	p.stop, p.endStop = context.WithCancel(context.Background())
	return p
}

// begin starts the phases of a stop.
func (p *stopPhase) begin(times *stopTimes) {
	p.times.Store(times)
	time.AfterFunc(time.Until(times.dispatch), func() {
		p.endDispatch()
		p.answerWhenDue(times, times.dispatch, timerCount{})
	})
}

// answerWhenDue ends the phase in which requests in progress may take their time. It was due at
// dueAt; timers counts those before it.
func (p *stopPhase) answerWhenDue(times *stopTimes, dueAt time.Time, timers timerCount) {
	now := time.Now()
	timers.add(now, dueAt)
	slow := int64(0)
	if timers.isSlow() {
		slow = p.awaiting.Load()
	}
	if wait := min(times.untilAnswer(now, slow), answerCheckPeriod); wait > 0 {
		time.AfterFunc(wait, func() { p.answerWhenDue(times, now.Add(wait), timers) })
		return
	}
	p.endAnswer(errStopping)
	// An earlier cut of streams would not help the answers.
	time.AfterFunc(times.untilAnswer(now, 0), func() {
		p.endStreams()
		time.AfterFunc(max(time.Until(times.stop), minAnswerTime), p.endStop)
	})
}

// answerWait is the wait of a request for the begin of its answer.
type answerWait struct {
	phase *stopPhase
	begun atomic.Bool
}

// awaitAnswer counts a request that awaits its answer until the wait ends.
func (p *stopPhase) awaitAnswer() *answerWait {
	p.awaiting.Add(1)
	return &answerWait{phase: p}
}

// end records that the answer has begun. It may be called again, and on nil.
func (a *answerWait) end() {
	if a != nil && !a.begun.Swap(true) {
		a.phase.awaiting.Add(-1)
	}
}

// acceptEnded reports whether requests that have not been accepted are refused.
func (p *stopPhase) acceptEnded() bool {
	times := p.times.Load()
	return times != nil && !time.Now().Before(times.accept)
}

// dispatchEnded reports whether requests that no target has received are refused.
func (p *stopPhase) dispatchEnded() bool {
	times := p.times.Load()
	return times != nil && !time.Now().Before(times.dispatch)
}

// stoppingError returns the error for a request that the stopping process refuses. No
// target has run it.
func stoppingError() *result.Error {
	return result.New(result.TargetLeaving, result.RanNo, "this process stops").RetryAfter(stoppingRetryAfter)
}

// requestContext returns a context for a request that ends with the cause errStopping when
// the requests in progress must be answered, or, if its answer has begun, when streams are cut.
// The caller must call cancel.
func (p *stopPhase) requestContext(ctx context.Context, wait *answerWait) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopAnswer := context.AfterFunc(p.answer, func() {
		if !wait.begun.Load() {
			cancelCause(errStopping)
		}
	})
	stopStreams := context.AfterFunc(p.streams, func() { cancelCause(errStopping) })
	return ctx, func() {
		stopAnswer()
		stopStreams()
		cancelCause(nil)
	}
}

// acceptTime returns how long a stop with the given limit accepts requests.
func acceptTime(balancerGrace, limit time.Duration) time.Duration {
	return min(balancerGrace, time.Duration(maxAcceptFraction*float64(limit)))
}

// answerTime returns how long before the end of a stop with the given limit the requests in
// progress are answered if so many of them take requestAnswerTime.
func answerTime(limit time.Duration, slow int64) time.Duration {
	return min(stopAnswerTime+time.Duration(slow)*requestAnswerTime, time.Duration(maxAnswerFraction*float64(limit)))
}
