package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// admitStream chooses the target of a stream under admission control. A stream without room
// waits, and it is refused if it can be of no use any more. admitStream returns nil if there
// is no target, the stream is refused, ctx ends, or the gateway stops while the stream waits.
func (g *Gateway) admitStream(ctx context.Context, req *request) *registry.Target {
	search := g.newAdmissionSearch(req)
	queue := g.waitQueues.of(req.service.Name)
	queue.add(search.waiting)
	defer queue.remove(search.waiting)
	for {
		ahead, pace := queue.ahead(search.waiting, g.members.Count())
		targets, candidates := search.candidates(queue, ahead.Ahead)
		if len(targets) == 0 {
			return g.awaitTarget(ctx, req, req.triedTargets)
		}
		search.update(pace)
		admission := decision.Admit(&search.work, candidates, ahead)
		if admission.Action == decision.AdmitRefuse {
			search.refuse(&admission, targets, ahead)
			return nil
		}
		if t := search.reserveAny(ctx, targets, candidates, &admission); t != nil {
			search.logStart(t, &admission, targets, ahead)
			return t
		}
		if admission.MayStartAnywhere(&search.work, search.busy) {
			t := g.chooseTarget(req, req.triedTargets)
			if t != nil {
				search.reserve(ctx, t, &decision.Room{MaxPrefill: unlimited, MaxKVTokens: unlimited}, false)
				search.logStart(t, &admission, targets, ahead)
			}
			return t
		}
		if g.stopping.Load() || !sleep(ctx, minRoomDelay+rand.N(maxRoomDelay-minRoomDelay)) {
			return nil
		}
	}
}

// waitQueues holds the streams that wait for a target, and the loads of the workspaces, by
// service.
type waitQueues struct {
	mu        sync.Mutex
	byService map[string]*waitQueue
	waiting   atomic.Int64
}

type waitQueue struct {
	mu      sync.Mutex
	streams decision.WaitQueue
	shares  decision.UsualShares
	pace    decision.PrefillPace
	waiting *atomic.Int64
	// targets and candidates are the targets and their loads at readAt, for the streams
	// that do not search. They are not modified.
	targets    []*registry.Target
	candidates []decision.PlacementTarget
	readAt     time.Time
}

// snapshotAge is how old the loads may be by which a stream that does not search decides
// whether it still waits. Load reports are as old.
const snapshotAge = 50 * time.Millisecond

// candidates returns the targets of a stream and their loads. Streams behind the ones that
// search share a snapshot: with 400 targets, reading the loads takes longer than the decision.
func (s *admissionSearch) candidates(queue *waitQueue, ahead int) ([]*registry.Target, []decision.PlacementTarget) {
	eligible := s.g.eligibility(s.req)
	if ahead < decision.MaxSearching || len(s.req.triedTargets) > 0 || eligible.isRestricted() {
		return s.g.placementCandidates(s.req, s.req.triedTargets)
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if now := time.Now(); now.Sub(queue.readAt) > snapshotAge {
		queue.targets, queue.candidates = s.g.placementCandidates(s.req, nil)
		queue.readAt = now
	}
	return queue.targets, queue.candidates
}

func (q *waitQueues) of(service string) *waitQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byService == nil {
		q.byService = map[string]*waitQueue{}
	}
	queue := q.byService[service]
	if queue == nil {
		queue = &waitQueue{waiting: &q.waiting}
		q.byService[service] = queue
	}
	return queue
}

func (q *waitQueue) add(s *decision.WaitingStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.streams.Add(s, time.Now())
	q.waiting.Add(1)
}

func (q *waitQueue) remove(s *decision.WaitingStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.streams.Remove(s)
	q.waiting.Add(-1)
}

// observeFirstEvent counts the prefill of a stream that had a reservation.
func (q *waitQueues) observeFirstEvent(req *request, now time.Time) {
	if req.expectedPrefill == 0 {
		return
	}
	queue := q.of(req.service.Name)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.pace.Observe(req.expectedPrefill, now.Sub(req.reservedAt))
	req.expectedPrefill = 0
}

func (q *waitQueue) ahead(s *decision.WaitingStream, members int) (ahead decision.QueueAhead, pace float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.streams.Ahead(s, members, time.Now()), q.pace.Factor()
}

// observeShare counts a request and reports whether it exceeds the usual share of its
// workspace.
func (q *waitQueue) observeShare(workspace string, promptTokens int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shares.Observe(time.Now(), workspace, promptTokens)
}

// admissionSearch is the search for a target with room for one stream.
type admissionSearch struct {
	g       *Gateway
	req     *request
	work    decision.AdmissionWork
	waiting *decision.WaitingStream
	// busy is set if a sidecar has denied a reservation because of its backlog.
	busy bool
	// reservedTokens is the backlog of the engine that has granted the reservation, with the
	// prompt of the stream; 0 if unknown.
	reservedTokens int
}

func (g *Gateway) newAdmissionSearch(req *request) *admissionSearch {
	req.expectedPrefill = 0
	if len(req.triedTargets) == 0 {
		req.overShare = g.waitQueues.of(req.service.Name).observeShare(req.workspace, req.PromptTokens)
	}
	s := &admissionSearch{g: g, req: req, work: decision.AdmissionWork{
		PlacementWork: req.placementWork(), ID: req.ID, Objective: req.route.TargetLatency,
		Patience: decision.ClientPatience(req.route.TargetLatency, req.route.InterTokenTarget),
		Limit:    req.deadline.Sub(req.arrivedAt), OutputTokens: min(req.OutputHint, req.MaxOutput),
		OverShare: req.overShare, Holdback: g.holdback(req),
	}}
	s.waiting = &decision.WaitingStream{
		Priority: req.route.Priority, ArrivedAt: req.arrivedAt, TightAt: req.arrivedAt.Add(s.work.TightAfter()),
		LateAt: req.arrivedAt.Add(s.work.LateAfter()), PromptTokens: req.PromptTokens, OverShare: req.overShare,
	}
	return s
}

