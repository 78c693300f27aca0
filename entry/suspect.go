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

// contentStatus returns the quarantine status of the content with the fingerprint,
// after merging the marks that the agents reported with their heartbeats.
func (e *Entry) contentStatus(fingerprint string) quarantine.Status {
	members := e.members.Snapshot()
	for i := range members.Members {
		e.quarantine.Merge(members.Members[i].State.Marks...)
	}
	return e.quarantine.Status(fingerprint, time.Now())
}

// chooseTarget chooses the target of the next attempt. Quarantined content is
// rejected. For suspect content every entry chooses the same target, so that the
// content runs at one target at a time.
func (c *completionRequest) chooseTarget(ctx context.Context) (*membership.Member, *result.Error) {
	switch c.entry.contentStatus(c.fingerprint) {
	case quarantine.Quarantined:
		return nil, result.New(result.Quarantined, result.RanNo, "this content stopped several targets")
	case quarantine.Suspect:
		return c.entry.routeSuspect(c)
	}
	return c.entry.routeWithBinding(ctx, c.request, c.work(), c.tried)
}

// routeSuspect chooses the candidate with the highest rendezvous score for the
// content.
func (e *Entry) routeSuspect(c *completionRequest) (*membership.Member, *result.Error) {
	c.reservation = ""
	r, refusal := e.rankTargets(c.request, c.work(), c.tried)
	if refusal != nil {
		return nil, refusal
	}
	best := 0
	var bestScore uint64
	for i, t := range r.candidates {
		if score := rendezvous(c.fingerprint, t.member.VM.Name); score >= bestScore {
			best, bestScore = i, score
		}
	}
	r.choice.Reason = "suspect"
	r.candidates[best].load.sentRequests.Add(1)
	e.recordRoute(r, best)
	return r.candidates[best].member, nil
}

// rendezvous returns the rendezvous-hashing score of a target for the content.
func rendezvous(fingerprint, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(fingerprint))
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// propagateMarks fetches the quarantine marks from the agent whose engine was lost
// and, if the content of this request is marked, sends its mark to the other entries.
// It runs before the next attempt, since the caller may immediately repeat the
// request at any entry.
func (c *completionRequest) propagateMarks(ctx context.Context, m *membership.Member, failure *result.Error) {
	if failure.Code != result.EngineLost {
		return
	}
	marksCtx, cancel := context.WithTimeout(ctx, markPropagationTimeout)
	defer cancel()
	if state, err := c.entry.peerClient.State(marksCtx, m.VM.Addr); err == nil {
		c.entry.quarantine.Merge(state.Marks...)
	}
	if mark := c.entry.quarantine.Get(c.fingerprint, time.Now()); mark != nil {
		c.entry.sendMarkToEntries(marksCtx, *mark)
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
			if err := e.peerClient.SendMarks(ctx, vm.Addr, []quarantine.Mark{mark}); err != nil {
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
	e.quarantine.Merge(marks...)
	w.WriteHeader(http.StatusOK)
}
