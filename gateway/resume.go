package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// resumption is what a resumable stream needs in order to run again at another target after
// a break.
type resumption struct {
	// runs is the number of targets that may have run the request.
	runs int
	// unnumbered is set once the client has received data in an event without a numeric ID:
	// no target can continue after such an event.
	unnumbered bool
	// sparse is set once the IDs of two consecutive events have differed by more than 1: a
	// missing event can't be detected then.
	sparse bool
	// lastFailure is the response of the last target, if it was a failure that the client
	// may receive.
	lastFailure *outcome
}

var errEventGap = errors.New("events are missing after a continuation")

// beginResumption takes over the last event that the client of a resumable stream has
// received in an earlier response.
func (s *streamRequest) beginResumption() {
	if _, ok := parseEventID(s.req.LastEventID); ok && s.req.route.Resumable {
		s.lastEventID = s.req.LastEventID
	}
}

func parseEventID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// delivered records an event that the client has received after the one with the ID last.
func (r *resumption) delivered(last string, ev event) {
	if ev.id == "" {
		r.unnumbered = r.unnumbered || ev.hasData
		return
	}
	id, ok := parseEventID(ev.id)
	if !ok {
		r.unnumbered = true
		return
	}
	if previous, ok := parseEventID(last); ok && id != previous+1 {
		r.sparse = true
	}
}

// recordRun records that the target of a broken segment may have run the request. Targets
// that have only refused it may be chosen again.
func (s *streamRequest) recordRun(seg *segment) {
	s.resumption.runs++
	if !s.req.route.Resumable {
		return
	}
	s.req.recordRunAt(seg.target.Addr)
	clear(s.req.triedTargets)
}

// continueStream returns the next segment of a stream that may have run: one that continues
// from a copy of the KV cache or, if there is none and the stream is resumable, one that runs
// the request again. It returns nil if there is none.
func (s *streamRequest) continueStream(ctx context.Context, seg *segment, segResult segmentResult, n int) *segment {
	if len(s.failovers) > 0 || s.canReturnToSource() {
		return s.failOver(seg)
	}
	if !s.req.route.Resumable {
		return nil
	}
	t, verdict := s.chooseRerunTarget(ctx, segResult, n)
	s.g.metrics.recordRerun(s.req.service.Name, s.deliveredEvents > 0, verdict)
	if t == nil {
		telemetry.Warn(s.g.opts.Logger, "stream not continued", "request", s.req.ID, "reason", verdict, "ran", s.resumption.runs,
			"max_attempts", s.req.route.MaxAttempts, "events", s.deliveredEvents, "last_event", s.lastEventID, "members", s.g.members.Count())
		return nil
	}
	s.req.triedTargets[t.ID] = true
	telemetry.Info(s.g.opts.Logger, "stream run again", "request", s.req.ID, "from", seg.target.ID, "to", t.ID, "ran", s.resumption.runs,
		"max_attempts", s.req.route.MaxAttempts, "events", s.deliveredEvents, "last_event", s.lastEventID, "remaining_ms", s.req.remaining(time.Now()).Milliseconds())
	return &segment{target: t, backup: s.g.chooseBackupTarget(s.req, t), lastEventID: s.lastEventID}
}

// chooseRerunTarget chooses the target that runs a resumable stream again after a segment that
// ended with segResult and n others before it. The verdict states why there is none.
func (s *streamRequest) chooseRerunTarget(ctx context.Context, segResult segmentResult, n int) (_ *registry.Target, verdict string) {
	switch {
	case s.resumption.runs >= s.req.route.MaxAttempts:
		return nil, "attempt limit reached"
	case n+1-s.resumption.runs >= maxDispatches:
		return nil, "dispatch limit reached"
	case s.resumption.unnumbered:
		return nil, "events without numeric ids"
	case s.g.quarantineError(s.req) != nil, s.isPartQuarantined():
		return nil, "quarantined"
	case !s.req.body.Reuse():
		return nil, "body dropped"
	}
	t := s.placeRerun(ctx)
	switch {
	case t == nil:
		return nil, "no target"
	case segResult != segmentNotSent && !s.g.retryBudgets.spendRetry(s.req.service.Name):
		return nil, "retry budget exhausted"
	}
	return t, "run again"
}

// placeRerun chooses a target at whose address the request has not run. An address may have
// passed to another incarnation, but the earlier one may still run the request, and the
// response to it would have the same ID.
func (s *streamRequest) placeRerun(ctx context.Context) *registry.Target {
	for {
		for _, t := range s.g.targets.Snapshot().Ready(s.req.service.Name) {
			if s.req.mayHaveRunAt(t.Addr) {
				s.req.triedTargets[t.ID] = true
			}
		}
		t := s.placeSoon(ctx)
		if t == nil || !s.req.mayHaveRunAt(t.Addr) {
			return t
		}
	}
}

// maxRerunWait limits the wait for a target with room once the client has received events. A
// client abandons a stream after a pause of two seconds, which also includes the prefill.
const maxRerunWait = 300 * time.Millisecond

// placeSoon is like placeInStop. Once the client has received events, it doesn't hold the
// stream back for longer than maxRerunWait.
func (s *streamRequest) placeSoon(ctx context.Context) *registry.Target {
	if s.deliveredEvents == 0 {
		return s.placeInStop(ctx)
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxRerunWait)
	defer cancel()
	t := s.g.placeStream(waitCtx, s.req)
	if t == nil && ctx.Err() == nil {
		t = s.g.chooseTarget(s.req, s.req.triedTargets)
	}
	return t
}

// checkGap returns an error for the first new event of a continuation of a resumable stream
// if events are missing before it. Event IDs count by 1 unless the stream has shown others.
func (s *streamRequest) checkGap(seg *segment, ev event) error {
	if seg.aligned || s.lastEventID == "" || !s.req.route.Resumable || seg.resume == nil && seg.lastEventID == "" {
		return nil
	}
	id, ok := parseEventID(ev.id)
	switch {
	case ev.id == "" && !ev.hasData:
		return nil
	case !ok && !s.resumption.unnumbered:
		return s.gapError(seg, ev)
	}
	if last, known := parseEventID(s.lastEventID); ok && known && !s.resumption.sparse && id != last+1 {
		return s.gapError(seg, ev)
	}
	seg.aligned = true
	return nil
}

func (s *streamRequest) gapError(seg *segment, ev event) error {
	telemetry.Warn(s.g.opts.Logger, "events missing after a continuation", "request", s.req.ID, "target", seg.target.ID, "event", ev.id, "last_event", s.lastEventID)
	return errEventGap
}

// recordTargetFailure records a response that states that the target has failed, and returns
// the error of its segment.
func (s *streamRequest) recordTargetFailure(ctx context.Context, o *outcome) error {
	err := o.err
	if err == nil {
		err = errors.Newf("target responded with status %d", o.resp.StatusCode)
	}
	s.g.recordFailure(ctx, s.req, &outcome{target: o.target, err: err, sent: true})
	s.resumption.lastFailure = o
	return err
}

// relayLastFailure responds with the failure of the last target, as for an idempotent call.
// It reports false if there is none, or if the client has received a response header.
func (s *streamRequest) relayLastFailure(ctx context.Context) bool {
	o := s.resumption.lastFailure
	if o == nil || s.headerSent || ctx.Err() != nil {
		return false
	}
	s.g.respondCall(ctx, s.w, s.req, *o, s.resumption.runs)
	return true
}
