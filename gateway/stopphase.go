package gateway

import (
	"context"
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
	// progress are answered.
	stopAnswerTime = 150 * time.Millisecond
)

// errStopping ends what can't be completed before the process ends.
var errStopping = errors.New("this process stops")

// stopPhase is the state of a graceful stop. Its contexts are active until the phase of the
// stop that they name.
type stopPhase struct {
	dispatch, answer context.Context
	endDispatch      context.CancelFunc
	endAnswer        context.CancelCauseFunc
}

func newStopPhase() *stopPhase {
	p := &stopPhase{}
	p.dispatch, p.endDispatch = context.WithCancel(context.Background())
	p.answer, p.endAnswer = context.WithCancelCause(context.Background())
	return p
}

// begin starts the phases of a stop that lasts for limit.
func (p *stopPhase) begin(limit time.Duration) {
	time.AfterFunc(time.Duration(maxDispatchFraction*float64(limit)), p.endDispatch)
	time.AfterFunc(max(limit-stopAnswerTime, 0), func() { p.endAnswer(errStopping) })
}

// dispatchEnded reports whether requests that no target has received are refused.
func (p *stopPhase) dispatchEnded() bool { return p.dispatch.Err() != nil }

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
