package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits and delays of attempts and of stream resumes, and the limit of request bodies.
const (
	// maxAttempts limits the attempts of one request, each at another target.
	maxAttempts = 4
	// maxResumes limits the consecutive resumes of a stream that bring no new token.
	maxResumes = 8
	// maxReplaceableResumes and replaceableResumeTimeout (the time since the last new
	// token) apply instead of maxResumes to a generation that another one can
	// replace, so that the replacement starts sooner.
	maxReplaceableResumes    = 4
	replaceableResumeTimeout = 4 * time.Second
	minResumeDelay           = 50 * time.Millisecond
	maxResumeDelay           = time.Second
	// defaultRetryAfter is the retry delay that callers receive with temporary errors.
	defaultRetryAfter      = time.Second
	revokeTimeout          = 2 * time.Second
	maxCompletionBodyBytes = 4 << 20
)

// completionRequest is a caller's completion request while it is in progress. Each
// of its attempts starts a generation, which has its own id, at an agent.
type completionRequest struct {
	*request
	entry      *Entry
	completion *caller.Completion
	meta       *caller.ResponseMeta
	responder  caller.Responder
	tried      map[string]bool
	// fingerprint identifies the content for the quarantine.
	fingerprint string
	attempts    attemptTracker
	// begun is set once a stream has had its first token.
	begun atomic.Bool
	// seeded is set if the request has a seed, so that the tokens of a replay can
	// be compared with the delivered ones.
	seeded bool
}

func (e *Entry) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	if refusal := e.limits.admit(req); refusal != nil {
		result.Write(w, refusal)
		return
	}
	defer e.limits.release(req)
	c, refusal := e.newCompletionRequest(w, r, req, chat)
	if refusal != nil {
		w.Header().Set(caller.HeaderRequestID, req.id)
		result.Write(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.service.Timeout())
	defer cancel()
	begun := &c.begun
	if !c.completion.Stream {
		begun = nil
	}
	ctx, end := e.stop.requestContext(ctx, begun)
	defer end()
	defer e.recordDuration(req)
	if failure := c.run(ctx); failure != nil {
		e.recordRefusal(req, failure)
		cutBegun(ctx, begun)
		c.responder.Fail(failure)
	}
}

// cutBegun ends a stream that has begun, at the end of a stop, without an end and without an error:
// its caller resumes it through another entry. begun is nil for other requests.
func cutBegun(ctx context.Context, begun *atomic.Bool) {
	if begun != nil && begun.Load() && isStopping(ctx) {
		panic(http.ErrAbortHandler)
	}
}

// recordDuration records the duration of a request that has just ended.
func (e *Entry) recordDuration(req *request) {
	e.requestDuration.Record(context.Background(), time.Since(req.arrived).Seconds())
}

