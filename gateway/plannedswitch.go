package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Figures of a planned switch.
const (
	// switchRetries is the number of retries that a planned switch may need: one for the
	// continuation, one for the return to the source if that is refused.
	switchRetries = 2
	// sourceCloseDelay is how long a source that has stopped a request may take to end its
	// response.
	sourceCloseDelay = 100 * time.Millisecond
)

// reservedRetries are retries that were taken from the budget of a service for later use. The
// zero value has none.
type reservedRetries struct {
	budgets *retryBudgets
	service string
	takenAt []time.Time
}

// reserveRetries takes n retries from the budget of a service, or none if it allows fewer.
func (b *retryBudgets) reserveRetries(service string, n int) (r reservedRetries, ok bool) {
	r = reservedRetries{budgets: b, service: service}
	for range n {
		now := time.Now()
		if !b.spendRetry(service) {
			r.release()
			return reservedRetries{}, false
		}
		r.takenAt = append(r.takenAt, now)
	}
	return r, true
}

// use uses one of the retries.
func (r *reservedRetries) use() { r.takenAt = r.takenAt[1:] }

// release returns the unused retries to the budget.
func (r *reservedRetries) release() {
	for _, at := range r.takenAt {
		r.budgets.returnRetry(r.service, at)
	}
	r.takenAt = nil
}

// takeRetry takes the retry for the next segment that continues the stream, from the reserved
// ones or the budget. The last reserved one is for the return to the source, which comes next
// if the budget allows nothing else.
func (s *streamRequest) takeRetry() bool {
	spent := s.retrySpent
	s.retrySpent = false
	reserved := len(s.reserved.takenAt)
	switch {
	case spent:
		return true
	case reserved > 1, reserved == 1 && len(s.failovers) == 0:
		s.reserved.use()
		return true
	case s.g.retryBudgets.spendRetry(s.req.service.Name):
		return true
	case reserved == 1 && s.canReturnToSource():
		s.reserved.use()
		s.failovers = nil
		return true
	}
	return false
}

// plannedStop stops a stream at its source for a planned switch. The source's response is read
// on meanwhile: a stream whose source does not confirm the stop, or has ended the request before,
// stays there.
type plannedStop struct {
	stream    *streamRequest
	segment   *segment
	stopper   *sourceStopper
	failovers []*segment
	reserved  reservedRetries
	startedAt time.Time
	// known is closed once outcome is set.
	known   chan struct{}
	outcome sourceStop
	// isTaken is set once the stream continues with the outcome.
	isTaken bool
	ended   chan struct{}

	mu sync.Mutex
	// closeSource closes the connection to the source, nil once the segment has ended.
	closeSource func()
}

// beginSwitch begins a planned switch: another target is known to hold the KV cache and takes
// the request, the source may be asked to stop it, and the budget allows the retries that the
// switch may need. It returns nil if the stream stays at its source for now.
func (s *streamRequest) beginSwitch(at *attempt, seg *segment) *plannedStop {
	now := time.Now()
	if now.Before(seg.switchAfter) || s.g.stopPhase.dispatchEnded() || !seg.target.Load.CanStop(now) {
		return nil
	}
	if len(s.req.SharedParts) > 0 && !s.ranSoundly {
		// A part that is quarantined just then would end the stream.
		return nil
	}
	failovers := slices.DeleteFunc(s.failoverSegments(seg), func(f *segment) bool { return !f.target.Load.CanResume(now) })
	if len(failovers) == 0 {
		return nil
	}
	reserved, ok := s.g.retryBudgets.reserveRetries(s.req.service.Name, switchRetries)
	if !ok {
		return nil
	}
	if !seg.target.Load.TryStop(now) {
		reserved.release()
		return nil
	}
	p := &plannedStop{
		stream: s, segment: seg, failovers: failovers, reserved: reserved, startedAt: now,
		known: make(chan struct{}), ended: make(chan struct{}), closeSource: at.conn.Close,
	}
	p.stopper = &sourceStopper{
		stream: s, source: seg.target, destination: failovers[0].target, resume: *failovers[0].resume, canMigrate: true, isReserved: true, awaitsCalls: true,
		outcome: make(chan sourceStop), expired: make(chan struct{}),
	}
	go p.stopper.run()
	go p.run()
	return p
}

