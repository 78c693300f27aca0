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
	t, hasTargets := g.newAdmissionSearch(req).run(ctx)
	if !hasTargets {
		// A stream that waits for the end of a hold takes no place in the queue.
		return g.awaitTarget(ctx, req, req.triedTargets)
	}
	return t
}

// run searches until the stream has a target or is given up; it reports false if there is no
// target to search.
func (s *admissionSearch) run(ctx context.Context) (_ *registry.Target, hasTargets bool) {
	queue := s.g.waitQueues.of(s.queueKey())
	queue.add(s.waiting)
	defer func() { queue.remove(s.waiting) }()
	for {
		// A new configuration may limit the stream to fewer regions.
		if key := s.queueKey(); key != queue.key {
			queue.remove(s.waiting)
			queue = s.g.waitQueues.of(key)
			queue.add(s.waiting)
		}
		ahead, pace := queue.ahead(s.waiting, s.g.members.Count())
		s.update(pace)
		targets, candidates, admission := s.decide(queue, ahead)
		if len(targets) == 0 {
			return nil, false
		}
		if admission.Action == decision.AdmitRefuse {
			s.refuse(&admission, targets, ahead)
			return nil, true
		}
		queue.setNoRoom(s.waiting, admission.HasNoRoom())
		if t := s.reserveAny(ctx, targets, candidates, &admission); t != nil {
			s.logStart(t, &admission, targets, ahead)
			return t, true
		}
		if admission.MayStartAnywhere(&s.work, s.busy) {
			t := s.g.chooseTarget(s.req, s.req.triedTargets)
			if t != nil {
				s.reserve(ctx, t, &decision.Room{MaxPrefill: unlimited, MaxKVTokens: unlimited}, false)
				s.logStart(t, &admission, targets, ahead)
			}
			return t, true
		}
		if s.g.stopping.Load() {
			s.req.notPlaced = stoppingError()
			return nil, true
		}
		if !sleep(ctx, minRoomDelay+rand.N(maxRoomDelay-minRoomDelay)) {
			return nil, true
		}
	}
}

// waitQueues holds the streams that wait for a target, and the loads of the workspaces, by
// service.
type waitQueues struct {
	mu        sync.Mutex
	byService map[string]*serviceQueues
	waiting   atomic.Int64
}

// serviceQueues are the waiting streams of a service. Streams with the same regions form one
// queue: others may use different targets.
type serviceQueues struct {
	mu        sync.Mutex
	byRegions map[string]*waitQueue
	shares    decision.UsualShares
	pace      decision.PrefillPace
}

// queueKey identifies a waitQueue: the service and the key of the allowed regions.
type queueKey struct{ service, regions string }

type waitQueue struct {
	key     queueKey
	service *serviceQueues
	waiting *atomic.Int64
	// streams is guarded by service.mu.
	streams decision.WaitQueue
	// snapshot holds the loads of the targets for streams that do not search.
	snapshot atomic.Pointer[loadSnapshot]
	reading  atomic.Bool
}

// loadSnapshot holds the targets of a queue and their loads at a time. It is immutable.
type loadSnapshot struct {
	targets    []*registry.Target
	candidates []decision.PlacementTarget
	ids        map[string]bool
	readAt     time.Time
}

// snapshotAge is how old the loads may be by which a stream that does not search decides
// whether it still waits. Load reports are as old.
const snapshotAge = 50 * time.Millisecond

// queueKey returns the key of the queue in which the stream waits.
func (s *admissionSearch) queueKey() queueKey {
	eligible := s.g.eligibility(s.req)
	return queueKey{service: s.req.service.Name, regions: eligible.regions.Key()}
}

// decide returns the targets of a stream, their loads and the decision about the stream.
// Streams behind the ones that search, and streams that found no room, share a snapshot of
// the loads: with 400 targets, reading them takes longer than the decision. A stream that has
// room by the snapshot decides by the current loads.
func (s *admissionSearch) decide(queue *waitQueue, ahead decision.QueueAhead) ([]*registry.Target, []decision.PlacementTarget, decision.Admission) {
	snapshot := queue.currentSnapshot(s)
	if len(s.req.triedTargets) == 0 && (ahead.Ahead >= decision.MaxSearching || s.foundNoRoom) {
		if a := decision.Admit(&s.work, snapshot.candidates, ahead); len(a.Rooms) == 0 && len(snapshot.targets) > 0 {
			return snapshot.targets, snapshot.candidates, a
		}
	}
	targets, candidates := s.g.placementCandidates(s.req, s.req.triedTargets)
	a := decision.Admit(&s.work, candidates, ahead)
	s.foundNoRoom = a.HasNoRoom()
	return targets, candidates, a
}

