package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/result"
)

// Phases of a graceful stop, as parts of DrainLimit.
const (
	// maxServeFraction is the part in which requests that no target has received are passed on.
	// The rest is left for those in progress.
	maxServeFraction = 2.0 / 3
	// The requests in progress are answered stopAnswerFraction of the limit, and maxStopAnswerTime at
	// most, before the end. Streams that have begun go on until the end.
	stopAnswerFraction = 1.0 / 6
	maxStopAnswerTime  = time.Second
)

// errStopping is the cause of the end of a request that is answered, or a stream that is cut, since
// the stop ends.
var errStopping = errors.New("this process stops")

// stopPhase is the state of a graceful stop. Its contexts end with the phase of the stop that they
// name.
type stopPhase struct {
	// serveUntil is when requests that no target has received are refused, nil before the stop. It
	// is compared with the clock: a timer runs late in a process that gets little processor time.
	serveUntil atomic.Pointer[time.Time]
	// answer ends when the requests in progress must be answered, resolve when they wait for no
	// agent any more, stream when streams are cut.
	answer, resolve, stream          context.Context
	endAnswer, endResolve, endStream context.CancelFunc
}

func newStopPhase() *stopPhase {
	p := &stopPhase{}
	p.answer, p.endAnswer = context.WithCancel(context.Background())
	p.resolve, p.endResolve = context.WithCancel(context.Background())
	p.stream, p.endStream = context.WithCancel(context.Background())
	return p
}

// stopAnswerTime returns the time before the end of a stop at which requests are answered.
func stopAnswerTime(limit time.Duration) time.Duration {
	return min(time.Duration(stopAnswerFraction*float64(limit)), maxStopAnswerTime)
}

// begin starts the phases of a stop whose limit is counted from the given time. It returns a
// function that ends their timers.
func (p *stopPhase) begin(from time.Time, limit time.Duration) (end func()) {
	serveUntil := from.Add(time.Duration(maxServeFraction * float64(limit)))
	p.serveUntil.Store(&serveUntil)
	answerTime := stopAnswerTime(limit)
	timers := []*time.Timer{
		time.AfterFunc(time.Until(from.Add(limit-answerTime)), p.endAnswer),
		time.AfterFunc(time.Until(from.Add(limit-answerTime/2)), p.endResolve),
		time.AfterFunc(time.Until(from.Add(limit)), p.endStream),
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// refuses reports whether requests that no target has received are refused.
func (p *stopPhase) refuses() bool {
	until := p.serveUntil.Load()
	return until != nil && !time.Now().Before(*until)
}

// stoppingError returns the refusal of a request that no target has run.
func stoppingError() *result.Error {
	return result.New(result.TargetLeaving, result.RanNo, "this process stops")
}

// requestContext returns a context that ends with errStopping when a request in progress must be
// answered. A stream goes on until the end of the stop once begun is set; begun is nil for other
// requests. The caller must call cancel.
func (p *stopPhase) requestContext(ctx context.Context, begun *atomic.Bool) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopAnswer := context.AfterFunc(p.answer, func() {
		if begun == nil || !begun.Load() {
			cancelCause(errStopping)
		}
	})
	stopStream := context.AfterFunc(p.stream, func() { cancelCause(errStopping) })
	return ctx, func() {
		stopAnswer()
		stopStream()
		cancelCause(nil)
	}
}

// isStopping reports whether a request's context has ended because the stop ends.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
