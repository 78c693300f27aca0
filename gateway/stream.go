package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// streamRequest is a streaming request while the gateway serves it. Several
// targets may serve segments of it; the client receives a single response.
type streamRequest struct {
	g          *Gateway
	req        *request
	w          http.ResponseWriter
	controller *http.ResponseController
	// headerSent is set once the response header was sent to the client.
	headerSent      bool
	deliveredEvents int
	lastEventID     string
	resumption      resumption
	// writesLimited is set once writes to the client have a deadline.
	writesLimited atomic.Bool
	// timeToFirstEvent is the time from the arrival of the request to its first
	// event.
	timeToFirstEvent time.Duration
	lastEventAt      time.Time
	maxGap           time.Duration
	// eventsBeforeMaxGap is the number of events before the longest gap.
	eventsBeforeMaxGap int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// failovers are the segments that can continue the stream after the last
	// segment that broke, best first. retrySpent is set if a retry was already
	// taken from the budget for the first of them.
	failovers  []*segment
	retrySpent bool
	// ranSoundly is set once a target has survived the begin of the stream, which then has no
	// part that crashes targets.
	ranSoundly bool
	// source is the target of the last broken segment until it has confirmed that it does not
	// run the request any more, nil if there is none. No segment starts before that.
	source *registry.Target
	// sourceEventAt is when the first event of that segment was read, zero if there was none.
	sourceEventAt time.Time
	// stopReserved is set if the first call that stops the source was counted in its hold.
	stopReserved bool
	// kept is what the source that was stopped last keeps, until the next target has
	// accepted the stream. returned is set once the stream has returned to a source.
	kept     *keptCache
	returned bool
}

// segment is the part of a streaming request that one target serves.
type segment struct {
	target *registry.Target
	// backup is the target that receives the backup of the request's KV cache,
	// nil for none.
	backup *registry.Target
	// resume names the copy of the KV cache from which the segment continues
	// the stream, nil if the segment runs the request from the start.
	resume *Resume
	// lastEventID is the event after which a run from the start continues the stream, "" if
	// the client has received none.
	lastEventID string
	// startedAt is the time at which the segment started. migration is nil if
	// the request cannot be migrated.
	startedAt time.Time
	migration *segmentMigration
	// waiting is registered until the answer begins. firstEventAt is when it began.
	waiting      *quarantine.PartRequest
	firstEventAt time.Time
	// recordedSound is set once the target has survived the begin of the answer.
	recordedSound bool
	// aligned is set once the events of a continuation follow those before it.
	aligned bool
}

// segmentResult states how a segment ended.
type segmentResult int

const (
	// segmentDone: the request has ended. The client has received the complete
	// response or an error, or has disconnected.
	segmentDone segmentResult = iota
	// segmentNotSent: the target did not receive the request.
	segmentNotSent
	// segmentNotRun: the target did not accept the request.
	segmentNotRun
	// segmentBroken: the target may have run the request, and the response did
	// not reach its end.
	segmentBroken
)

// serveStream serves a streaming request.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	req.triedTargets = map[string]bool{}
	s := &streamRequest{g: g, req: req, w: w, controller: http.NewResponseController(w)}
	s.beginResumption()
	defer s.freeKept()
	defer s.unlimitWrites()
	next := s.initialSegment(ctx)
	var err error
	for n := 0; next != nil; n++ {
		seg := next
		var segResult segmentResult
		segResult, err = s.serveSegment(ctx, seg)
		if segResult == segmentDone {
			return
		}
		s.mayHaveRun = s.mayHaveRun || segResult == segmentBroken
		if ctx.Err() != nil {
			break
		}
		// The choice leaves out the targets that were tried. A continuation has only the
		// targets that hold a copy.
		if errors.Is(err, errTargetCold) && seg.resume == nil {
			if !s.req.maySearchOn(time.Now()) {
				break
			}
			n--
		}
		next = s.nextSegment(ctx, seg, segResult, n)
		if segResult == segmentBroken && next == nil {
			if s.relayLastFailure(ctx) {
				return
			}
			s.fail(ctx, seg.target, err)
			return
		}
	}
	s.failNoTarget(ctx)
}

