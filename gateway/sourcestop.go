package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of the stop of a request at its source.
const (
	// sourceStopLimit limits how long a stream pauses until its source confirms the stop.
	// Clients abandon a stream after a pause of two seconds.
	sourceStopLimit = 1500 * time.Millisecond
	// sourceStopSilence is the time without a response after which the stop is requested
	// once more, on another connection. The response may wait for a copy.
	sourceStopSilence = 250 * time.Millisecond
	// The delay after a call that has confirmed nothing doubles from minSourceStopDelay to
	// maxSourceStopDelay.
	minSourceStopDelay = 20 * time.Millisecond
	maxSourceStopDelay = 160 * time.Millisecond
	// maxSourceStopCalls limits the calls in progress for one stop.
	maxSourceStopCalls = 4
	// sourceProbeTimeout limits the connection that shows whether a held source still exists.
	sourceProbeTimeout = 300 * time.Millisecond
	// maxUnansweredDials is the number of successive connections to a source that are not
	// accepted in time, after which the source counts as unreachable.
	maxUnansweredDials = 2
)

// maxRunReportAge is the age up to which an engine's report of its requests may be out of date.
// Engines report the state of some hundred milliseconds ago.
const maxRunReportAge = time.Second

// RunReporter reports which requests engines run.
type RunReporter interface {
	// Runs reports whether the engine at addr runs a request that has generated an event, as of
	// maxRunReportAge ago at most. The notice is what the engine states about itself.
	Runs(ctx context.Context, addr, requestID string) (bool, TargetNotice, error)
}

// errMayStillRun means that the report of an engine doesn't show that a request has ended.
var errMayStillRun = errors.New("the source of the stream may still run it")

// errSourceHeld means that the source of a stream has asked for no further calls.
var errSourceHeld = errors.New("the source of the stream sheds load")

// sourceState is what is known about a target that may still run a request.
type sourceState int

const (
	// sourceUnconfirmed: the target can be reached and has not confirmed the stop.
	sourceUnconfirmed sourceState = iota
	// sourceStopped: the target does not run the request any more.
	sourceStopped
	// sourceUnreachable: the target accepts no connection. It may have ended.
	sourceUnreachable
	// destinationIneligible: the target that was to receive the KV cache must not get it.
	destinationIneligible
)

// String returns the name of the state for logs and metrics.
func (s sourceState) String() string {
	return [...]string{"unconfirmed", "stopped", "unreachable", "destination ineligible"}[s]
}

// sourceStop is the outcome of one call, or of all calls, that stop a request at its source.
type sourceStop struct {
	state  sourceState
	result MigrationResult
	err    error
	// calls is the number of calls and probes so far.
	calls int
}

// hasStopped reports whether the response to a call confirms that the source does not run
// the request any more.
func (o *sourceStop) hasStopped() bool {
	return o.err == nil || o.result.Handle != "" || errors.Is(o.err, ErrUnknownRequest)
}

// stopSource stops the request at the target that may still run it, before next continues the
// stream. It returns the segment that continues the stream, nil if there is none: a stream
// continues elsewhere only if its source has confirmed the stop or cannot be reached. The
// arguments seg, segResult and n are those of nextSegment.
func (s *streamRequest) stopSource(ctx context.Context, seg, next *segment, n int) *segment {
	for next != nil && s.source != nil {
		switch s.stopAtSource(ctx, s.source, next) {
		case sourceStopped:
			s.source = nil
		case sourceUnreachable:
			// It may be reachable again while it still runs the request.
			s.req.recordRunAt(s.source.Addr)
			if next.backup != nil && next.backup.Addr == s.source.Addr {
				next.backup = nil
			}
			s.source = nil
		case destinationIneligible:
			// The retry was taken from the budget for the segment that is given up.
			s.retrySpent = true
			next = s.continueStream(ctx, seg, segmentNotSent, n)
			s.retrySpent = false
		case sourceUnconfirmed:
			return nil
		}
	}
	return next
}