// run awaits the outcome. If the source has stopped the request but does not end its response,
// run closes the connection.
func (p *plannedStop) run() {
	select {
	case p.outcome = <-p.stopper.outcome:
	case <-p.ended:
		close(p.stopper.expired)
		return
	}
	close(p.known)
	if p.outcome.result.Handle == "" {
		return
	}
	timer := time.NewTimer(sourceCloseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ended:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeSource != nil {
		p.closeSource()
	}
}

func (p *plannedStop) isKnown() bool {
	select {
	case <-p.known:
		return true
	default:
		return false
	}
}

// hasFailed reports whether the source is known to run the request on.
func (p *plannedStop) hasFailed() bool {
	return p != nil && p.isKnown() && !p.outcome.hasStopped()
}

// end gives up the switch unless the stream continues with its outcome.
func (p *plannedStop) end() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.closeSource = nil
	p.mu.Unlock()
	close(p.ended)
	p.reserved.release()
	if p.isTaken {
		return
	}
	p.segment.migration.copyUsed.Store(false)
	p.log()
	if p.isKnown() && p.outcome.result.Handle != "" {
		go p.stream.freeCopy(p.stopper.source, p.outcome.result.Handle)
	}
}

func (p *plannedStop) log() {
	s := p.stream
	var outcome sourceStop
	if p.isKnown() {
		outcome = p.outcome
	}
	s.g.metrics.recordSourceStop(s.req.service.Name, outcome.state)
	telemetry.Info(s.g.opts.Logger, "planned source stop", "request", s.req.ID, "source", p.stopper.source.ID, "next", p.stopper.destination.ID, "state", outcome.state,
		"switched", p.isTaken, "calls", outcome.calls, "err", outcome.err, "took_ms", time.Since(p.startedAt).Milliseconds(), "events", s.deliveredEvents)
}

// finishSwitch returns the error that ends a segment whose response has ended with err: errSwitch
// if its source has stopped it for the planned switch, which is nil if there is none.
func (s *streamRequest) finishSwitch(ctx context.Context, at *attempt, p *plannedStop, err error) error {
	isEnd := errors.Is(err, io.EOF)
	if p == nil || isEnd && statesItsEnd(at.resp) {
		return err
	}
	select {
	case <-p.known:
	case <-ctx.Done():
	}
	switch {
	case isEnd && p.isKnown() && p.outcome.calls == 1 && errors.Is(p.outcome.err, ErrUnknownRequest):
		// The request had ended before the call.
		return err
	case p.isKnown() && p.outcome.hasStopped():
		s.takeSwitch(p)
		return errSwitch
	case isEnd:
		// The stop may have ended the response.
		return io.ErrUnexpectedEOF
	}
	return err
}

// statesItsEnd reports whether the end of a response differs from that of its connection.
func statesItsEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// takeSwitch lets the stream continue after the last event that the client has received. A copy
// that the source has made after the stop is complete, so it replaces the earlier one.
func (s *streamRequest) takeSwitch(p *plannedStop) {
	p.isTaken = true
	p.log()
	s.switched, s.failovers = true, p.failovers
	s.reserved, p.reserved = p.reserved, reservedRetries{}
	for _, f := range s.failovers {
		f.resume.LastEventID = s.lastEventID
	}
	handle := p.outcome.result.Handle
	if handle == "" {
		return
	}
	kept := Resume{HolderAddr: p.stopper.source.Addr, Handle: handle, LastEventID: s.lastEventID}
	if p.outcome.err == nil {
		copied := kept
		s.failovers[0].resume = &copied
	}
	s.kept = &keptCache{source: p.stopper.source, resume: kept, next: *s.failovers[0].resume}
}
