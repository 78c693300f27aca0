package entry

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of claims after a restore of the store.
const (
	// doubtPeriod is the time after a restore in which a new claim does not show that no
	// earlier call has run. Agents remember their calls for as long.
	doubtPeriod = 15 * time.Minute
	// eraCheckPeriod is the time between two looks at the store's era.
	eraCheckPeriod = 100 * time.Millisecond
	// rewriteTimeout limits one attempt to write lost claims again, rewriteDelay is the delay
	// after one that failed.
	rewriteTimeout = 30 * time.Second
	rewriteDelay   = 500 * time.Millisecond
)

// restoreWatch finds restores of the store, has the claims of this process written again, and
// holds what calls with a new claim must find out. It implements suture.Service.
type restoreWatch struct {
	entry *Entry

	mu  sync.Mutex
	era int64
	// until is the end of the doubt period, zero before the first restore.
	until time.Time
	// processes are the agent processes by VM that were known at the restore: those that may
	// have run calls whose claims are lost.
	processes map[string]string
}

// observe returns the processes that may have run a call whose claim is lost, by VM. The result
// is nil if no claim can have been lost.
func (w *restoreWatch) observe(now time.Time) map[string]string {
	era := w.entry.opts.Store.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if era != w.era {
		w.era, w.until = era, now.Add(doubtPeriod)
		if w.processes == nil {
			w.processes = map[string]string{}
		}
		for _, m := range w.entry.members.Snapshot().Members {
			if m.State.Incarnation != "" {
				w.processes[m.VM.Name] = m.State.Incarnation
			}
		}
	}
	if now.After(w.until) {
		w.processes = nil
	}
	return w.processes
}

// Serve implements suture.Service.
func (w *restoreWatch) Serve(ctx context.Context) error {
	ticker := time.NewTicker(eraCheckPeriod)
	defer ticker.Stop()
	var written int64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		w.observe(time.Now())
		era := w.entry.opts.Store.Era()
		if era == written {
			continue
		}
		rewriteCtx, cancel := context.WithTimeout(ctx, rewriteTimeout)
		n, err := w.entry.claims.WriteAgain(rewriteCtx)
		cancel()
		telemetry.Warn(w.entry.opts.Logger, "store restored", "era", era, "claims_written_again", n, "err", err)
		if err == nil {
			written = era
			continue
		}
		sleepContext(ctx, rewriteDelay)
	}
}

// findLostCall looks for a call that ran with the key under a claim that a restore of the store
// has lost. It asks all agent processes that may have run it, and has them start no other call
// with the key than that of the new claim. It returns false if there is none. It can't be told
// if one of the processes does not answer, has been replaced or is gone.
func (cc *claimedCall) findLostCall(ctx context.Context, c *claim.Claim) (roundResult, bool) {
	processes := cc.entry.restores.observe(time.Now())
	if processes == nil || cc.isFirstUse {
		return roundResult{}, false
	}
	targets := cc.entry.targetsServing(cc.service)
	outcomes := cc.queryOutcomes(ctx, targets, c.CallID)
	isTold := cc.entry.areComplete(processes, targets, cc.service)
	for i, outcome := range outcomes {
		switch {
		case outcome.State == peer.CallWithdrawn:
		case outcome.State != peer.CallEnded && outcome.State != peer.CallRunning:
			isTold = false
		case outcome.ID != c.CallID:
			return cc.adoptLostCall(ctx, c, targets[i], &outcome), true
		}
	}
	if isTold {
		return roundResult{}, false
	}
	cc.releaseClaim(c)
	failure := result.New(result.OutcomeUnknown, result.RanUnknown, "the store has lost claims, and not every target tells whether it ran the call")
	return failRound(failure.RetryAfter(defaultRetryAfter)), true
}

// areComplete reports whether the targets include all processes of the service that may have
// run a call. A process whose VM is not known any more counts as one of the service.
func (e *Entry) areComplete(processes map[string]string, targets []*membership.Member, svc *config.Service) bool {
	current := map[string]string{}
	for _, m := range targets {
		current[m.VM.Name] = m.State.Incarnation
	}
	for vm, incarnation := range processes {
		if m := e.members.Snapshot().Find(vm); m != nil && !serves(m, svc) {
			continue
		}
		if current[vm] != incarnation {
			return false
		}
	}
	return true
}

// adoptLostCall gives the claim to the call that has run with the key, and returns the result of
// that call.
func (cc *claimedCall) adoptLostCall(ctx context.Context, c *claim.Claim, m *membership.Member, outcome *peer.Outcome) roundResult {
	// The uptime at which the agent was chosen is not known. With 0, the agent never takes the
	// call for one that has not arrived once it may have forgotten it.
	record := claim.Record{CallID: outcome.ID, Target: m.VM.Name, Incarnation: m.State.Incarnation, Fingerprint: outcome.Fingerprint}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, err := cc.entry.claims.Put(claimCtx, cc.key, c, record)
	cc.logClaimError(err)
	if outcome.Fingerprint != cc.fingerprint {
		return failRound(keyReused())
	}
	res := resultFromOutcome(outcome)
	if res.reply != nil && current != nil && current.CallID == outcome.ID {
		cc.storeOutcome(current, res.reply)
	}
	return res
}
