package entry

import (
	"context"
	"net/http"
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

// Retry bounds.
const (
	maxAttempts = 4
	maxResumes  = 8
	// A generation that another one can replace is given up sooner.
	maxReplaceableResumes = 4
	replaceablePatience   = 4 * time.Second
	resumeDelay           = 50 * time.Millisecond
	maxResumeDelay        = time.Second
	retryNoTarget         = time.Second
	revokeTimeout         = 2 * time.Second
	maxCompletionBody     = 4 << 20
)

// generation is a caller's request for a generation in progress.
type generation struct {
	*request
	entry     *Entry
	ask       *caller.Completion
	meta      *caller.Meta
	responder caller.Responder
	tried     map[string]bool
	// fingerprint identifies the content.
	fingerprint string
	attempts    attempts
	// seeded is set if a second run can be compared with the first.
	seeded bool
}

func (e *Entry) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	if refusal := e.limits.enter(req); refusal != nil {
		result.Write(w, refusal)
		return
	}
	defer e.limits.leave(req)
	g, refusal := e.newGeneration(w, r, req, chat)
	if refusal != nil {
		w.Header().Set(caller.HeaderRequestID, req.id)
		result.Write(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.service.Timeout())
	defer cancel()
	defer e.observe(req)
	if failure := g.run(ctx); failure != nil {
		g.responder.Fail(failure)
		e.recordRefusal(req, failure)
	}
}

// observe records the duration of a request that ends now.
func (e *Entry) observe(req *request) {
	e.duration.Record(context.Background(), time.Since(req.arrived).Seconds())
}

func (e *Entry) newGeneration(w http.ResponseWriter, r *http.Request, req *request, chat bool) (*generation, *result.Error) {
	body, refusal := caller.ReadBody(w, r, maxCompletionBody)
	if refusal != nil {
		return nil, refusal
	}
	ask, refusal := caller.ParseCompletion(body, chat)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := req.choose(ask.Service, config.KindModel); refusal != nil {
		return nil, refusal
	}
	if refusal := bound(ask, req.service); refusal != nil {
		return nil, refusal
	}
	meta := &caller.Meta{Request: req.id, Service: ask.Service, Chat: chat}
	g := &generation{request: req, entry: e, ask: ask, meta: meta, tried: map[string]bool{}}
	g.fingerprint = fingerprint(req.workspace.Name, req.service.Name, ask.Prompt)
	switch {
	case !ask.Stream:
		g.responder = caller.NewWhole(w, meta)
	case ask.Seed != nil:
		g.responder = newVerified(caller.NewStream(w, meta, 0))
		g.seeded = true
	default:
		g.responder = caller.NewStream(w, meta, 0)
	}
	return g, nil
}

// bound applies the service's limit on prompt and output together.
func bound(ask *caller.Completion, svc *config.Service) *result.Error {
	room := svc.MaxTokens - caller.EstimateTokens(ask.Prompt)
	if room <= 0 || ask.MaxTokens > room {
		return result.New(result.PromptTooLong, result.RanNo, "prompt and output exceed %d tokens", svc.MaxTokens)
	}
	if ask.MaxTokens == 0 {
		ask.MaxTokens = room
	}
	return nil
}

// run tries targets until one generates the answer. A lost generation is
// replaced by a new one elsewhere if nothing of it was delivered, or if the
// request has a seed, so that the new one can be compared with it.
func (g *generation) run(ctx context.Context) *result.Error {
	var failure *result.Error
	for range maxAttempts {
		m, refusal := g.choose(ctx)
		if refusal != nil && failure == nil {
			return refusal
		}
		if refusal != nil {
			failure = g.conclude(failure, refusal)
			break
		}
		next := g.attempt(ctx, m)
		if next == nil {
			return nil
		}
		failure = g.conclude(failure, next)
		g.learn(ctx, m, next)
		if !mayRetry(ctx, next) || !g.entry.limits.mayRetry() || !g.responder.Restart() {
			break
		}
		g.tried[m.VM.Name] = true
		g.recordRetry(m, next)
	}
	return failure.WithRan(g.attempts.verdict())
}

// conclude returns the failure to report if no further attempt answers. Once
// tokens were delivered, that they could not be continued is what counts.
func (g *generation) conclude(earlier, next *result.Error) *result.Error {
	if earlier == nil {
		return next
	}
	switch next.Code {
	case result.ReplayDiverged, result.Cancelled, result.DeadlineExceeded, result.Quarantined:
		return next
	}
	if next.Code == result.NoTarget || g.responder.Delivered() > 0 || earlier.Delivered > 0 {
		return earlier
	}
	return next
}

func (g *generation) work() decision.Work {
	return decision.Work{
		Workspace: g.workspace.Name, Service: g.service.Name, Model: g.service.Model,
		PromptTokens: caller.EstimateTokens(g.ask.Prompt), MaxTokens: g.ask.MaxTokens, Priority: g.service.Priority,
		Short: g.service.Short, Idempotent: true,
	}
}

// mayRetry reports whether another target may succeed.
func mayRetry(ctx context.Context, failure *result.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.Code {
	case result.TargetLeaving, result.NoTarget, result.Overloaded, result.EngineLost, result.AttemptRevoked:
		return true
	}
	return false
}

// attempt runs one generation at one target.
func (g *generation) attempt(ctx context.Context, m *membership.Member) *result.Error {
	id := peer.GenerationID(m.VM.Name, m.State.Incarnation, newID(""))
	g.meta.Generation = id
	attempt := g.message(id)
	open := func(ctx context.Context) (*peer.Stream, error) { return g.entry.peers.Start(ctx, m.VM.Addr, attempt) }
	failure := g.entry.relay(ctx, &relay{
		request: g.request, vm: m.VM.Name, addr: m.VM.Addr, generation: id, responder: g.responder, open: open,
		replaceable: g.seeded || g.responder.Delivered() == 0,
	})
	if failure == nil {
		return nil
	}
	g.settle(m, attempt, failure)
	return failure
}

// settle finds out whether a failed attempt ran, and ends it where another
// generation is going to replace it.
func (g *generation) settle(m *membership.Member, attempt *peer.Attempt, failure *result.Error) {
	replaced := failure.Code == result.EngineLost || failure.Code == result.ReplayDiverged
	if failure.Ran != result.RanUnknown {
		g.attempts.note(failure.Ran)
	}
	if failure.Ran == result.RanUnknown || replaced {
		g.attempts.ask(g.entry.withdraw(m, peer.Revoke{ID: attempt.ID, Incarnation: m.State.Incarnation, Cancel: replaced}))
	}
}

func (g *generation) message(id string) *peer.Attempt {
	return &peer.Attempt{
		ID: g.attemptID("att-"), Request: g.id, Generation: id, Workspace: g.workspace.Name, Service: g.service.Name,
		Model: g.service.Model, Adapter: g.service.Adapter, Priority: g.service.Priority, Weight: g.workspace.Weight,
		Short: g.service.Short, Prompt: g.ask.Prompt, PromptTokens: caller.EstimateTokens(g.ask.Prompt),
		MaxTokens: g.ask.MaxTokens, Seed: g.ask.Seed,
		QueueMillis: g.service.QueueMillis, ResumeMillis: g.service.ResumeMillis, TimeoutMillis: g.service.TimeoutMillis,
		Fingerprint: g.fingerprint, ConfigVersion: g.config.Version, Mark: g.entry.marks.Get(g.fingerprint, time.Now()),
	}
}

// unknownGeneration is the one answer for ids that are forged, of another
// workspace, or no longer held.
func unknownGeneration() *result.Error {
	return result.New(result.UnknownGeneration, result.RanUnknown, "unknown generation")
}

// holder finds the target that holds a generation.
func (e *Entry) holder(id string) (*membership.Member, *result.Error) {
	unknown := unknownGeneration()
	vm, _, ok := peer.ParseGenerationID(id)
	if !ok {
		return nil, unknown
	}
	m := e.members.View().Find(vm)
	if m == nil || !holds(m, id) {
		return nil, unknown
	}
	return m, nil
}

// holds reports whether a member can hold a generation: its agent is the
// process that the generation's id names, as far as is known.
func holds(m *membership.Member, id string) bool {
	_, incarnation, ok := peer.ParseGenerationID(id)
	return ok && !m.Replaced(incarnation, time.Now())
}

func (e *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	from, refusal := caller.ResumeOffset(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	id := r.PathValue("id")
	m, refusal := e.holder(id)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	responder := caller.NewStream(w, &caller.Meta{Request: req.id, Generation: id}, from)
	failure := e.relay(r.Context(), &relay{request: req, vm: m.VM.Name, addr: m.VM.Addr, generation: id, responder: responder})
	if failure != nil {
		responder.Fail(failure)
	}
}

func (e *Entry) recordRefusal(req *request, failure *result.Error) {
	d := telemetry.Decision{
		Kind: telemetry.KindRefuse, Request: req.id, Workspace: req.workspace.Name, Generation: failure.GenerationID,
		Choice: "answer with an error", Reason: failure.Name, Version: req.config.Version,
	}
	if req.service != nil {
		d.Service = req.service.Name
	}
	e.recorder.Record(d)
}

func (e *Entry) recordRetry(req *request, m *membership.Member, failure *result.Error) {
	e.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRetry, Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Target: m.VM.Name, Choice: "try another target", Reason: failure.Name, Version: req.config.Version,
	})
}

// recordRetry records that a failed attempt is replaced. Once tokens were
// delivered that is a replay.
func (g *generation) recordRetry(m *membership.Member, failure *result.Error) {
	if g.responder.Delivered() == 0 {
		g.entry.recordRetry(g.request, m, failure)
		return
	}
	g.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindReplay, Request: g.id, Workspace: g.workspace.Name, Service: g.service.Name,
		Generation: g.meta.Generation, Target: m.VM.Name, Choice: "run again and compare", Reason: failure.Name,
		Version: g.config.Version,
	})
}

// errCallerGone ends a relay whose caller does not read any more.
var errCallerGone = errors.New("caller is gone")