// stopAtSource asks a source to end the request before it continues at the next target: an
// engine may run a request on after its connection has closed. It returns what is known about
// the source after sourceStopLimit at the latest.
//
// A source that still ran the request copies the KV cache to the next target. That copy
// is complete, so it replaces the one that the next segment was to continue from.
func (s *streamRequest) stopAtSource(ctx context.Context, source *registry.Target, next *segment) sourceState {
	e := s.req.service.Engine
	canMigrate := e != nil && e.CanMigrate && s.g.opts.Migrator != nil
	if !canMigrate && (e == nil || s.g.opts.RunReporter == nil || s.sourceEventAt.IsZero()) {
		// Nothing but the closed connection tells the source to stop, and nothing confirms that.
		return sourceStopped
	}
	startedAt := time.Now()
	stopper := &sourceStopper{
		stream: s, source: source, destination: next.target, canMigrate: canMigrate, firstEventAt: s.sourceEventAt, isReserved: s.stopReserved,
		outcome: make(chan sourceStop), expired: make(chan struct{}),
	}
	if next.resume != nil {
		stopper.resume = *next.resume
	}
	s.stopReserved = false
	go stopper.run()
	timer := time.NewTimer(sourceStopLimit)
	defer timer.Stop()
	var outcome sourceStop
	select {
	case outcome = <-stopper.outcome:
	case <-timer.C:
		close(stopper.expired)
		outcome.err = context.DeadlineExceeded
	case <-ctx.Done():
		close(stopper.expired)
		outcome.err = ctx.Err()
	}
	copied := outcome.err == nil && outcome.result.Handle != ""
	if outcome.result.Handle != "" {
		kept := &Resume{HolderAddr: source.Addr, Handle: outcome.result.Handle, LastEventID: s.lastEventID}
		resume := stopper.resume
		if copied {
			next.resume, resume = kept, *kept
		}
		s.kept = &keptCache{source: source, resume: *kept, next: resume}
	}
	s.g.metrics.recordSourceStop(s.req.service.Name, outcome.state)
	telemetry.Info(s.g.opts.Logger, "source stop", "request", s.req.ID, "source", source.ID, "next", next.target.ID,
		"state", outcome.state, "copied", copied, "calls", outcome.calls, "err", outcome.err, "took_ms", time.Since(startedAt).Milliseconds())
	return outcome.state
}

// sourceStopper stops a request at its source. It calls the source until the stop is
// confirmed, since any call may be lost, fail or be turned away.
type sourceStopper struct {
	stream              *streamRequest
	source, destination *registry.Target
	// resume is how the stream is to continue at the destination.
	resume Resume
	// canMigrate is set if the source has a call that stops a request. Otherwise its report is
	// read until it shows that the request, whose first event came at firstEventAt, has ended.
	canMigrate   bool
	firstEventAt time.Time
	// isReserved is set if the first call was counted in the source's hold before.
	isReserved bool
	// outcome receives the outcome unless expired is closed before: the stream does not
	// continue then.
	outcome chan sourceStop
	expired chan struct{}
}

// run calls the source and delivers the outcome. The calls outlive the client: the source must
// not run on without a reader.
func (p *sourceStopper) run() {
	ctx, cancel := context.WithTimeout(context.Background(), migrationTimeout)
	defer cancel()
	calls := make(chan sourceStop, maxSourceStopCalls)
	outcome, inFlight := p.callUntilStopped(ctx, calls)
	select {
	case p.outcome <- outcome:
	case <-p.expired:
		if outcome.result.Handle != "" {
			p.stream.freeCopy(p.source, outcome.result.Handle)
		}
	}
	// What another call has copied meanwhile serves no one, unless the handle is the same.
	used := p.resume
	if outcome.result.Handle != "" {
		used = Resume{HolderAddr: p.source.Addr, Handle: outcome.result.Handle}
	}
	for range inFlight {
		late := <-calls
		p.stream.freeUnlessResumed(p.source, late.result.Handle, used)
	}
}