// initialSegment chooses the target and the backup target of a segment that
// runs the request from the start. It returns nil if there is no target, or if the stop of
// the process leaves too little time.
func (s *streamRequest) initialSegment(ctx context.Context) *segment {
	t := s.placeInStop(ctx)
	if t == nil {
		return nil
	}
	s.req.triedTargets[t.ID] = true
	return &segment{target: t, backup: s.g.chooseBackupTarget(s.req, t)}
}

// placeInStop is like placeStream, but returns nil once a stop of the process leaves too little
// time for the stream, also if it waits then.
func (s *streamRequest) placeInStop(ctx context.Context) *registry.Target {
	phase := s.g.stopPhase
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(phase.dispatch, cancel)()
	if phase.dispatchEnded() {
		return nil
	}
	t := s.g.placeStream(ctx, s.req)
	if phase.dispatchEnded() {
		return nil
	}
	return t
}

// nextSegment returns the segment to serve after seg, which ended with segResult
// but did not end the request, or nil if there is none. The argument n is the
// number of segments before seg.
func (s *streamRequest) nextSegment(ctx context.Context, seg *segment, segResult segmentResult, n int) *segment {
	if !s.ranSoundly && s.isPartQuarantined() {
		return nil
	}
	if segResult == segmentBroken {
		// The first event of a later segment does not measure the reserved target.
		s.req.expectedPrefill = 0
		// The target may have used the copy, or may still run the request.
		s.freeKept()
		s.recordRun(seg)
		s.source, s.sourceEventAt = seg.target, seg.firstEventAt
		if !s.retrySpent {
			s.failovers = s.failoverSegments(seg)
		}
		return s.stopSource(ctx, seg, s.continueStream(ctx, seg, segResult, n), n)
	}
	if seg.resume != nil || s.mayHaveRun {
		return s.stopSource(ctx, seg, s.continueStream(ctx, seg, segResult, n), n)
	}
	if n+1 >= maxDispatches {
		return nil
	}
	next := s.initialSegment(ctx)
	if next != nil && segResult == segmentNotRun && !s.g.retryBudgets.spendRetry(s.req.service.Name) {
		return nil
	}
	return next
}

// failOver returns the next segment that can continue the stream, nil if there
// is none or the retry budget is exhausted.
func (s *streamRequest) failOver(seg *segment) *segment {
	eligible := s.g.eligibility(s.req)
	s.failovers = slices.DeleteFunc(s.failovers, func(f *segment) bool { return !eligible.allows(f.target) })
	if len(s.failovers) == 0 && !s.canReturnToSource() {
		return nil
	}
	retrySpent := s.retrySpent
	s.retrySpent = false
	if !retrySpent && !s.g.retryBudgets.spendRetry(s.req.service.Name) {
		telemetry.Warn(s.g.opts.Logger, "stream not continued", "request", s.req.ID, "reason", "retry budget exhausted", "members", s.g.members.Count())
		return nil
	}
	if len(s.failovers) == 0 {
		s.failovers = []*segment{s.returnToSource()}
	}
	next := s.failovers[0]
	s.failovers = s.failovers[1:]
	s.req.triedTargets[next.target.ID] = true
	next.backup = s.g.chooseBackupTarget(s.req, next.target)
	telemetry.Info(s.g.opts.Logger, "continued", "request", s.req.ID, "from", seg.target.ID, "to", next.target.ID, "handle", next.resume.Handle,
		"spare", len(s.failovers), "events", s.deliveredEvents, "last_event", s.lastEventID, "silent_ms", time.Since(s.lastEventAt).Milliseconds())
	return next
}

// failNoTarget ends a request that has no further segment or whose context has
// ended. It responds with NoTarget only if the context is active, no target may
// have run the request and no response header was sent.
func (s *streamRequest) failNoTarget(ctx context.Context) {
	if ctx.Err() != nil || s.headerSent || s.mayHaveRun {
		s.fail(ctx, nil, errNoTarget)
		return
	}
	if s.g.stopPhase.dispatchEnded() {
		s.g.respondError(s.w, s.req, stoppingError())
		return
	}
	if s.req.notPlaced != nil {
		s.g.respondError(s.w, s.req, s.req.notPlaced)
		return
	}
	s.g.respondError(s.w, s.req, s.g.unavailableError(s.req, result.New(result.NoTarget, result.RanNo, "no target takes this").RetryAfter(noTargetRetryAfter)))
}

