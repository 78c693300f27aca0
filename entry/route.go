package entry

import (
	"context"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// maxLogged bounds the candidates in a decision record.
const maxLogged = 8

// routing is one routing decision in progress.
type routing struct {
	request    *request
	work       decision.Work
	candidates []*pickTarget
	targets    []decision.Target
	choice     decision.Choice
	started    time.Time
}

// route chooses a target for the work among those not in tried.
func (e *Entry) route(req *request, work decision.Work, tried map[string]bool) (*membership.Member, *result.Error) {
	r, refusal := e.order(req, work, tried)
	if refusal != nil {
		return nil, refusal
	}
	return e.dispatchTo(r), nil
}

// dispatchTo takes the best target at once.
func (e *Entry) dispatchTo(r *routing) *membership.Member {
	best := r.choice.Order[0]
	r.candidates[best].account.sent.Add(1)
	e.spendPrompt(r.candidates[best], r.work.PromptTokens)
	e.recordRoute(r, best)
	return r.candidates[best].member
}

// routeBound chooses like route. With late binding it returns once a target has
// granted a reservation, under whose id the attempt is then to be sent.
func (e *Entry) routeBound(ctx context.Context, req *request, work decision.Work, tried map[string]bool) (*membership.Member, *result.Error) {
	req.reservation = ""
	r, refusal := e.order(req, work, tried)
	if refusal != nil {
		return nil, refusal
	}
	if !e.router.Binds(work, &r.targets[r.choice.Order[0]], e.opts.Probes) {
		return e.dispatchTo(r), nil
	}
	return e.bind(ctx, r)
}

// order describes the targets that may get the work and orders them.
func (e *Entry) order(req *request, work decision.Work, tried map[string]bool) (*routing, *result.Error) {
	r := &routing{request: req, work: work, started: time.Now()}
	r.candidates = e.picker.current.Load().candidates(e.members.View(), req.service, tried, r.started)
	r.candidates = e.stayHome(r.candidates)
	if len(r.candidates) == 0 {
		return nil, result.New(result.NoTarget, result.RanNo, "no live target serves this request").RetryAfter(retryNoTarget)
	}
	r.targets = make([]decision.Target, len(r.candidates))
	for i, t := range r.candidates {
		r.targets[i] = t.describe(r.started)
	}
	claimProbe(r)
	r.choice = e.router.Route(work, r.targets, e.turn.Add(1), random{})
	return r, nil
}

// noteLoad takes in the load that an agent reported on a message.
func (e *Entry) noteLoad(vm string, load *peer.Load) {
	if t := e.picker.current.Load().find(vm); t != nil && load != nil {
		t.account.observe(*load, time.Now())
	}
}

func (e *Entry) recordRoute(r *routing, best int) {
	d := telemetry.Decision{
		Kind: telemetry.KindRoute, Request: r.request.id, Workspace: r.request.workspace.Name, Service: r.request.service.Name,
		Target: r.targets[best].VM, Choice: r.targets[best].VM, Reason: r.choice.Reason,
		Version: r.request.config.Version, TookMicros: time.Since(r.started).Microseconds(),
	}
	for _, i := range r.choice.Order[:min(len(r.choice.Order), maxLogged)] {
		t := &r.targets[i]
		d.Candidates = append(d.Candidates, telemetry.Candidate{
			Target: t.VM, Score: r.choice.Scores[i], Running: t.Running, Queued: t.Queued, AgeMillis: telemetry.AgeMillis(t.Age),
		})
	}
	e.recorder.Record(d)
}
