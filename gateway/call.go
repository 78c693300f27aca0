package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// maxResponseBytes limits the response to a non-streaming request, which is
// buffered completely before its header is sent to the client.
const maxResponseBytes = 8 << 20

// Limits of what is buffered of responses at the same time: maxBufferedBytes for all of
// them, of which the first freeBufferBytes of each do not count.
const (
	maxBufferedBytes = 16 << 20
	freeBufferBytes  = 64 << 10
)

// maxDispatches limits the dispatches of one request, including those to
// targets that did not run it. Failovers of a stream may exceed it.
const maxDispatches = 4

// serveCall serves a call, which is a non-streaming request.
func (g *Gateway) serveCall(ctx context.Context, w http.ResponseWriter, req *request) {
	req.triedTargets = map[string]bool{}
	var last outcome
	executions := 0
	for n := 0; n < maxDispatches; n++ {
		if !req.body.Reuse() {
			telemetry.Info(g.opts.Logger, "retry", "request", req.ID, "route", req.route.Name, "after", last.describe(), "allowed", "body dropped", "ran", executions)
			break
		}
		t := g.awaitTarget(ctx, req, req.triedTargets)
		if t == nil && req.route.Kind == routing.Idempotent {
			t = g.chooseTarget(req, nil)
		}
		if t == nil {
			break
		}
		if executions == 0 && g.stopPhase.dispatchEnded() {
			last = outcome{target: t, err: errStopping}
			break
		}
		if n > 0 && last.sent && !g.mayRetry(req, last, executions) {
			break
		}
		repeated := req.triedTargets[t.ID]
		req.triedTargets[t.ID] = true
		last = g.dispatchCall(ctx, req, t)
		if errors.Is(last.err, errTargetCold) {
			if !req.maySearchOn(time.Now()) {
				break
			}
			if !repeated {
				n--
			}
		}
		if last.sent && !last.notRun {
			executions++
		}
		if last.isFinal(req) || ctx.Err() != nil {
			break
		}
	}
	g.respondCall(ctx, w, req, last, executions)
}

// mayRetry reports whether a request may be dispatched again. The argument
// executions is the number of attempts in which a target may have run the
// request. If it is below the route's limit, mayRetry takes the retry from the
// budget.
func (g *Gateway) mayRetry(req *request, last outcome, executions int) bool {
	retryVerdict := "yes"
	switch {
	case executions >= req.route.MaxAttempts:
		retryVerdict = "attempt limit reached"
	case !g.retryBudgets.spendRetry(req.service.Name):
		retryVerdict = "retry budget exhausted"
	}
	telemetry.Info(g.opts.Logger, "retry", "request", req.ID, "route", req.route.Name, "after", last.describe(), "allowed", retryVerdict, "ran", executions)
	return retryVerdict == "yes"
}

// outcome is the result of one attempt.
type outcome struct {
	target   *registry.Target
	resp     *http.Response
	body     []byte
	respMeta ResponseMeta
	err      error
	// sent is set if the target may have received the request, notRun if the
	// target states that it did not run the request.
	sent   bool
	notRun bool
}

func (o *outcome) describe() string {
	if o.err != nil {
		return o.err.Error()
	}
	if o.resp != nil {
		return o.resp.Status
	}
	return "no target"
}

// isFinal reports whether the outcome allows no further attempt.
func (o *outcome) isFinal(req *request) bool {
	if !o.sent || o.notRun {
		return false
	}
	if req.route.Kind != routing.Idempotent {
		return true
	}
	return o.err == nil && o.resp.StatusCode < http.StatusInternalServerError
}

// dispatchCall dispatches a call to a target and reads its complete response.
func (g *Gateway) dispatchCall(ctx context.Context, req *request, t *registry.Target) outcome {
	t.Load.Requests.Add(1)
	defer t.Load.Requests.Add(-1)
	at, err := g.startAttempt(ctx, req, t, AttemptMeta{})
	o := outcome{target: t, sent: at.sent, resp: at.resp, respMeta: at.respMeta, err: err}
	complete := false
	defer func() { g.release(at, complete) }()
	if err != nil {
		g.recordFailure(ctx, req, &o)
		if at.sent && ctx.Err() == nil {
			g.checkCrash(req, t, 0, false)
		}
		return o
	}
	buffered := g.responseBuffer.NewReader(at.resp.Body)
	// The pieces and the whole body exist at the same time.
	buffered.Hold = func(bytes int64) { req.conn.Hold(2 * bytes) }
	defer buffered.Release()
	if o.body, o.err = httpwire.ReadBody(buffered, maxResponseBytes); o.err != nil {
		g.recordFailure(ctx, req, &o)
		return o
	}
	if o.respMeta.NotRun && at.conn.Buffered() > 0 {
		o.err = errUntrustedRefusal
		g.recordFailure(ctx, req, &o)
		return o
	}
	complete = true
	o.notRun = o.respMeta.NotRun
	if !o.respMeta.Signed && !o.notRun {
		o.err = errUnsignedResponse
		g.recordFailure(ctx, req, &o)
		return o
	}
	if o.respMeta.WrongTarget {
		g.targets.MarkLeaving(t.ID, t.StartMillis, "its address belongs to another target")
	}
	if o.resp.StatusCode < http.StatusInternalServerError {
		g.clearSuspect(req)
	}
	g.metrics.recordAttempt(req.service.Name, http.StatusText(o.resp.StatusCode))
	return o
}

