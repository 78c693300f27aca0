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
	maxAttempts       = 4
	maxResumes        = 8
	resumeDelay       = 50 * time.Millisecond
	maxResumeDelay    = time.Second
	retryNoTarget     = time.Second
	revokeTimeout     = 2 * time.Second
	maxCompletionBody = 4 << 20
)

// generation is a caller's request for a generation in progress.
type generation struct {
	*request
	entry     *Entry
	ask       *caller.Completion
	meta      *caller.Meta
	responder caller.Responder
	tried     map[string]bool
}

func (e *Entry) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
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
	if ask.Stream {
		g.responder = caller.NewStream(w, meta, 0)
	} else {
		g.responder = caller.NewWhole(w, meta)
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

// run tries targets until one generates the answer. Until the first token is
// delivered a failed attempt is replaced by a new generation elsewhere.
func (g *generation) run(ctx context.Context) *result.Error {
	var failure *result.Error
	for range maxAttempts {
		m, refusal := g.entry.route(g.request, g.work(), g.tried)
		if refusal != nil {
			if failure != nil {
				return failure
			}
			return refusal
		}
		failure = g.attempt(ctx, m)
		if failure == nil || !g.mayRetry(ctx, failure) {
			return failure
		}
		g.tried[m.VM.Name] = true
		g.entry.recordRetry(g.request, m, failure)
	}
	return failure
}

func (g *generation) work() decision.Work {
	return decision.Work{
		Workspace: g.workspace.Name, Service: g.service.Name, Model: g.service.Model,
		PromptTokens: caller.EstimateTokens(g.ask.Prompt), Priority: g.service.Priority,
	}
}

func (g *generation) mayRetry(ctx context.Context, failure *result.Error) bool {
	if ctx.Err() != nil || g.responder.Delivered() > 0 {
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
	defer g.entry.done(m.VM.Name)
	id := peer.GenerationID(m.VM.Name, m.State.Incarnation, newID(""))
	g.meta.Generation = id
	attempt := g.message(id)
	open := func(ctx context.Context) (*peer.Stream, error) { return g.entry.peers.Start(ctx, m.VM.Addr, attempt) }
	failure := g.entry.relay(ctx, &relay{
		request: g.request, vm: m.VM.Name, generation: id, responder: g.responder, open: open,
	})
	if failure == nil {
		return nil
	}
	if failure.Code == result.EngineLost && g.responder.Delivered() == 0 {
		g.withdraw(m, id)
	}
	return failure
}

// withdraw cancels a generation that is going to be replaced.
func (g *generation) withdraw(m *membership.Member, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	_ = g.entry.peers.Cancel(ctx, m.VM.Addr, id, g.workspace.Name)
}

func (g *generation) message(id string) *peer.Attempt {
	return &peer.Attempt{
		ID: newID("att-"), Request: g.id, Generation: id, Workspace: g.workspace.Name, Service: g.service.Name,
		Model: g.service.Model, Adapter: g.service.Adapter, Priority: g.service.Priority, Weight: g.workspace.Weight,
		Short: g.service.Short, Prompt: g.ask.Prompt, PromptTokens: caller.EstimateTokens(g.ask.Prompt),
		MaxTokens: g.ask.MaxTokens, Seed: g.ask.Seed,
		QueueMillis: g.service.QueueMillis, ResumeMillis: g.service.ResumeMillis, TimeoutMillis: g.service.TimeoutMillis,
		Fingerprint: fingerprint(g.workspace.Name, g.service.Name, g.ask.Prompt), ConfigVersion: g.config.Version,
	}
}

// holder finds the target that holds a generation.
func (e *Entry) holder(id string) (*membership.Member, *result.Error) {
	unknown := result.New(result.UnknownGeneration, result.RanUnknown, "unknown generation")
	vm, incarnation, ok := peer.ParseGenerationID(id)
	if !ok {
		return nil, unknown
	}
	m := e.members.View().Find(vm)
	if m == nil || m.Replaced(incarnation, time.Now()) {
		return nil, unknown
	}
	return m, nil
}

func (e *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
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
	failure := e.relay(r.Context(), &relay{request: req, vm: m.VM.Name, generation: id, responder: responder})
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

// errCallerGone ends a relay whose caller does not read any more.
var errCallerGone = errors.New("caller is gone")