// update sets what changes while the stream waits.
func (s *admissionSearch) update(pace float64) {
	s.work.Waited, s.work.Pace = time.Since(s.req.arrivedAt), pace
}

// reserveAny asks some of the targets that seem to have room for a reservation. It returns
// the first one that grants it, nil if none does.
func (s *admissionSearch) reserveAny(ctx context.Context, targets []*registry.Target, candidates []decision.PlacementTarget, admission *decision.Admission) *registry.Target {
	work := s.work.PlacementWork
	costs := s.g.placementCosts.Shared(s.g.members.Count(), work)
	choice := costs.ChooseRooms(work, candidates, admission.Rooms)
	for range maxReservationTries {
		room, ok := choice.Next(rand.Float64())
		if !ok {
			return nil
		}
		if t := targets[room.Index]; s.reserve(ctx, t, &room, admission.Late && !admission.Calm) {
			if s.reservedTokens > 0 {
				s.req.reservedAt, s.req.expectedPrefill = time.Now(), decision.ExpectedPrefill(&candidates[room.Index], s.reservedTokens)
			}
			s.g.logPlacement(s.req, t, &candidates[room.Index], len(targets))
			return t
		}
	}
	return nil
}

// logStart counts the start of a stream and logs it if it has waited for room.
func (s *admissionSearch) logStart(t *registry.Target, a *decision.Admission, targets []*registry.Target, ahead decision.QueueAhead) {
	action, reason := decision.AdmitOnTime, "overload"
	if a.Late && !s.work.OverShare {
		action = decision.AdmitLate
	}
	if a.Calm {
		reason = "calm"
	}
	s.g.metrics.recordAdmission(s.req.route.Name, action, reason)
	if waited := time.Since(s.req.arrivedAt); waited > minRoomDelay {
		telemetry.Info(s.g.opts.Logger, "started after a wait", append(s.fields(a, targets, ahead), "target", t.ID, "decision", action, "waited_ms", waited.Milliseconds())...)
	}
}

// refuse gives a stream up. The values that decided are in the log.
func (s *admissionSearch) refuse(a *decision.Admission, targets []*registry.Target, ahead decision.QueueAhead) {
	s.g.metrics.recordAdmission(s.req.route.Name, a.Action, a.Reason)
	s.req.overloaded = result.New(result.Overloaded, result.RanNo, "%s", a.Reason).RetryAfter(a.RetryAfter)
	telemetry.Info(s.g.opts.Logger, "given up", append(s.fields(a, targets, ahead), "reason", a.Reason, "waited_ms", s.work.Waited.Milliseconds(),
		"retry_after_ms", a.RetryAfter.Milliseconds())...)
}

// fields returns the values that decide about a stream, for the log.
func (s *admissionSearch) fields(a *decision.Admission, targets []*registry.Target, ahead decision.QueueAhead) []any {
	now := time.Now()
	var oldest time.Duration
	reported := 0
	for _, t := range targets {
		if r := t.Load.Report(now, maxLoadReportAge); r != nil {
			reported++
			oldest = max(oldest, now.Sub(r.ReceivedAt))
		}
	}
	return []any{
		"request", s.req.ID, "route", s.req.route.Name, "workspace", s.req.workspace, "held", s.work.Holdback != nil, "late", a.Late, "calm", a.Calm,
		"over_share", s.work.OverShare, "pace", s.work.Pace, "wait_ms", a.Wait.Milliseconds(), "prefill_ms", a.Prefill.Milliseconds(), "useful_ms", a.Useful.Milliseconds(),
		"tokens_ahead", ahead.Tokens, "waiting", ahead.Others, "members", s.g.members.Count(),
		"targets", len(targets), "reported", reported, "oldest_report_ms", oldest.Milliseconds(),
	}
}

// reserve reserves for a request at the sidecar of a target. It reports false only if the
// sidecar denies it.
func (s *admissionSearch) reserve(ctx context.Context, t *registry.Target, room *decision.Room, late bool) bool {
	if t.Load.Report(time.Now(), maxLoadReportAge) == nil {
		return true
	}
	addr, err := sidecarAddr(t.Addr, s.g.opts.SidecarPort)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := s.g.opts.SidecarWatcher.Reserve(ctx, addr, &sidecar.Reservation{
		RequestID: s.req.ID, PromptTokens: s.work.PromptTokens, KVTokens: s.work.KVTokens,
		MaxPrefillTokens: room.MaxPrefill, MaxKVTokens: room.MaxKVTokens, Late: late,
	})
	if err != nil {
		telemetry.Info(s.g.opts.Logger, "reservation failed", "request", s.req.ID, "target", t.ID, "err", err)
		return true
	}
	if reservation.Report != nil && reservation.Granted {
		s.reservedTokens = reservation.Report.PrefillTokens
	}
	if reservation.Report != nil && !reservation.Granted {
		t.Load.RaiseBacklog(reservation.Report.PrefillTokens)
		s.busy = s.busy || room.MaxPrefill != unlimited && reservation.Report.PrefillTokens > room.MaxPrefill
	}
	return reservation.Granted
}