// newCompletionRequest parses and checks a completion request and selects the responder
// for its answer.
func (e *Entry) newCompletionRequest(w http.ResponseWriter, r *http.Request, req *request, chat bool) (*completionRequest, *result.Error) {
	body, refusal := caller.ReadBody(w, r, maxCompletionBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	completion, refusal := caller.ParseCompletion(body, chat)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := req.selectService(completion.Service, config.KindModel); refusal != nil {
		return nil, refusal
	}
	if refusal := applyTokenLimit(completion, req.service); refusal != nil {
		return nil, refusal
	}
	meta := &caller.ResponseMeta{Request: req.id, Service: completion.Service, Chat: chat}
	c := &completionRequest{request: req, entry: e, completion: completion, meta: meta, tried: map[string]bool{}}
	c.fingerprint = fingerprint(req.workspace.Name, req.service.Name, completion.Prompt)
	switch {
	case !completion.Stream:
		c.responder = caller.NewBufferedResponder(w, meta)
	case completion.Seed != nil:
		c.responder = newReplayVerifier(caller.NewStreamResponder(w, meta, 0))
		c.seeded = true
	default:
		c.responder = caller.NewStreamResponder(w, meta, 0)
	}
	return c, nil
}

// applyTokenLimit checks prompt and output against the service's token limit. If
// the request sets no output limit, it gets the tokens that the prompt leaves.
func applyTokenLimit(completion *caller.Completion, svc *config.Service) *result.Error {
	remainingTokens := svc.MaxTokens - caller.EstimateTokens(completion.Prompt)
	if remainingTokens <= 0 || completion.MaxTokens > remainingTokens {
		return result.New(result.PromptTooLong, result.RanNo, "prompt and output exceed %d tokens", svc.MaxTokens)
	}
	if completion.MaxTokens == 0 {
		completion.MaxTokens = remainingTokens
	}
	return nil
}

// run attempts the request at one target after another until one completes the
// answer. A failed generation is replaced by a new one at another target if
// no token was delivered, or if the request has a seed, so that the new tokens can
// be compared with the delivered ones.
func (c *completionRequest) run(ctx context.Context) *result.Error {
	var failure *result.Error
	for range maxAttempts {
		if c.entry.stop.refuses() && !c.attempts.mayHaveRun() {
			return stoppingError()
		}
		m, refusal := c.chooseTarget(ctx)
		if refusal != nil && failure == nil {
			return refusal
		}
		if refusal != nil {
			failure = failureToReport(failure, refusal)
			break
		}
		attempt, latest := c.attempt(ctx, m)
		if latest == nil {
			return nil
		}
		failure = failureToReport(failure, latest)
		retried := isRetryable(ctx, latest) && c.entry.limits.takeRetry() && c.responder.DiscardUndelivered()
		c.resolveAttempt(m, attempt, latest, retried)
		c.propagateMarks(ctx, m, latest)
		if !retried || !c.attempts.awaitStop(ctx) {
			break
		}
		c.tried[m.VM.Name] = true
		c.recordRetry(m, latest)
	}
	ran := c.attempts.resolve(c.entry.stop.resolve)
	if ran == result.RanNo && isStopping(ctx) {
		return stoppingError()
	}
	return failure.WithRan(ran).WithDelivered(c.responder.Delivered())
}

// failureToReport returns the error that the caller gets if no further attempt
// completes the answer. That is the latest error, with two exceptions: NoTarget does
// not replace an earlier error, and the error of the attempt that delivered the last
// tokens is kept. Errors that end the request for good are always returned.
func failureToReport(earlier, latest *result.Error) *result.Error {
	if earlier == nil {
		return latest
	}
	switch latest.Code {
	case result.ReplayDiverged, result.Cancelled, result.DeadlineExceeded, result.Quarantined:
		return latest
	}
	if latest.Delivered > earlier.Delivered {
		return latest
	}
	if latest.Code == result.NoTarget || earlier.Delivered > 0 {
		return earlier
	}
	return latest
}

// work describes the request for routing.
func (c *completionRequest) work() decision.Work {
	return decision.Work{
		Workspace: c.workspace.Name, Service: c.service.Name, Model: c.service.Model,
		PromptTokens: caller.EstimateTokens(c.completion.Prompt), MaxTokens: c.completion.MaxTokens, Priority: c.service.Priority,
		Short: c.service.Short, Idempotent: true,
	}
}

// isRetryable reports whether an attempt at another target may succeed.
func isRetryable(ctx context.Context, failure *result.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.Code {
	case result.TargetLeaving, result.NoTarget, result.Overloaded, result.EngineLost, result.AttemptRevoked:
		return true
	}
	return false
}

// attempt runs one generation at one target and relays its tokens to the caller. It returns
// the message that started the generation.
func (c *completionRequest) attempt(ctx context.Context, m *membership.Member) (*peer.Attempt, *result.Error) {
	id := peer.GenerationID(m.VM.Name, m.State.Incarnation, newID(""))
	c.meta.Generation = id
	attempt := c.attemptMessage(id)
	open := func(ctx context.Context) (*peer.FrameStream, error) {
		return c.entry.peerClient.Start(ctx, m.VM.Addr, attempt)
	}
	return attempt, c.entry.relay(ctx, &relay{
		request: c.request, vm: m.VM.Name, addr: m.VM.Addr, generation: id, responder: c.responder, open: open,
		replaceable: c.seeded || c.responder.Delivered() == 0, begun: &c.begun,
	})
}

// resolveAttempt records whether a failed attempt ran. If that is unknown, or if it may still run
// although nobody continues its generation, resolveAttempt revokes it. A generation that another one
// replaces (retried), or that is lost, is cancelled too.
func (c *completionRequest) resolveAttempt(m *membership.Member, attempt *peer.Attempt, failure *result.Error, retried bool) {
	lost := failure.Code == result.EngineLost || failure.Code == result.ReplayDiverged
	if failure.Ran != result.RanUnknown {
		c.attempts.record(failure.Ran)
	}
	if failure.Ran == result.RanUnknown || lost || retried && failure.Ran == result.RanYes {
		c.attempts.addPending(c.entry.revoke(m, peer.Revoke{
			ID: attempt.ID, Incarnation: m.State.Incarnation, Cancel: lost || retried, Generation: attempt.Generation,
		}))
	}
}

// attemptMessage returns the message that starts the generation at an agent.
func (c *completionRequest) attemptMessage(id string) *peer.Attempt {
	return &peer.Attempt{
		ID: c.attemptID("att-"), Request: c.id, Generation: id, Workspace: c.workspace.Name, Service: c.service.Name,
		Model: c.service.Model, Adapter: c.service.Adapter, Priority: c.service.Priority, Weight: c.workspace.Weight,
		Short: c.service.Short, Prompt: c.completion.Prompt, PromptTokens: caller.EstimateTokens(c.completion.Prompt),
		MaxTokens: c.completion.MaxTokens, Seed: c.completion.Seed,
		QueueMillis: c.service.QueueMillis, ResumeMillis: c.service.ResumeMillis, TimeoutMillis: c.service.TimeoutMillis,
		Fingerprint: c.fingerprint, ConfigVersion: c.config.Version, Mark: c.entry.quarantine.Get(c.fingerprint, time.Now()),
	}
}

// unknownGeneration returns the error for generation ids that are forged, belong to
// another workspace or are no longer held by a target. All of them get the same
// error, so that a caller cannot find out which generations exist.
func unknownGeneration() *result.Error {
	return result.New(result.UnknownGeneration, result.RanUnknown, "unknown generation")
}

// findHolder returns the target that the generation id names, or an error if the
// target cannot hold the generation.
func (e *Entry) findHolder(id string) (*membership.Member, *result.Error) {
	unknown := unknownGeneration()
	vm, _, ok := peer.ParseGenerationID(id)
	if !ok {
		return nil, unknown
	}
	m := e.members.Snapshot().Find(vm)
	if m == nil || !canHold(m, id) {
		return nil, unknown
	}
	return m, nil
}

// canHold reports whether a member can hold a generation: it is false if the
// member's agent is known to be another incarnation than the generation id names.
func canHold(m *membership.Member, id string) bool {
	_, incarnation, ok := peer.ParseGenerationID(id)
	return ok && !m.Replaced(incarnation, time.Now())
}

func (e *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusalOfGeneration(refusal))
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	offset, refusal := caller.ResumeOffset(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	id := r.PathValue("id")
	m, refusal := e.findHolder(id)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	responder := caller.NewStreamResponder(w, &caller.ResponseMeta{Request: req.id, Generation: id}, offset)
	begun := &atomic.Bool{}
	ctx, end := e.stop.requestContext(r.Context(), begun)
	defer end()
	failure := e.relay(ctx, &relay{request: req, vm: m.VM.Name, addr: m.VM.Addr, generation: id, responder: responder, begun: begun})
	if failure != nil {
		cutBegun(ctx, begun)
		responder.Fail(failure)
	}
}

func (e *Entry) recordRefusal(req *request, failure *result.Error) {
	d := telemetry.Decision{
		Kind: telemetry.KindRefuse, Request: req.id, Workspace: req.workspace.Name, Generation: failure.GenerationID,
		Choice: "answer with an error", Reason: failure.Name, ConfigVersion: req.config.Version,
	}
	if req.service != nil {
		d.Service = req.service.Name
	}
	e.recorder.Record(d)
}

// recordRetry records that a failed attempt is retried at another target.
func (e *Entry) recordRetry(req *request, m *membership.Member, failure *result.Error) {
	e.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRetry, Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Target: m.VM.Name, Choice: "try another target", Reason: failure.Name, ConfigVersion: req.config.Version,
	})
}

// recordRetry records that a failed attempt is replaced: as a replay if tokens were
// delivered, as a retry otherwise.
func (c *completionRequest) recordRetry(m *membership.Member, failure *result.Error) {
	if c.responder.Delivered() == 0 {
		c.entry.recordRetry(c.request, m, failure)
		return
	}
	c.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindReplay, Request: c.id, Workspace: c.workspace.Name, Service: c.service.Name,
		Generation: c.meta.Generation, Target: m.VM.Name, Choice: "run again and compare", Reason: failure.Name,
		ConfigVersion: c.config.Version,
	})
}

// errCallerDisconnected ends a relay whose caller no longer reads the answer.
var errCallerDisconnected = errors.New("caller disconnected")
