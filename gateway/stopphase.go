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
	// In a short stop it is maxAnswerFraction of the limit.
	stopAnswerTime    = 400 * time.Millisecond
	maxAnswerFraction = 1 - maxDispatchFraction
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
	times                  atomic.Pointer[stopTimes]
	dispatch, answer, stop context.Context
	endDispatch, endStop   context.CancelFunc
	endAnswer              context.CancelCauseFunc
}

// stopTimes holds the ends of the phases of a stop.
type stopTimes struct{ accept, dispatch, answer, stop time.Time }

// newStopTimes returns the times of a stop that began at startedAt.
func newStopTimes(startedAt time.Time, balancerGrace, limit time.Duration) *stopTimes {
	return &stopTimes{
		accept:   startedAt.Add(acceptTime(balancerGrace, limit)),
		dispatch: startedAt.Add(time.Duration(maxDispatchFraction * float64(limit))),
		answer:   startedAt.Add(limit - answerTime(limit)),
		stop:     startedAt.Add(limit),
	}
}

func newStopPhase() *stopPhase {
	p := &stopPhase{}
	p.dispatch, p.endDispatch = context.WithCancel(context.Background())
	p.answer, p.endAnswer = context.WithCancelCause(context.Background())
	p.stop, p.endStop = context.WithCancel(context.Background())
	return p
}

// begin starts the phases of a stop.
func (p *stopPhase) begin(times *stopTimes) {
	p.times.Store(times)
	time.AfterFunc(time.Until(times.dispatch), p.endDispatch)
	time.AfterFunc(time.Until(times.answer), func() {
		p.endAnswer(errStopping)
		time.AfterFunc(max(time.Until(times.stop), minAnswerTime), p.endStop)
	})
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
// the requests in progress must be answered. The caller must call cancel.
func (p *stopPhase) requestContext(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.answer, func() { cancelCause(errStopping) })
	return ctx, func() {
		stop()
		cancelCause(nil)
	}
}

// acceptTime returns how long a stop with the given limit accepts requests.
func acceptTime(balancerGrace, limit time.Duration) time.Duration {
	return min(balancerGrace, time.Duration(maxAcceptFraction*float64(limit)))
}

// answerTime returns how long before the end of a stop with the given limit the requests in
// progress are answered.
func answerTime(limit time.Duration) time.Duration {
	return min(stopAnswerTime, time.Duration(maxAnswerFraction*float64(limit)))
}
