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

// maxAnswerBytes bounds the answer of a plain service, which is kept whole
// before the client gets its head.
const maxAnswerBytes = 8 << 20

// maxPlacements bounds the targets that are asked for one request, including
// those that do not run it.
const maxPlacements = 4

// call serves a request of a plain service.
func (g *Gateway) call(ctx context.Context, w http.ResponseWriter, req *request) {
	req.tried = map[string]bool{}
	var last outcome
	ran := 0
	for n := range maxPlacements {
		t := g.place(req, req.tried)
		if t == nil && req.route.Kind == routing.Idempotent {
			t = g.place(req, nil)
		}
		if t == nil {
			break
		}
		if n > 0 && last.sent && !g.retry(req, last, ran) {
			break
		}
		req.tried[t.ID] = true
		last = g.try(ctx, req, t)
		if last.sent && !last.notRun {
			ran++
		}
		if last.final(req) || ctx.Err() != nil {
			break
		}
	}
	g.answerCall(ctx, w, req, last, ran)
}

// retry reports whether a request may be sent to another target.
func (g *Gateway) retry(req *request, last outcome, ran int) bool {
	allowed := "yes"
	switch {
	case ran >= req.route.MaxAttempts:
		allowed = "attempts used up"
	case !g.budgets.take(req.service.Name):
		allowed = "budget used up"
	}
	telemetry.Info(g.o.Logger, "retry", "request", req.ID, "route", req.route.Name, "after", last.describe(), "allowed", allowed, "ran", ran)
	return allowed == "yes"
}

// outcome is what came of one attempt of a call.
type outcome struct {
	target *registry.Target
	resp   *http.Response
	body   []byte
	answer Answer
	err    error
	// sent is set if the target may have got the request, notRun if it states
	// that it did not run it.
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

// final reports whether the outcome ends the request.
func (o *outcome) final(req *request) bool {
	if !o.sent || o.notRun {
		return false
	}
	if req.route.Kind != routing.Idempotent {
		return true
	}
	return o.err == nil && o.resp.StatusCode < http.StatusInternalServerError
}

// try sends a call to a target and reads its whole answer.
func (g *Gateway) try(ctx context.Context, req *request, t *registry.Target) outcome {
	t.Account.Requests.Add(1)
	defer t.Account.Requests.Add(-1)
	at, err := g.send(ctx, req, t, Attempt{})
	o := outcome{target: t, sent: at.sent, resp: at.resp, answer: at.answer, err: err}
	complete := false
	defer func() { g.release(at, complete) }()
	if err != nil {
		g.failed(ctx, req, &o)
		if at.sent && ctx.Err() == nil {
			g.brokenOff(req, t)
		}
		return o
	}
	if o.body, o.err = httpwire.ReadBody(at.resp.Body, maxAnswerBytes); o.err != nil {
		g.failed(ctx, req, &o)
		return o
	}
	complete = true
	o.notRun = o.answer.NotRun
	if !o.answer.Signed && !o.notRun {
		o.err = errUnsigned
		g.failed(ctx, req, &o)
		return o
	}
	if o.answer.WrongTarget {
		g.targets.Leaving(t.ID, t.Born, "another target has its address")
	}
	if o.resp.StatusCode < http.StatusInternalServerError {
		g.ranWell(req)
	}
	g.metrics.attempted(req.service.Name, http.StatusText(o.resp.StatusCode))
	return o
}

func (g *Gateway) failed(ctx context.Context, req *request, o *outcome) {
	g.metrics.attempted(req.service.Name, "failed")
	telemetry.Info(g.o.Logger, "attempt failed", "request", req.ID, "target", o.target.ID, "addr", o.target.Addr,
		"err", o.err, "sent", o.sent, "client", context.Cause(ctx), "remaining_ms", req.remaining(time.Now()).Milliseconds())
}

// answerCall answers a client with the last outcome.
func (g *Gateway) answerCall(ctx context.Context, w http.ResponseWriter, req *request, o outcome, ran int) {
	switch {
	case ctx.Err() != nil && (o.resp == nil || o.err != nil):
		g.refuse(w, req, g.expired(ctx, ran > 0))
	case o.target == nil:
		g.refuse(w, req, result.New(result.NoTarget, result.RanNo, "no target serves this").RetryAfter(noTargetRetry))
	case o.err != nil && o.sent:
		g.refuse(w, req, result.New(result.OutcomeUnknown, result.RanUnknown, "the target's answer was lost"))
	case o.err != nil && ran > 0:
		g.refuse(w, req, result.New(result.TargetFailed, result.RanYes, "no target answered"))
	case o.err != nil:
		g.refuse(w, req, result.New(result.NoTarget, result.RanNo, "no target could be reached").RetryAfter(noTargetRetry))
	case o.notRun && ran == 0:
		g.refuse(w, req, result.New(result.Overloaded, result.RanNo, "all targets are full").RetryAfter(overloadRetry))
	case !truthful(o, req, ran):
		g.refuse(w, req, result.New(result.TargetFailed, result.RanYes, "the target failed"))
	default:
		g.pass(w, req, o)
	}
}

// truthful reports whether an answer may be passed on. A status that promises
// that the work did not run is passed only if that is so.
func truthful(o outcome, req *request, ran int) bool {
	switch o.resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return req.route.Kind == routing.Idempotent && ran == 0
	}
	return true
}

// When a client may come back.
const (
	noTargetRetry = 500 * time.Millisecond
	overloadRetry = 400 * time.Millisecond
)

func (g *Gateway) expired(ctx context.Context, ran bool) *result.Error {
	state := result.RanNo
	if ran {
		state = result.RanUnknown
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.Cancelled, state, "the client left")
	}
	return result.New(result.DeadlineExceeded, state, "the request's time ran out")
}

func (g *Gateway) pass(w http.ResponseWriter, req *request, o outcome) {
	copyAnswer(w, o.resp)
	w.WriteHeader(o.resp.StatusCode)
	_, err := w.Write(o.body)
	verdict := "complete"
	if err != nil {
		verdict = "client left"
	}
	timing := telemetry.OnTime
	if req.route.Target > 0 && time.Since(req.arrived) > req.route.Target {
		timing = telemetry.AnswerLate
	}
	g.finish(req, o.target.ID, o.resp.StatusCode, verdict, "timing", timing, "bytes", len(o.body))
}