// currentSnapshot returns the loads of the targets of the queue. One stream reads them again
// at their age, while others use the last ones.
func (q *waitQueue) currentSnapshot(s *admissionSearch) *loadSnapshot {
	last := q.snapshot.Load()
	if last != nil && (time.Since(last.readAt) <= snapshotAge || !q.reading.CompareAndSwap(false, true)) {
		return last
	}
	next := &loadSnapshot{ids: map[string]bool{}, readAt: time.Now()}
	next.targets, next.candidates = s.g.placementCandidates(s.req, nil)
	for _, t := range next.targets {
		next.ids[t.ID] = true
	}
	q.snapshot.Store(next)
	q.reading.Store(false)
	return next
}

func (q *waitQueues) ofService(service string) *serviceQueues {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byService == nil {
		q.byService = map[string]*serviceQueues{}
	}
	queues := q.byService[service]
	if queues == nil {
		queues = &serviceQueues{byRegions: map[string]*waitQueue{}}
		q.byService[service] = queues
	}
	return queues
}

func (q *waitQueues) of(key queueKey) *waitQueue {
	service := q.ofService(key.service)
	service.mu.Lock()
	defer service.mu.Unlock()
	queue := service.byRegions[key.regions]
	if queue == nil {
		queue = &waitQueue{key: key, service: service, waiting: &q.waiting}
		service.byRegions[key.regions] = queue
	}
	return queue
}

func (q *waitQueue) add(s *decision.WaitingStream) {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	q.streams.Add(s, time.Now())
	q.waiting.Add(1)
}

func (q *waitQueue) remove(s *decision.WaitingStream) {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	q.streams.Remove(s)
	q.waiting.Add(-1)
}

func (q *waitQueue) setNoRoom(s *decision.WaitingStream, noRoom bool) {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	q.streams.SetNoRoom(s, noRoom)
}

// observeFirstEvent counts the prefill of a stream that had a reservation.
func (q *waitQueues) observeFirstEvent(req *request, now time.Time) {
	if req.expectedPrefill == 0 {
		return
	}
	queues := q.ofService(req.service.Name)
	queues.mu.Lock()
	defer queues.mu.Unlock()
	queues.pace.Observe(req.expectedPrefill, now.Sub(req.reservedAt))
	req.expectedPrefill = 0
}

// ahead returns the work ahead of a stream, also in other queues as far as they use the same
// targets, and the pace of the service.
func (q *waitQueue) ahead(s *decision.WaitingStream, members int) (ahead decision.QueueAhead, pace float64) {
	now := time.Now()
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	ahead = q.streams.Ahead(s, members, now)
	own := q.snapshot.Load()
	for _, other := range q.service.byRegions {
		if theirs := other.snapshot.Load(); other != q && own != nil && theirs != nil {
			if tokens := other.streams.TokensBefore(s, now); tokens > 0 {
				ahead.AddCompeting(tokens, own.shared(theirs))
			}
		}
	}
	return ahead, q.service.pace.Factor()
}

// shared counts the targets that two queues use.
func (l *loadSnapshot) shared(other *loadSnapshot) decision.SharedTargets {
	n := decision.SharedTargets{Own: len(l.targets), Other: len(other.targets)}
	for _, t := range l.targets {
		if other.ids[t.ID] {
			n.Both++
		}
	}
	return n
}

// observeShare counts a request and reports whether it exceeds the usual share of its
// workspace.
func (q *serviceQueues) observeShare(workspace string, promptTokens int) bool {
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
	// foundNoRoom is set if the last search by current loads found no room.
	foundNoRoom bool
	// reservedTokens is the backlog of the engine that has granted the reservation, with the
	// prompt of the stream; 0 if unknown.
	reservedTokens int
}

func (g *Gateway) newAdmissionSearch(req *request) *admissionSearch {
	req.expectedPrefill = 0
	if len(req.triedTargets) == 0 {
		req.overShare = g.waitQueues.ofService(req.service.Name).observeShare(req.workspace, req.PromptTokens)
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
	s.req.notPlaced = result.New(result.Overloaded, result.RanNo, "%s", a.Reason).RetryAfter(a.RetryAfter)
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
	granted, report := s.g.reserveAt(ctx, s.req, t, &sidecar.Reservation{
		PromptTokens: s.work.PromptTokens, KVTokens: s.work.KVTokens, MaxPrefillTokens: room.MaxPrefill, MaxKVTokens: room.MaxKVTokens, Late: late,
	})
	if report == nil {
		return granted
	}
	if granted {
		s.reservedTokens = report.PrefillTokens
	} else {
		s.busy = s.busy || room.MaxPrefill != unlimited && report.PrefillTokens > room.MaxPrefill
	}
	return granted
}