// callUntilStopped calls the source until the outcome is known or ctx ends. It returns the
// number of calls whose outcome calls will still receive.
func (p *sourceStopper) callUntilStopped(ctx context.Context, calls chan sourceStop) (outcome sourceStop, inFlight int) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sent, unanswered, delay := 0, 0, minSourceStopDelay
	if !p.canMigrate {
		delay = maxSourceStopDelay
	}
	for {
		select {
		case <-ctx.Done():
			return sourceStop{err: ctx.Err(), calls: sent}, inFlight
		case <-timer.C:
			timer.Reset(sourceStopSilence)
			if inFlight == maxSourceStopCalls {
				continue
			}
			isReserved := p.isReserved && sent == 0
			sent++
			inFlight++
			go func() { calls <- p.call(ctx, isReserved) }()
		case outcome = <-calls:
			inFlight--
			outcome.calls = sent
			switch {
			case outcome.hasStopped():
				outcome.state = sourceStopped
				return outcome, inFlight
			case errors.Is(outcome.err, errTargetNotEligible):
				outcome.state = destinationIneligible
				return outcome, inFlight
			case httpclient.IsUnreachable(outcome.err):
				unanswered++
				if unanswered == maxUnansweredDials || errors.Is(outcome.err, syscall.ECONNREFUSED) {
					outcome.state = sourceUnreachable
					return outcome, inFlight
				}
				timer.Reset(0)
			default:
				unanswered = 0
				timer.Reset(delay)
				delay = min(2*delay, maxSourceStopDelay)
			}
		}
	}
}

// call asks the source once to stop the request and to copy its KV cache to the destination.
// While the source's hold allows no call, it only opens a connection, which fails if the
// source has ended.
func (p *sourceStopper) call(ctx context.Context, isReserved bool) sourceStop {
	g := p.stream.g
	if eligible := g.eligibility(p.stream.req); !eligible.allows(p.destination) {
		return sourceStop{err: errTargetNotEligible}
	}
	sentAt := time.Now()
	if !isReserved && !p.source.Load.TryStop(sentAt) {
		return sourceStop{err: p.probe(ctx)}
	}
	if !p.canMigrate {
		return sourceStop{err: p.checkReport(ctx, sentAt)}
	}
	result, err := g.opts.Migrator.Migrate(ctx, p.source.Addr, MigrationRequest{RequestID: p.stream.req.ID, DestinationAddr: p.destination.Addr, Stop: true})
	p.applyNotice(result.Notice, sentAt)
	return sourceStop{result: result, err: err}
}

// applyNotice applies what the source states about itself. A response that states nothing doesn't
// end a hold: the call brought the source no work.
func (p *sourceStopper) applyNotice(n TargetNotice, sentAt time.Time) {
	if n.RetryAfter > 0 || n.Leaving {
		p.stream.g.applyNotice(p.source, n, sentAt, p.stream.req.service)
	}
}

// checkReport reads the source's report. It returns ErrUnknownRequest if that shows that the
// request has ended: the report is not older than the first event of the request, and does not
// contain it.
func (p *sourceStopper) checkReport(ctx context.Context, sentAt time.Time) error {
	running, notice, err := p.stream.g.opts.RunReporter.Runs(ctx, p.source.Addr, p.stream.req.ID)
	p.applyNotice(notice, sentAt)
	switch {
	case err != nil:
		return err
	case running, sentAt.Sub(p.firstEventAt) < maxRunReportAge:
		return errMayStillRun
	}
	return ErrUnknownRequest
}

// probe opens a connection to the source and closes it. It returns errSourceHeld if the source
// accepts it.
func (p *sourceStopper) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sourceProbeTimeout)
	defer cancel()
	conn, err := p.stream.g.connPool.DialNew(ctx, p.source.Addr)
	if err != nil {
		return err
	}
	conn.Close()
	return errSourceHeld
}

// reserveStop counts the call that stops the request at its source before the source's
// connection is closed for a planned switch. It returns false if the source's hold allows
// no call: the stream then stays where it is.
func (s *streamRequest) reserveStop(source *registry.Target) bool {
	s.stopReserved = source.Load.TryStop(time.Now())
	return s.stopReserved
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
