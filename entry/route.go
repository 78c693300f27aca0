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

// maxRecordedCandidates limits the number of candidates in a decision record.
const maxRecordedCandidates = 8

// routeDecision is one routing decision in progress. The indices of candidates,
// targets and choice.Scores correspond.
type routeDecision struct {
	request    *request
	work       decision.Work
	candidates []*targetSnapshot
	targets    []decision.Target
	choice     decision.Choice
	started    time.Time
}

// route chooses a target for the work among the targets that are not in tried,
// without a reservation.
func (e *Entry) route(req *request, work decision.Work, tried map[string]bool) (*membership.Member, *result.Error) {
	r, refusal := e.rankTargets(req, work, tried)
	if refusal != nil {
		return nil, refusal
	}
	return e.chooseBest(r), nil
}

// chooseBest returns the target that the policy ranked first, records the decision
// and counts the work as sent to that target.
func (e *Entry) chooseBest(r *routeDecision) *membership.Member {
	best := r.choice.Order[0]
	r.candidates[best].load.sentRequests.Add(1)
	e.spendPromptBytes(r.candidates[best], r.work.PromptTokens)
	e.recordRoute(r, best)
	return r.candidates[best].member
}

// routeWithBinding chooses a target like route. If the router selects late binding
// for the work, routeWithBinding waits until a target grants a reservation and sets
// req.reservation, the id under which the attempt must be sent.
func (e *Entry) routeWithBinding(ctx context.Context, req *request, work decision.Work, tried map[string]bool) (*membership.Member, *result.Error) {
	req.reservation = ""
	r, refusal := e.rankTargets(req, work, tried)
	if refusal != nil {
		return nil, refusal
	}
	if !e.router.BindsLate(work, &r.targets[r.choice.Order[0]], e.opts.ReservationLimits) {
		return e.chooseBest(r), nil
	}
	return e.reserveTarget(ctx, r)
}

// rankTargets finds the targets that may receive the work and ranks them by the
// routing policy.
func (e *Entry) rankTargets(req *request, work decision.Work, tried map[string]bool) (*routeDecision, *result.Error) {
	r := &routeDecision{request: req, work: work, started: time.Now()}
	r.candidates = e.snapshots.current.Load().candidates(e.members.Snapshot(), req.service, tried, r.started)
	r.candidates = e.preferLocalRegion(r.candidates)
	if len(r.candidates) == 0 {
		return nil, result.New(result.NoTarget, result.RanNo, "no live target serves this request").RetryAfter(defaultRetryAfter)
	}
	r.targets = make([]decision.Target, len(r.candidates))
	for i, t := range r.candidates {
		r.targets[i] = t.describe(r.started)
	}
	assignProbe(r)
	r.choice = e.router.Route(work, r.targets, e.routeSequence.Add(1), random{})
	return r, nil
}

// updateLoad stores the load report that an agent attached to a message; load may
// be nil.
func (e *Entry) updateLoad(vm string, load *peer.Load) {
	if t := e.snapshots.current.Load().find(vm); t != nil && load != nil {
		t.load.updateReport(*load, time.Now())
	}
}

func (e *Entry) recordRoute(r *routeDecision, best int) {
	d := telemetry.Decision{
		Kind: telemetry.KindRoute, Request: r.request.id, Workspace: r.request.workspace.Name, Service: r.request.service.Name,
		Target: r.targets[best].VM, Choice: r.targets[best].VM, Reason: r.choice.Reason,
		ConfigVersion: r.request.config.Version, TookMicros: time.Since(r.started).Microseconds(),
	}
	for _, i := range r.choice.Order[:min(len(r.choice.Order), maxRecordedCandidates)] {
		t := &r.targets[i]
		d.Candidates = append(d.Candidates, telemetry.Candidate{
			Target: t.VM, Score: r.choice.Scores[i], Running: t.Running, Queued: t.Queued, AgeMillis: telemetry.AgeMillis(t.Age),
		})
	}
	e.recorder.Record(d)
}