func (g *Gateway) recordFailure(ctx context.Context, req *request, o *outcome) {
	g.metrics.recordAttempt(req.service.Name, "failed")
	telemetry.Info(g.opts.Logger, "attempt failed", "request", req.ID, "target", o.target.ID, "addr", o.target.Addr,
		"err", o.err, "sent", o.sent, "client", context.Cause(ctx), "remaining_ms", req.remaining(time.Now()).Milliseconds())
}

// respondCall responds to a client with the outcome of the last attempt. The
// argument executions is the number of attempts in which a target may have run
// the request.
func (g *Gateway) respondCall(ctx context.Context, w http.ResponseWriter, req *request, o outcome, executions int) {
	switch {
	case ctx.Err() != nil && (o.resp == nil || o.err != nil):
		g.respondError(w, req, g.contextError(ctx, executions > 0))
	case errors.Is(o.err, errStopping) && executions == 0:
		g.respondError(w, req, stoppingError())
	case o.target == nil:
		g.respondError(w, req, g.unavailableError(req, result.New(result.NoTarget, result.RanNo, "no target serves this").RetryAfter(noTargetRetryAfter)))
	case o.err != nil && o.sent:
		g.respondError(w, req, result.New(result.OutcomeUnknown, result.RanUnknown, "the target's answer was lost"))
	case o.err != nil && executions > 0:
		g.respondError(w, req, result.New(result.TargetFailed, result.RanYes, "no target answered"))
	case o.err != nil:
		g.respondError(w, req, g.unavailableError(req, result.New(result.NoTarget, result.RanNo, "no target could be reached").RetryAfter(noTargetRetryAfter)))
	case o.notRun && executions == 0:
		g.respondError(w, req, g.unavailableError(req, result.New(result.Overloaded, result.RanNo, "all targets are full").RetryAfter(overloadedRetryAfter)))
	case !canRelayStatus(o, req, executions):
		g.respondError(w, req, result.New(result.TargetFailed, result.RanYes, "the target failed"))
	default:
		g.writeResponse(w, req, o)
	}
}

// canRelayStatus reports whether a response may be relayed to the client. A status
// that means that the request did not run is relayed only if the route is
// idempotent and no attempt may have run the request.
func canRelayStatus(o outcome, req *request, executions int) bool {
	switch o.resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return req.route.Kind == routing.Idempotent && executions == 0
	}
	return true
}

// Delays after which clients are asked to retry: noTargetRetryAfter if no target
// can be reached, overloadedRetryAfter if all targets that were tried rejected
// the request.
const (
	noTargetRetryAfter   = 500 * time.Millisecond
	overloadedRetryAfter = 400 * time.Millisecond
)

// contextError returns the error for a request whose context has ended, because
// the client disconnected, the deadline passed or the process stops.
func (g *Gateway) contextError(ctx context.Context, mayHaveRun bool) *result.Error {
	ran := result.RanNo
	if mayHaveRun {
		ran = result.RanUnknown
	}
	switch stopping := errors.Is(context.Cause(ctx), errStopping); {
	case stopping && mayHaveRun:
		return result.New(result.OutcomeUnknown, ran, "this process stops before the target's answer")
	case stopping:
		return stoppingError()
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.Cancelled, ran, "the client left")
	}
	return result.New(result.DeadlineExceeded, ran, "the request's time ran out")
}

func (g *Gateway) writeResponse(w http.ResponseWriter, req *request, o outcome) {
	// The body counts until the client has read it.
	req.conn.Hold(int64(len(o.body)))
	defer req.conn.HoldQuietly(-int64(len(o.body)))
	copyResponseHeader(w, o.resp)
	w.WriteHeader(o.resp.StatusCode)
	_, err := w.Write(o.body)
	completion := "complete"
	if err != nil {
		completion = "client left"
	}
	timing := telemetry.OnTime
	if req.route.TargetLatency > 0 && time.Since(req.arrivedAt) > req.route.TargetLatency {
		timing = telemetry.AnswerLate
	}
	g.recordResponse(req, o.target.ID, o.resp.StatusCode, completion, "timing", timing, "bytes", len(o.body))
}
