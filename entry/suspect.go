package entry

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// spreadDelay is how long a request whose engine was lost waits before its next
// attempt, so that every entry has heard of the death.
const spreadDelay = 400 * time.Millisecond

// standing returns what is known of a content, with what the agents said last.
func (e *Entry) standing(fingerprint string) quarantine.Status {
	view := e.members.View()
	for i := range view.Members {
		e.marks.Merge(view.Members[i].State.Marks...)
	}
	return e.marks.Status(fingerprint, time.Now())
}

// choose picks the next target: none for a quarantined content, for a suspect
// the one that every entry picks, so that it runs at one target at a time.
func (g *generation) choose() (*membership.Member, *result.Error) {
	switch g.entry.standing(g.fingerprint) {
	case quarantine.Quarantined:
		return nil, result.New(result.Quarantined, result.RanNo, "this content stopped several targets")
	case quarantine.Suspect:
		return g.entry.routeSuspect(g)
	}
	return g.entry.route(g.request, g.work(), g.tried)
}

func (e *Entry) routeSuspect(g *generation) (*membership.Member, *result.Error) {
	var best *membership.Member
	var highest uint64
	for _, m := range e.candidates(g.service, g.tried, time.Now()) {
		if score := rendezvous(g.fingerprint, m.VM.Name); best == nil || score > highest {
			best, highest = m, score
		}
	}
	if best == nil {
		return nil, result.New(result.NoTarget, result.RanNo, "no live target serves this request").RetryAfter(retryNoTarget)
	}
	e.routeMu.Lock()
	e.sent[best.VM.Name]++
	e.routeMu.Unlock()
	e.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRoute, Request: g.id, Workspace: g.workspace.Name, Service: g.service.Name,
		Target: best.VM.Name, Choice: best.VM.Name, Reason: "suspect", Version: g.config.Version,
	})
	return best, nil
}

// rendezvous scores a target for a content; the highest wins.
func rendezvous(fingerprint, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(fingerprint))
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// awaitSpread waits after a lost engine until its agent's marks have arrived.
func awaitSpread(ctx context.Context, failure *result.Error) {
	if failure.Code == result.EngineLost {
		pause(ctx, spreadDelay)
	}
}