// serveSegment dispatches the request to the segment's target and relays its
// events to the client.
func (s *streamRequest) serveSegment(ctx context.Context, seg *segment) (segmentResult, error) {
	s.resumption.lastFailure = nil
	load := newSegmentLoad(s.req, seg)
	defer load.remove()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.watchParts(seg, cancel)()
	stopMigration := s.startMigration(ctx, seg)
	defer stopMigration()
	at, err := s.g.startAttempt(ctx, s.req, seg.target, seg.attempt())
	complete := false
	defer func() { s.g.release(at, complete) }()
	if err != nil {
		o := outcome{target: seg.target, err: err, sent: at.sent}
		s.g.recordFailure(ctx, s.req, &o)
		if !at.sent {
			return segmentNotSent, err
		}
		if ctx.Err() == nil {
			s.g.checkCrash(s.req, seg.target, s.deliveredEvents, false)
		}
		return segmentBroken, err
	}
	if at.respMeta.NotRun {
		if !at.isTrusted() {
			s.g.recordFailure(ctx, s.req, &outcome{target: seg.target, err: errUntrustedRefusal, sent: true})
			return segmentBroken, errUntrustedRefusal
		}
		complete = true
		s.recordRejection(at)
		return segmentNotRun, nil
	}
	if at.resp.StatusCode != http.StatusOK || !at.respMeta.Signed {
		return s.relayFailure(ctx, at)
	}
	err = s.relayEvents(at, load, seg)
	switch {
	case errors.Is(err, io.EOF):
		complete = true
		s.recordSound(seg, true, time.Time{})
		s.g.clearSuspect(s.req)
		s.sendHeader(at.resp)
		s.recordEnd(seg.target, "complete", nil)
		return segmentDone, nil
	case errors.Is(err, errClientWrite):
		s.recordEnd(seg.target, "client left", err)
		return segmentDone, nil
	}
	if ctx.Err() == nil && !errors.Is(err, errSwitch) {
		s.g.checkCrash(s.req, seg.target, s.deliveredEvents, seg.recordedSound)
	}
	telemetry.Info(s.g.opts.Logger, "stream segment broken", "request", s.req.ID, "target", seg.target.ID, "err", err, "events", s.deliveredEvents,
		"leaving", seg.target.Load.IsLeaving(), "client", context.Cause(ctx))
	return segmentBroken, err
}

// watchParts ends a segment before its first event if a part of the prompt is quarantined. It
// leaves out the continuation of a stream that a target has survived.
func (s *streamRequest) watchParts(seg *segment, cancel context.CancelCauseFunc) (unwatch func()) {
	if s.ranSoundly && seg.resume != nil {
		return func() {}
	}
	seg.waiting = s.g.parts.Watch(s.req.SharedParts, func() { cancel(errPartQuarantined) })
	return func() { s.g.parts.Unwatch(seg.waiting) }
}

func (s *streamRequest) isPartQuarantined() bool {
	_, _, quarantined := s.g.parts.Quarantined(s.req.SharedParts)
	return quarantined
}

func (seg *segment) attempt() AttemptMeta {
	a := AttemptMeta{Resume: seg.resume, LastEventID: seg.lastEventID}
	if seg.backup != nil {
		a.BackupAddr, a.backup = seg.backup.Addr, seg.backup
	}
	return a
}

// recordRejection records that a target did not run the request.
func (s *streamRequest) recordRejection(at *attempt) {
	if at.respMeta.WrongTarget {
		s.g.targets.MarkLeaving(at.target.ID, at.target.StartMillis, "its address belongs to another target")
	}
	s.g.metrics.recordAttempt(s.req.service.Name, "not run")
	telemetry.Info(s.g.opts.Logger, "rejected", "request", s.req.ID, "target", at.target.ID, "status", at.resp.StatusCode, "load", at.respMeta.Load)
}

// errNoTarget ends a stream that no target can continue.
var errNoTarget = errors.New("no target can continue the stream")

// errClientWrite marks a failed write to the client.
var errClientWrite = errors.New("writing to the client failed")

// errPartQuarantined ends a segment before its first event because a part of the prompt is quarantined.
var errPartQuarantined = errors.New("a part of the prompt is quarantined")

