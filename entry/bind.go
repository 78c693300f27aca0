package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// reservationSearch finds the target of one request by late binding: the entry asks
// several targets in turn to reserve capacity in their queues, and sends the request
// to the first target that grants a reservation. All reservations of a search have
// the same id.
type reservationSearch struct {
	entry *Entry
	route *routeDecision
	id    string
	// planned are the reservation requests in the order in which they are sent;
	// planned[next] is the next one.
	planned []decision.PlannedReservation
	next    int
	// pending holds the indices of the targets that were asked for a reservation and
	// have not answered yet.
	pending map[int]bool
	answers chan reservationAnswer
	refusal *result.Error
}

// reservationAnswer is an agent's answer to a reservation. It is granted if refusal
// is nil.
type reservationAnswer struct {
	target  int
	refusal *result.Error
}

// reserveTarget requests reservations at a few targets in turn and returns the
// first target that grants one. Unanswered reservations are revoked; a reservation
// by itself runs no work.
func (e *Entry) reserveTarget(ctx context.Context, r *routeDecision) (*membership.Member, *result.Error) {
	planned := e.router.PlanReservations(r.choice, r.targets, e.opts.ReservationLimits)
	search := &reservationSearch{
		entry: e, route: r, id: newID("att-"), planned: planned,
		pending: map[int]bool{}, answers: make(chan reservationAnswer, len(planned)),
	}
	queueCtx, cancel := context.WithTimeout(ctx, r.request.service.QueueLimit())
	defer cancel()
	granted := search.waitForGrant(queueCtx)
	search.revokePending()
	if granted < 0 {
		return nil, search.failure(ctx)
	}
	r.request.reservation = search.id
	e.spendPromptBytes(r.candidates[granted], r.work.PromptTokens)
	e.recordRoute(r, granted)
	return r.candidates[granted].member, nil
}

// waitForGrant requests reservations at one target after another. It returns the
// index of the first target that grants one, or -1 if none does.
func (s *reservationSearch) waitForGrant(ctx context.Context) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for s.next < len(s.planned) || len(s.pending) > 0 {
		select {
		case <-timer.C:
			s.requestNext(ctx, timer)
		case a := <-s.answers:
			delete(s.pending, a.target)
			if a.refusal == nil {
				return a.target
			}
			s.keepRefusal(a.refusal)
			if len(s.pending) == 0 {
				timer.Reset(0)
			}
		case <-ctx.Done():
			return -1
		}
	}
	return -1
}

// requestNext requests the next planned reservation and sets the timer for the one
// after it.
func (s *reservationSearch) requestNext(ctx context.Context, timer *time.Timer) {
	if s.next >= len(s.planned) {
		return
	}
	current := s.planned[s.next]
	s.next++
	s.pending[current.Target] = true
	t := s.route.candidates[current.Target]
	t.load.sentRequests.Add(1)
	go s.reserve(context.WithoutCancel(ctx), current.Target, t)
	if s.next < len(s.planned) {
		timer.Reset(s.planned[s.next].After - current.After)
	}
}

// reserve requests a reservation at one target and sends the answer to s.answers.
func (s *reservationSearch) reserve(ctx context.Context, target int, t *targetSnapshot) {
	req := s.route.request
	ctx, cancel := context.WithTimeout(ctx, req.service.QueueLimit()+revokeTimeout)
	defer cancel()
	granted, err := s.entry.peerClient.Reserve(ctx, t.member.VM.Addr, &peer.Reserve{
		ID: s.id, Incarnation: t.member.State.Incarnation, Request: req.id, Workspace: req.workspace.Name, Service: req.service.Name,
		Priority: req.service.Priority, Weight: req.workspace.Weight, Short: s.route.work.Short,
		PromptTokens: s.route.work.PromptTokens, MaxTokens: s.route.work.MaxTokens, QueueMillis: req.service.QueueMillis,
	})
	if err != nil {
		refusal := result.New(result.NoTarget, result.RanNo, "the target does not answer").RetryAfter(defaultRetryAfter)
		if e := result.From(err); e.Code != result.Internal {
			refusal = e
		}
		s.answers <- reservationAnswer{target: target, refusal: refusal}
		return
	}
	t.load.updateReport(granted.Load, time.Now())
	s.answers <- reservationAnswer{target: target}
}

// keepRefusal keeps the refusal with the shortest retry delay.
func (s *reservationSearch) keepRefusal(refusal *result.Error) {
	if s.refusal == nil || refusal.RetryAfterMillis < s.refusal.RetryAfterMillis {
		s.refusal = refusal
	}
}

// failure returns the error to report if no target granted a reservation.
func (s *reservationSearch) failure(ctx context.Context) *result.Error {
	switch {
	case isStopping(ctx):
		return stoppingError()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, result.RanNo, "the request's time ran out")
	case ctx.Err() != nil:
		return result.New(result.Cancelled, result.RanNo, "the caller left")
	case s.refusal != nil:
		return s.refusal.WithRan(result.RanNo)
	}
	return result.New(result.Overloaded, result.RanNo, "no capacity within the queue limit").RetryAfter(defaultRetryAfter)
}

// revokePending revokes the reservations that are not answered yet.
func (s *reservationSearch) revokePending() {
	for i := range s.pending {
		t := s.route.candidates[i]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
			defer cancel()
			// If this message is lost, the agent removes the reservation itself when it
			// expires unused.
			_, _ = s.entry.peerClient.Revoke(ctx, t.member.VM.Addr, peer.Revoke{ID: s.id, Incarnation: t.member.State.Incarnation})
		}()
	}
}
