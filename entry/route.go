package entry

import (
	"slices"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// maxLogged bounds the candidates in a decision record.
const maxLogged = 8

// route chooses a target for the work among those not in tried.
func (e *Entry) route(req *request, work decision.Work, tried map[string]bool) (*membership.Member, *result.Error) {
	started := time.Now()
	members := e.candidates(req.service, tried, started)
	if len(members) == 0 {
		return nil, result.New(result.NoTarget, result.RanNo, "no live target serves this request").RetryAfter(time.Second)
	}
	targets := make([]decision.Target, len(members))
	e.routeMu.Lock()
	for i, m := range members {
		targets[i] = e.describe(m, started)
	}
	choice := e.router.Route(work, targets, random{})
	best := members[choice.Order[0]]
	e.sent[best.VM.Name]++
	e.routeMu.Unlock()
	e.recordRoute(req, targets, choice, started)
	return best, nil
}

// done takes a request out of the account of its target.
func (e *Entry) done(vm string) {
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.sent[vm]--
	if e.sent[vm] == 0 {
		delete(e.sent, vm)
	}
}

func (e *Entry) candidates(svc *config.Service, tried map[string]bool, now time.Time) []*membership.Member {
	view := e.members.View()
	var out []*membership.Member
	for i := range view.Members {
		m := &view.Members[i]
		if tried[m.VM.Name] || !m.Usable(now) || !serves(m, svc) {
			continue
		}
		out = append(out, m)
	}
	return out
}

func serves(m *membership.Member, svc *config.Service) bool {
	if svc.Kind == config.KindPlain {
		return m.State.Role == svc.Role
	}
	return slices.Contains(m.State.Models, peer.ModelKey(svc.Model, svc.Adapter))
}

func (e *Entry) describe(m *membership.Member, now time.Time) decision.Target {
	l := &m.State.Load
	return decision.Target{
		VM: m.VM.Name, Datacentre: m.State.Datacentre, Region: m.State.Region,
		Running: l.Running, Queued: l.Queued, Sent: e.sent[m.VM.Name], Slots: l.Slots,
		UsedTokens: l.UsedTokens, TotalTokens: l.TotalTokens,
		Cadence: time.Duration(l.CadenceMicros) * time.Microsecond,
		Age:     now.Sub(m.Heard),
	}
}

func (e *Entry) recordRoute(req *request, targets []decision.Target, choice decision.Choice, started time.Time) {
	d := telemetry.Decision{
		Kind: telemetry.KindRoute, Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Target: targets[choice.Order[0]].VM, Choice: targets[choice.Order[0]].VM, Reason: choice.Reason,
		Version: req.config.Version, TookMicros: time.Since(started).Microseconds(),
	}
	for _, i := range choice.Order[:min(len(choice.Order), maxLogged)] {
		t := &targets[i]
		d.Candidates = append(d.Candidates, telemetry.Candidate{
			Target: t.VM, Score: choice.Scores[i], Running: t.Running, Queued: t.Queued, AgeMillis: t.Age.Milliseconds(),
		})
	}
	e.recorder.Record(d)
}