// errSwitch ends a segment so that the stream continues at another target.
var errSwitch = errors.New("stream switches to another target")

// relayEvents relays events until the stream ends, fails or switches to another
// target. It always returns an error: io.EOF for a clean end, errSwitch for a
// switch.
func (s *streamRequest) relayEvents(at *attempt, load *segmentLoad, seg *segment) error {
	events := s.newReadAhead(at, seg)
	defer events.reader.release()
	defer events.stop()
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		load.setPrefillPending(false)
		s.recordSound(seg, false, ev.readAt)
		if s.isRepeated(ev) {
			continue
		}
		if err := s.checkGap(seg, ev); err != nil {
			return err
		}
		if ev.id != "" || ev.hasData {
			// Not before: a comment doesn't show where the target continues.
			s.freeKept()
		}
		s.sendHeader(at.resp)
		flush := !events.hasMore()
		if err := events.write(func() error { return s.writeEvent(ev, flush) }); err != nil {
			return errors.Mark(err, errClientWrite)
		}
		if !events.mayEnd() || !seg.switchRequested() || at.conn.Await(s.endWait()) {
			continue
		}
		if s.prepareSwitch(seg) {
			return errSwitch
		}
	}
}

// recordSound records that a target has survived the begin of an answer: at the end of
// the answer, or with an event that arrives later than soundRunTime after the first. The
// event was read at readAt, now if that is zero.
func (s *streamRequest) recordSound(seg *segment, complete bool, readAt time.Time) {
	now := readAt
	if now.IsZero() {
		now = time.Now()
	}
	if seg.firstEventAt.IsZero() {
		if complete {
			return
		}
		seg.firstEventAt = now
		s.g.waitQueues.observeFirstEvent(s.req, now)
		s.g.parts.Unwatch(seg.waiting)
	}
	if !seg.recordedSound && (complete || now.Sub(seg.firstEventAt) >= soundRunTime) {
		seg.recordedSound, s.ranSoundly = true, true
		s.g.parts.RecordSound(s.req.SharedParts, seg.firstEventAt)
	}
}

// isRepeated reports whether the client has already received an event. A
// request that resumes after its last event may generate that event again. Ids
// of events are increasing integers.
func (s *streamRequest) isRepeated(ev event) bool {
	if s.lastEventID == "" || ev.id == "" {
		return false
	}
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return false
	}
	id, err := strconv.ParseInt(ev.id, 10, 64)
	if err != nil || id > last {
		return false
	}
	telemetry.Info(s.g.opts.Logger, "skipped repeated event", "request", s.req.ID, "event", ev.id, "last_event", s.lastEventID)
	return true
}

// switchRequested reports whether the segment's migration has requested a switch.
func (seg *segment) switchRequested() bool {
	return seg.migration != nil && seg.migration.switchRequested.Load()
}

// Limits of the time that a planned switch waits for the end of the stream. A target sends
// the end with the last event or just after it, sooner than it generates a further event.
const (
	minEndWait = 500 * time.Microsecond
	maxEndWait = 20 * time.Millisecond
)

// endWait returns how long a planned switch waits after an event for the end of the stream:
// half of the mean time between events. A stream must not switch after its last event,
// since no target can continue a request that has ended.
func (s *streamRequest) endWait() time.Duration {
	firstEventAt := s.req.arrivedAt.Add(s.timeToFirstEvent)
	meanGap := s.lastEventAt.Sub(firstEventAt) / time.Duration(max(s.deliveredEvents-1, 1))
	return min(max(meanGap/2, minEndWait), maxEndWait)
}

// prepareSwitch reports whether the stream switches to another target, as requested. It
// does so if another target is known to hold the KV cache and takes the request, the source
// may be asked to stop it, the retry budget allows it, and a stop of the process leaves time for
// the first event there.
func (s *streamRequest) prepareSwitch(seg *segment) bool {
	now := time.Now()
	if s.g.stopPhase.dispatchEnded() || !seg.target.Load.CanStop(now) {
		return false
	}
	if len(s.req.SharedParts) > 0 && !s.ranSoundly {
		// A part that is quarantined just then would end the stream.
		return false
	}
	failovers := slices.DeleteFunc(s.failoverSegments(seg), func(f *segment) bool { return !f.target.Load.CanResume(now) })
	if len(failovers) == 0 || !s.g.retryBudgets.spendRetry(s.req.service.Name) || !s.reserveStop(seg.target) {
		return false
	}
	s.failovers = failovers
	s.retrySpent = true
	return true
}

