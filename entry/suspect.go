package entry

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of messages with quarantine marks.
const (
	markPropagationTimeout = time.Second
	maxMarksBodyBytes      = 1 << 20
)

// contentStatus returns the quarantine status of a content after merging the marks
// that the agents reported with their heartbeats.
func (e *Entry) contentStatus(fingerprint string) quarantine.Status {
	members := e.members.Snapshot()
	for i := range members.Members {
		e.marks.Merge(members.Members[i].State.Marks...)
	}
	return e.marks.Status(fingerprint, time.Now())
}

// chooseTarget chooses the target of the next attempt. A quarantined content is
// rejected. For a suspect content every entry chooses the same target, so that
// the content runs at one target at a time.
func (g *generation) chooseTarget(ctx context.Context) (*membership.Member, *result.Error) {
	switch g.entry.contentStatus(g.fingerprint) {
	case quarantine.Quarantined:
		return nil, result.New(result.Quarantined, result.RanNo, "this content stopped several targets")
	case quarantine.Suspect:
		return g.entry.routeSuspect(g)
	}
	return g.entry.routeWithBinding(ctx, g.request, g.work(), g.tried)
}

// routeSuspect chooses the candidate with the highest rendezvous score for the
// content.
func (e *Entry) routeSuspect(g *generation) (*membership.Member, *result.Error) {
	g.reservation = ""
	r, refusal := e.rankTargets(g.request, g.work(), g.tried)
	if refusal != nil {
		return nil, refusal
	}
	best := 0
	var bestScore uint64
	for i, t := range r.candidates {
		if score := rendezvous(g.fingerprint, t.member.VM.Name); score >= bestScore {
			best, bestScore = i, score
		}
	}
	r.choice.Reason = "suspect"
	r.candidates[best].load.sentRequests.Add(1)
	e.recordRoute(r, best)
	return r.candidates[best].member, nil
}

// rendezvous returns the rendezvous-hashing score of a target for a content.
func rendezvous(fingerprint, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(fingerprint))
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// propagateMarks fetches the marks from the agent of a crashed engine and sends
// the mark of this request's content to the other entries. It runs before the next
// attempt, since the caller may immediately repeat the request at any entry.
func (g *generation) propagateMarks(ctx context.Context, m *membership.Member, failure *result.Error) {
	if failure.Code != result.EngineLost {
		return
	}
	marksCtx, cancel := context.WithTimeout(ctx, markPropagationTimeout)
	defer cancel()
	if state, err := g.entry.peers.State(marksCtx, m.VM.Addr); err == nil {
		g.entry.marks.Merge(state.Marks...)
	}
	if mark := g.entry.marks.Get(g.fingerprint, time.Now()); mark != nil {
		g.entry.sendMarkToEntries(marksCtx, *mark)
	}
}

// sendMarkToEntries sends a mark to every other entry on the VM list and waits
// for their responses.
func (e *Entry) sendMarkToEntries(ctx context.Context, mark quarantine.Mark) {
	var wg sync.WaitGroup
	for _, vm := range e.members.VMs() {
		if vm.Role != vmlist.RoleEntry || vm.Name == e.opts.VM {
			continue
		}
		wg.Go(func() {
			if err := e.peers.SendMarks(ctx, vm.Addr, []quarantine.Mark{mark}); err != nil {
				telemetry.Warn(e.opts.Logger, "failed to send quarantine mark", "to", vm.Name, "err", err)
			}
		})
	}
	wg.Wait()
}

func (e *Entry) handleMarks(w http.ResponseWriter, r *http.Request) {
	var marks []quarantine.Mark
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMarksBodyBytes)).Decode(&marks); err != nil {
		result.Write(w, result.New(result.InvalidRequest, result.RanNo, "malformed message"))
		return
	}
	e.marks.Merge(marks...)
	w.WriteHeader(http.StatusOK)
}
