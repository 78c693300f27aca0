package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of the search for a target with room.
const (
	// minRoomDelay and maxRoomDelay bound the random delay between two searches.
	minRoomDelay = 30 * time.Millisecond
	maxRoomDelay = 100 * time.Millisecond
	// maxReservationTries is the number of targets that one search asks.
	maxReservationTries = 3
	// reserveTimeout limits the request to a sidecar. It covers a round trip between
	// regions.
	reserveTimeout = 150 * time.Millisecond
)

// placeStream chooses the target of a stream. For an engine, it reserves at the target's
// sidecar, which knows what all gateways send there; without the sidecar's response the
// target is used all the same. A stream that is less urgent than other work of its service
// waits for a target with room. placeStream returns nil if there is no target, ctx ends, or
// the gateway stops while the stream waits.
func (g *Gateway) placeStream(ctx context.Context, req *request) *registry.Target {
	if req.service.Engine == nil || req.route.TargetLatency == 0 || g.opts.SidecarWatcher == nil {
		return g.awaitTarget(ctx, req, req.triedTargets)
	}
	if g.opts.AdmissionControl {
		return g.admitStream(ctx, req)
	}
	search := &roomSearch{g: g, req: req, work: req.placementWork(), holdback: g.holdback(req)}
	for {
		targets, candidates := g.placementCandidates(req, req.triedTargets)
		if len(targets) == 0 {
			return g.awaitTarget(ctx, req, req.triedTargets)
		}
		if t := search.reserveAny(ctx, targets, candidates); t != nil {
			search.logWait(t)
			return t
		}
		if search.holdback == nil || search.holdback.MustStart(time.Since(req.arrivedAt), req.route.TargetLatency, req.deadline.Sub(req.arrivedAt)) {
			t := g.chooseTarget(req, req.triedTargets)
			if t != nil {
				search.reserve(ctx, t, unlimited, unlimited)
				search.logWait(t)
			}
			return t
		}
		if g.stopping.Load() {
			req.notPlaced = stoppingError()
			return nil
		}
		if !sleep(ctx, minRoomDelay+rand.N(maxRoomDelay-minRoomDelay)) {
			return nil
		}
	}
}

// holdback returns the rule by which a request waits for room, nil if it never waits.
func (g *Gateway) holdback(req *request) *decision.Holdback {
	urgent := g.table.Load().MostUrgent(req.service.Name)
	if urgent == nil || urgent.Priority >= req.route.Priority {
		return nil
	}
	return &decision.Holdback{UrgentObjective: urgent.TargetLatency, UrgentPromptTokens: typicalPromptTokens}
}

// roomSearch is the search for a target with room for one stream.
type roomSearch struct {
	g    *Gateway
	req  *request
	work decision.PlacementWork
	// holdback is nil for a stream that does not wait.
	holdback *decision.Holdback
}

// unlimited is the limit of a reservation that is granted at any load.
const unlimited = -1

// room is a target that may have room, with the limits of a reservation there.
type room struct {
	target      *registry.Target
	maxPrefill  int
	maxKVTokens int
}

// reserveAny asks some of the targets that seem to have room for a reservation. It returns
// the first one that grants it, nil if none does.
func (s *roomSearch) reserveAny(ctx context.Context, targets []*registry.Target, candidates []decision.PlacementTarget) *registry.Target {
	var rooms []room
	var loads []decision.PlacementTarget
	costs := s.g.placementCosts.Shared(s.g.members.Count(), s.work)
	acceptable := costs.Acceptable(s.work, candidates)
	for i := range candidates {
		if r, ok := s.room(targets[i], &candidates[i]); ok && acceptable[i] {
			rooms, loads = append(rooms, r), append(loads, candidates[i])
		}
	}
	for range maxReservationTries {
		i := costs.Pick(s.work, loads, rand.Float64())
		if i < 0 {
			return nil
		}
		if s.reserve(ctx, rooms[i].target, rooms[i].maxPrefill, rooms[i].maxKVTokens) {
			s.g.logPlacement(s.req, rooms[i].target, &loads[i], len(targets))
			return rooms[i].target
		}
		last := len(rooms) - 1
		rooms[i], loads[i] = rooms[last], loads[last]
		rooms, loads = rooms[:last], loads[:last]
	}
	return nil
}

// room returns the limits of a reservation at a target, and false if the target has no room
// according to its last report.
func (s *roomSearch) room(t *registry.Target, load *decision.PlacementTarget) (room, bool) {
	r := room{target: t, maxKVTokens: unlimited}
	if s.holdback == nil {
		r.maxPrefill = decision.MaxBacklogTokens(s.work, s.req.route.TargetLatency, load)
	} else {
		r.maxPrefill = s.holdback.MaxBacklogTokens(s.work, load)
		if load.KVCapacityTokens > 0 {
			r.maxKVTokens = load.KVCapacityTokens
		}
	}
	fits := r.maxKVTokens == unlimited || load.KVTokens+s.work.KVTokens <= r.maxKVTokens
	return r, fits && !load.Unreachable && load.PrefillTokens <= r.maxPrefill
}

// logWait logs the start of a stream that has waited for room.
func (s *roomSearch) logWait(t *registry.Target) {
	if waited := time.Since(s.req.arrivedAt); waited > minRoomDelay {
		telemetry.Info(s.g.opts.Logger, "started after a wait", "request", s.req.ID, "route", s.req.route.Name, "target", t.ID, "held", s.holdback != nil, "waited_ms", waited.Milliseconds())
	}
}

// reserve reserves for a request at the sidecar of a target. It reports false only if the
// sidecar denies it.
func (s *roomSearch) reserve(ctx context.Context, t *registry.Target, maxPrefill, maxKVTokens int) bool {
	granted, _ := s.g.reserveAt(ctx, s.req, t, &sidecar.Reservation{
		PromptTokens: s.work.PromptTokens, KVTokens: s.work.KVTokens, MaxPrefillTokens: maxPrefill, MaxKVTokens: maxKVTokens,
	})
	return granted
}

// reserveAt reserves for a request at the sidecar of a target, which also grants the request
// if the target is cold. It reports false if the sidecar denies it, or if the target may be
// cold and the sidecar does not answer. The report is nil if the sidecar sent none.
func (g *Gateway) reserveAt(ctx context.Context, req *request, t *registry.Target, in *sidecar.Reservation) (granted bool, report *sidecar.Report) {
	if t.Load.Report(time.Now(), maxLoadReportAge) == nil {
		return true, nil
	}
	addr, err := sidecarAddr(t.Addr, g.opts.SidecarPort)
	if err != nil {
		return true, nil
	}
	if req.service.ColdPerSecond != 0 && t.Load.IsSidecarSilent(time.Now()) {
		return g.allowWithoutSidecar(ctx, req, t), nil
	}
	in.RequestID, in.ColdLimit = req.ID, g.coldReservationLimit(req.service)
	askedAt := time.Now()
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	result, err := g.opts.SidecarWatcher.Reserve(reserveCtx, addr, in)
	if err != nil {
		telemetry.Info(g.opts.Logger, "reservation failed", "request", req.ID, "target", t.ID, "err", err)
		g.noteSilentSidecar(ctx, req, t)
		return g.allowWithoutSidecar(ctx, req, t), nil
	}
	g.applyColdResult(req, t, &result, askedAt)
	if result.Report != nil && !result.Granted {
		t.Load.RaiseBacklog(result.Report.PrefillTokens)
	}
	return result.Granted, result.Report
}