// sendHeader sends the response header to the client unless it was sent before.
func (s *streamRequest) sendHeader(resp *http.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.req.wait.end()
	copyResponseHeader(s.w, resp)
	s.w.WriteHeader(resp.StatusCode)
	s.g.metrics.firstByte.Record(context.Background(), time.Since(s.req.arrivedAt).Seconds())
}

func (s *streamRequest) writeEvent(ev event, flush bool) error {
	if _, err := s.w.Write(ev.raw); err != nil {
		return err
	}
	now := time.Now()
	if s.deliveredEvents == 0 {
		s.timeToFirstEvent = now.Sub(s.req.arrivedAt)
	} else if gap := now.Sub(s.lastEventAt); gap > s.maxGap {
		s.maxGap = gap
		s.eventsBeforeMaxGap = s.deliveredEvents
	}
	s.lastEventAt = now
	s.deliveredEvents++
	s.resumption.delivered(s.lastEventID, ev)
	if ev.id != "" {
		s.lastEventID = ev.id
	}
	if flush {
		return s.controller.Flush()
	}
	return nil
}

// relayFailure responds to the client with the outcome of an attempt whose
// response has a status other than 200 or is unsigned. If a response header was
// already sent to the client, the stream fails instead. A resumable stream may be sent to
// another target after a failure, like an idempotent call.
func (s *streamRequest) relayFailure(ctx context.Context, at *attempt) (segmentResult, error) {
	buffered := s.g.responseBuffer.NewReader(at.resp.Body)
	defer buffered.Release()
	body, err := httpwire.ReadBody(buffered, maxResponseBytes)
	o := outcome{target: at.target, resp: at.resp, respMeta: at.respMeta, body: body, err: err, sent: true}
	if err == nil && !at.respMeta.Signed {
		o.err = errUnsignedResponse
	}
	if s.req.route.Resumable && (o.err != nil || o.resp.StatusCode >= http.StatusInternalServerError) {
		return segmentBroken, s.recordTargetFailure(ctx, &o)
	}
	if s.headerSent {
		s.fail(ctx, at.target, errors.Newf("target responded with status %d", at.resp.StatusCode))
		return segmentDone, nil
	}
	s.g.respondCall(ctx, s.w, s.req, o, 1)
	return segmentDone, nil
}

func (s *streamRequest) recordEnd(t *registry.Target, outcome string, err error) {
	s.g.recordResponse(s.req, t.ID, http.StatusOK, outcome, "timing", s.timing(), "events", s.deliveredEvents, "last_event", s.lastEventID,
		"first_ms", s.timeToFirstEvent.Milliseconds(), "max_gap_ms", s.maxGap.Milliseconds(), "max_gap_at", s.eventsBeforeMaxGap, "err", err)
}

// timing compares the stream with the latency objectives of its route, for the
// log.
func (s *streamRequest) timing() telemetry.Timing {
	switch {
	case s.req.route.TargetLatency > 0 && s.timeToFirstEvent > s.req.route.TargetLatency:
		return telemetry.FirstEventLate
	case s.req.route.InterTokenTarget > 0 && s.maxGap > s.req.route.InterTokenTarget:
		return telemetry.GapTooLong
	}
	return telemetry.OnTime
}

// fail ends a stream that cannot continue. If the client has received a part of
// the stream, its connection is closed, so that the part does not look
// complete.
func (s *streamRequest) fail(ctx context.Context, t *registry.Target, err error) {
	if s.headerSent {
		id := ""
		if t != nil {
			id = t.ID
		}
		s.g.recordResponse(s.req, id, http.StatusOK, "cut", "events", s.deliveredEvents, "last_event", s.lastEventID, "err", err, "client", context.Cause(ctx))
		// The abort drops what is not flushed, for example events that arrived together
		// with a part of the next one.
		_ = s.controller.Flush()
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		s.g.respondError(s.w, s.req, s.g.contextError(ctx, s.mayHaveRun))
		return
	}
	s.g.respondError(s.w, s.req, result.New(result.OutcomeUnknown, result.RanUnknown, "the target's answer was lost"))
}
