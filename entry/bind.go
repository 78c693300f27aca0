package entry

import (
	"context"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// binding is the search for the target of one request by reservations.
type binding struct {
	entry   *Entry
	routing *routing
	id      string
	probes  []decision.Probe
	next    int
	// asked are the reservations that were sent and are not answered.
	asked   map[int]bool
	answers chan answer
	refusal *result.Error
}

// answer is an agent's answer to a reservation.
type answer struct {
	target  int
	refusal *result.Error
}

// bind reserves at a few targets in turn and returns the first that grants.
// The other reservations are withdrawn; none of them ever ran anything.
func (e *Entry) bind(ctx context.Context, r *routing) (*membership.Member, *result.Error) {
	probes := e.router.Probes(r.choice, r.targets, e.opts.Probes)
	b := &binding{
		entry: e, routing: r, id: newID("att-"), probes: probes,
		asked: map[int]bool{}, answers: make(chan answer, len(probes)),
	}
	wait, cancel := context.WithTimeout(ctx, r.request.service.QueueLimit())
	defer cancel()
	best := b.wait(wait)
	b.withdraw()
	if best < 0 {
		return nil, b.failure(ctx)
	}
	r.request.reservation = b.id
	e.spendPrompt(r.candidates[best], r.work.PromptTokens)
	e.recordRoute(r, best)
	return r.candidates[best].member, nil
}

// wait asks one target after the other until one grants; it returns -1 if none
// does.
func (b *binding) wait(ctx context.Context) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for b.next < len(b.probes) || len(b.asked) > 0 {
		select {
		case <-timer.C:
			b.ask(ctx, timer)
		case a := <-b.answers:
			delete(b.asked, a.target)
			if a.refusal == nil {
				return a.target
			}
			b.refuse(a.refusal)
			if len(b.asked) == 0 {
				timer.Reset(0)
			}
		case <-ctx.Done():
			return -1
		}
	}
	return -1
}

// ask sends the next reservation and sets the timer for the one after it.
func (b *binding) ask(ctx context.Context, timer *time.Timer) {
	if b.next >= len(b.probes) {
		return
	}
	p := b.probes[b.next]
	b.next++
	b.asked[p.Target] = true
	t := b.routing.candidates[p.Target]
	t.account.sent.Add(1)
	go b.reserve(context.WithoutCancel(ctx), p.Target, t)
	if b.next < len(b.probes) {
		timer.Reset(b.probes[b.next].After - p.After)
	}
}

func (b *binding) reserve(ctx context.Context, i int, t *pickTarget) {
	req := b.routing.request
	ctx, cancel := context.WithTimeout(ctx, req.service.QueueLimit()+revokeTimeout)
	defer cancel()
	granted, err := b.entry.peers.Reserve(ctx, t.member.VM.Addr, &peer.Reserve{
		ID: b.id, Incarnation: t.member.State.Incarnation, Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Priority: req.service.Priority, Weight: req.workspace.Weight, Short: b.routing.work.Short,
		PromptTokens: b.routing.work.PromptTokens, MaxTokens: b.routing.work.MaxTokens, QueueMillis: req.service.QueueMillis,
	})
	if err != nil {
		refusal := result.New(result.NoTarget, result.RanNo, "the target does not answer").RetryAfter(retryNoTarget)
		if e := result.From(err); e.Code != result.Internal {
			refusal = e
		}
		b.answers <- answer{target: i, refusal: refusal}
		return
	}
	t.account.observe(granted.Load, time.Now())
	b.answers <- answer{target: i}
}

// refuse keeps the refusal that lets the caller try again soonest.
func (b *binding) refuse(e *result.Error) {
	if b.refusal == nil || e.RetryAfterMillis < b.refusal.RetryAfterMillis {
		b.refusal = e
	}
}

func (b *binding) failure(ctx context.Context) *result.Error {
	switch {
	case ctx.Err() != nil:
		return result.New(result.Cancelled, result.RanNo, "the caller left")
	case b.refusal != nil:
		return b.refusal.WithRan(result.RanNo)
	}
	return result.New(result.Overloaded, result.RanNo, "no capacity within the queue limit").RetryAfter(retryNoTarget)
}

// withdraw takes back the reservations that are not answered yet.
func (b *binding) withdraw() {
	for i := range b.asked {
		t := b.routing.candidates[i]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
			defer cancel()
			// An agent that misses this drops the reservation by its lease.
			_, _ = b.entry.peers.Revoke(ctx, t.member.VM.Addr, peer.Revoke{ID: b.id, Incarnation: t.member.State.Incarnation})
		}()
	}
}
