package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of the stop of a request at its source.
const (
	// sourceStopTimeout limits how long a stream pauses until its source confirms the stop. A
	// source that is reached stops the request on receipt, before the copy.
	sourceStopTimeout = 250 * time.Millisecond
	// sourceStopRetryDelay is the time between two calls if a copy of the request is in
	// progress at the source.
	sourceStopRetryDelay = 20 * time.Millisecond
)

// errSourceHeld means that the source of a stream has asked for no further calls.
var errSourceHeld = errors.New("the source of the stream sheds load")

// sourceStop is the outcome of the call that stops a request at its source.
type sourceStop struct {
	result MigrationResult
	err    error
}

// confirmed reports whether the source does not run the request any more. A source that
// refuses connections has ended.
func (o *sourceStop) confirmed() bool {
	return o.err == nil || o.result.Handle != "" || errors.IsAny(o.err, ErrUnknownRequest, syscall.ECONNREFUSED)
}

// stopAtSource ends the request at the target of a broken segment before it continues at
// the next one: an engine may run a request on after its connection has closed. The
// stream continues without a confirmation after sourceStopTimeout.
//
// A source that still ran the request copies the KV cache to the next target. That copy
// is complete, so it replaces the one that the next segment was to continue from.
func (s *streamRequest) stopAtSource(ctx context.Context, seg, next *segment) {
	e := s.req.service.Engine
	if e == nil || !e.CanMigrate || s.g.opts.Migrator == nil {
		return
	}
	startedAt := time.Now()
	var resume Resume
	if next.resume != nil {
		resume = *next.resume
	}
	stopped := make(chan sourceStop)
	expired := make(chan struct{})
	go func() {
		outcome := s.callStop(seg.target, next.target)
		select {
		case stopped <- outcome:
		case <-expired:
			s.freeUnlessResumed(seg.target, outcome.result.Handle, resume)
		}
	}()
	timer := time.NewTimer(sourceStopTimeout)
	defer timer.Stop()
	var outcome sourceStop
	select {
	case outcome = <-stopped:
	case <-timer.C:
		close(expired)
		outcome.err = context.DeadlineExceeded
	case <-ctx.Done():
		close(expired)
		outcome.err = ctx.Err()
	}
	copied := outcome.err == nil && outcome.result.Handle != ""
	if outcome.result.Handle != "" {
		kept := &Resume{HolderAddr: seg.target.Addr, Handle: outcome.result.Handle, LastEventID: s.lastEventID}
		if copied {
			next.resume, resume = kept, *kept
		}
		s.kept = &keptCache{source: seg.target, resume: *kept, next: resume}
	}
	s.g.metrics.recordSourceStop(s.req.service.Name, outcome.confirmed())
	telemetry.Info(s.g.opts.Logger, "source stop", "request", s.req.ID, "source", seg.target.ID, "next", next.target.ID,
		"confirmed", outcome.confirmed(), "copied", copied, "err", outcome.err, "took_ms", time.Since(startedAt).Milliseconds())
}

// keptCache is the KV cache of a request that its source has stopped and keeps.
type keptCache struct {
	source *registry.Target
	// resume continues the request at its source, next is how the next segment continues it.
	resume, next Resume
}

// canReturnToSource reports whether the stream can continue at the source that has stopped
// it. It returns once at most, since its source leaves, and not to an evacuated data centre.
func (s *streamRequest) canReturnToSource() bool {
	if s.kept == nil || s.returned {
		return false
	}
	eligible := s.g.eligibility(s.req)
	return eligible.allows(s.kept.source)
}

// returnToSource returns the segment that continues the stream at that source.
func (s *streamRequest) returnToSource() *segment {
	resume := s.kept.resume
	next := &segment{target: s.kept.source, resume: &resume}
	s.kept, s.returned = nil, true
	return next
}

// freeKept deletes what the source of the stream keeps, unless the stream continues from it.
func (s *streamRequest) freeKept() {
	if kept := s.kept; kept != nil {
		s.kept = nil
		go s.freeUnlessResumed(kept.source, kept.resume.Handle, kept.next)
	}
}

// freeUnlessResumed deletes what a source holds under a handle, if any, unless the stream
// continues from it: a source may know all copies of a request under one handle.
func (s *streamRequest) freeUnlessResumed(source *registry.Target, handle string, resume Resume) {
	if handle == "" || resume.HolderAddr == source.Addr && resume.Handle == handle {
		return
	}
	s.freeCopy(source, handle)
}

// callStop asks a source to stop the request and to copy its KV cache to the destination.
// While a copy that was requested before is in progress, it asks again.
func (s *streamRequest) callStop(source, destination *registry.Target) sourceStop {
	// The call outlives the client: the source must not run on without a reader.
	ctx, cancel := context.WithTimeout(context.Background(), migrationTimeout)
	defer cancel()
	for {
		sentAt := time.Now()
		if !source.Load.HeldUntil(sentAt).IsZero() {
			return sourceStop{err: errSourceHeld}
		}
		if eligible := s.g.eligibility(s.req); !eligible.allows(destination) {
			return sourceStop{err: errTargetNotEligible}
		}
		result, err := s.g.opts.Migrator.Migrate(ctx, source.Addr, MigrationRequest{RequestID: s.req.ID, DestinationAddr: destination.Addr, Stop: true})
		s.g.applyNotice(source, result.Notice, sentAt, s.req.service)
		if !errors.Is(err, ErrMigrationInProgress) || !sleep(ctx, sourceStopRetryDelay) {
			return sourceStop{result: result, err: err}
		}
	}
}
