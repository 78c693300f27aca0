package entry

import (
	"context"
	"maps"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// callResult is the result of one attempt of a hedged call: of the first attempt or
// of the second one, the hedge.
type callResult struct {
	reply   *peer.Reply
	failure *result.Error
}

// runHedged dispatches an idempotent call. If the reply takes longer than the
// hedger's delay and the hedge budget allows it, a second attempt is sent to another
// target. The first successful reply is returned and the other attempt is cancelled.
func (c *call) runHedged(ctx context.Context, m *membership.Member, tried map[string]bool) (*peer.Reply, *result.Error) {
	var hedgeDelay time.Duration
	c.entry.limits.withHedger(c.service.Name, func(h *decision.Hedger) { hedgeDelay = h.StartRequest() })
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	c.startAttempt(ctx, m, c.attemptID("call-"), results)
	pendingAttempts := 1
	var hedgeDue <-chan time.Time
	if hedgeDelay > 0 {
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		hedgeDue = timer.C
	}
	var last callResult
	var tracker attemptTracker
	for pendingAttempts > 0 {
		select {
		case last = <-results:
			pendingAttempts--
			if last.failure == nil {
				c.entry.limits.withHedger(c.service.Name, func(h *decision.Hedger) { h.ObserveLatency(time.Since(started)) })
				return last.reply, nil
			}
			tracker.record(last.failure.Ran)
		case <-hedgeDue:
			hedgeDue = nil
			if c.sendHedge(ctx, m, tried, results) {
				pendingAttempts++
			}
		}
	}
	return nil, last.failure.WithRan(tracker.resolve(c.entry.stop.resolve))
}

// startAttempt starts an attempt at a target; its result is sent to results.
func (c *call) startAttempt(ctx context.Context, m *membership.Member, id string, results chan<- callResult) {
	go func() {
		reply, failure := c.attempt(ctx, m, id)
		results <- callResult{reply: reply, failure: failure}
	}()
}

// sendHedge sends the second attempt to a target other than first and reports whether
// it was sent. It is not sent if the budget is used up, hedging is disabled
// or no other target is available.
func (c *call) sendHedge(ctx context.Context, first *membership.Member, tried map[string]bool, results chan<- callResult) bool {
	allowed := false
	c.entry.limits.withHedger(c.service.Name, func(h *decision.Hedger) { allowed = h.TryHedge() })
	if !allowed || c.entry.limits.disabled.Hedging {
		return false
	}
	excluded := maps.Clone(tried)
	excluded[first.VM.Name] = true
	work := decision.Work{Workspace: c.workspace.Name, Service: c.service.Name, Priority: c.service.Priority, Short: true}
	m, refusal := c.entry.route(c.request, work, excluded)
	if refusal != nil {
		return false
	}
	c.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindHedge, Request: c.id, Workspace: c.workspace.Name, Service: c.service.Name,
		Target: m.VM.Name, Choice: "send a second copy", Reason: "slow_answer", ConfigVersion: c.config.Version,
	})
	c.startAttempt(ctx, m, newID("call-"), results)
	return true
}
