package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// call is one caller's request to a plain service while it is in progress.
type call struct {
	*request
	entry      *Entry
	message    peer.Call
	idempotent bool
	// isFirstUse is set if the caller declares that it has not sent the
	// idempotency key before.
	isFirstUse bool
}

func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusalBeforeLookup(r, refusal))
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	if refusal := e.limits.admit(req); refusal != nil {
		result.Write(w, refusalBeforeLookup(r, refusal))
		return
	}
	defer e.limits.release(req)
	defer e.recordDuration(req)
	reply, failure := e.call(w, r, req)
	if failure != nil {
		e.recordRefusal(req, failure)
		result.Write(w, failure)
		return
	}
	for k, v := range reply.Header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (e *Entry) call(w http.ResponseWriter, r *http.Request, req *request) (*peer.Reply, *result.Error) {
	if refusal := req.selectService(r.PathValue("service"), config.KindPlain); refusal != nil {
		return nil, refusal
	}
	c := &call{request: req, entry: e, idempotent: slices.Contains(req.service.IdempotentMethods, r.Method)}
	if !c.idempotent && !slices.Contains(req.service.AtMostOnceMethods, r.Method) {
		return nil, result.New(result.MethodNotDeclared, result.RanNo, "the service does not declare %s", r.Method)
	}
	body, refusal := caller.ReadBody(w, r, req.service.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	c.message = peer.Call{
		Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Priority: req.service.Priority, Weight: req.workspace.Weight,
		Method: r.Method, Path: servicePath(r), Header: forwardedHeaders(r), Body: body, Idempotent: c.idempotent,
		QueueMillis: req.service.QueueMillis, TimeoutMillis: req.service.TimeoutMillis, ConfigVersion: req.config.Version,
	}
	if c.idempotent {
		ctx, cancel := e.stop.requestContext(r.Context(), nil)
		defer cancel()
		return answerBefore(e.stop.resolve, func() (*peer.Reply, *result.Error) { return c.run(ctx) })
	}
	key := r.Header.Get(caller.HeaderIdempotencyKey)
	if key == "" {
		return nil, result.New(result.KeyRequired, result.RanNo, "this call needs an Idempotency-Key")
	}
	c.isFirstUse = isFirstUse(r)
	return answerBefore(e.stop.answer, func() (*peer.Reply, *result.Error) { return c.runAtMostOnce(r.Context(), key) })
}

// answerBefore returns the result of a call, or an error once until has ended. The call may have
// run then: no time is left in the stop to find out.
func answerBefore(until context.Context, run func() (*peer.Reply, *result.Error)) (*peer.Reply, *result.Error) {
	done, panicked := make(chan callResult, 1), make(chan any, 1)
	go func() {
		// The server recovers from a panic of the request's own goroutine only.
		defer func() {
			if p := recover(); p != nil {
				panicked <- p
			}
		}()
		reply, failure := run()
		done <- callResult{reply: reply, failure: failure}
	}()
	select {
	case res := <-done:
		return res.reply, res.failure
	case p := <-panicked:
		panic(p)
	case <-until.Done():
	}
	select {
	case res := <-done:
		return res.reply, res.failure
	default:
		return nil, result.New(result.OutcomeUnknown, result.RanUnknown, "this process stops")
	}
}

// servicePath returns the path below the service's root and the query. Both
// keep the escaping that the caller used.
func servicePath(r *http.Request) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/s/"), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeaders returns the request headers that are forwarded to a plain
// service.
func forwardedHeaders(r *http.Request) map[string]string {
	headers := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept"} {
		if v := r.Header.Get(name); v != "" {
			headers[name] = v
		}
	}
	return headers
}

// run dispatches the call to one target after another until one answers. A call
// that may have started is retried only if it is idempotent.
func (c *call) run(ctx context.Context) (*peer.Reply, *result.Error) {
	tried := map[string]bool{}
	var tracker attemptTracker
	var failure *result.Error
	for range maxAttempts {
		if c.entry.stop.refuses() && !tracker.mayHaveRun() {
			return nil, stoppingError()
		}
		m, refusal := c.entry.routeWithBinding(ctx, c.request, decision.Work{Workspace: c.workspace.Name, Service: c.service.Name, Priority: c.service.Priority, Short: true, Idempotent: c.idempotent}, tried)
		if refusal != nil {
			if failure == nil {
				return nil, refusal
			}
			break
		}
		var reply *peer.Reply
		if c.idempotent {
			reply, failure = c.runHedged(ctx, m, tried)
		} else {
			reply, failure = c.attempt(ctx, m, c.attemptID("call-"))
		}
		if failure == nil {
			return reply, nil
		}
		tracker.record(failure.Ran)
		if ctx.Err() != nil || (!c.idempotent && failure.Ran != result.RanNo) || !c.entry.limits.takeRetry() {
			break
		}
		tried[m.VM.Name] = true
		c.entry.recordRetry(c.request, m, failure)
	}
	return nil, failure.WithRan(tracker.resolve(c.entry.stop.resolve))
}

// attempt dispatches the call to one target under the given attempt id.
func (c *call) attempt(ctx context.Context, m *membership.Member, id string) (*peer.Reply, *result.Error) {
	msg := c.message
	msg.ID = id
	msg.Incarnation = m.State.Incarnation
	attemptCtx, cancel := context.WithTimeout(ctx, c.service.QueueLimit()+c.service.Timeout())
	defer cancel()
	reply, err := c.entry.peerClient.Call(attemptCtx, m.VM.Addr, &msg)
	if err == nil && reply.Load != nil {
		c.entry.members.Report(m.VM.Name, msg.Incarnation, *reply.Load)
	}
	var remoteErr *result.Error
	switch {
	case err == nil && reply.ID != msg.ID:
		c.entry.mismatchedReplies.Add(ctx, 1)
	case err == nil && reply.Error != nil:
		return nil, reply.Error
	case err == nil:
		c.entry.updateLoad(m.VM.Name, reply.Load)
		return reply, nil
	case errors.As(err, &remoteErr):
		return nil, remoteErr
	case peer.NotSent(err):
		return nil, result.New(result.NoTarget, result.RanNo, "the target does not accept connections").RetryAfter(defaultRetryAfter)
	}
	return nil, c.resolveLostReply(m, &msg)
}

// resolveLostReply revokes a call whose reply did not arrive and returns an
// error that states whether the call may have run.
func (c *call) resolveLostReply(m *membership.Member, msg *peer.Call) *result.Error {
	outcome := <-c.entry.revoke(m, peer.Revoke{ID: msg.ID, Incarnation: msg.Incarnation})
	if outcome.ran == result.RanNo {
		return result.New(result.AttemptRevoked, result.RanNo, "the call was withdrawn before it began")
	}
	return result.New(result.OutcomeUnknown, result.RanUnknown, "the target did not answer")
}
