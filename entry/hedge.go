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

// callResult is the end of one copy of a call.
type callResult struct {
	reply   *peer.Reply
	failure *result.Error
}

// hedged makes an idempotent call, with a second copy at another target if the
// answer takes unusually long and the budget allows it. The first answer
// counts; the other copy is cancelled.
func (c *call) hedged(ctx context.Context, m *membership.Member, tried map[string]bool) (*peer.Reply, *result.Error) {
	var patience time.Duration
	c.entry.limits.hedge(c.service.Name, func(h *decision.Hedger) { patience = h.Begin() })
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	c.copyTo(ctx, m, c.attemptID("call-"), results)
	copies := 1
	var late <-chan time.Time
	if patience > 0 {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		late = timer.C
	}
	var last callResult
	var known attempts
	for copies > 0 {
		select {
		case last = <-results:
			copies--
			if last.failure == nil {
				c.entry.limits.hedge(c.service.Name, func(h *decision.Hedger) { h.End(time.Since(started)) })
				return last.reply, nil
			}
			known.note(last.failure.Ran)
		case <-late:
			late = nil
			if c.sendSecond(ctx, m, tried, results) {
				copies++
			}
		}
	}
	return nil, last.failure.WithRan(known.verdict())
}

func (c *call) copyTo(ctx context.Context, m *membership.Member, id string, results chan<- callResult) {
	go func() {
		reply, failure := c.attempt(ctx, m, id)
		results <- callResult{reply: reply, failure: failure}
	}()
}

// sendSecond sends the second copy to another target, if the budget allows.
func (c *call) sendSecond(ctx context.Context, first *membership.Member, tried map[string]bool, results chan<- callResult) bool {
	allowed := false
	c.entry.limits.hedge(c.service.Name, func(h *decision.Hedger) { allowed = h.Take() })
	if !allowed || c.entry.limits.off.Hedge {
		return false
	}
	without := maps.Clone(tried)
	without[first.VM.Name] = true
	work := decision.Work{Workspace: c.workspace.Name, Service: c.service.Name, Priority: c.service.Priority, Short: true}
	m, refusal := c.entry.route(c.request, work, without)
	if refusal != nil {
		return false
	}
	c.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindHedge, Request: c.id, Workspace: c.workspace.Name, Service: c.service.Name,
		Target: m.VM.Name, Choice: "send a second copy", Reason: "slow_answer", Version: c.config.Version,
	})
	c.copyTo(ctx, m, newID("call-"), results)
	return true
}
