package sidecar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// ErrInvalidCold means that an engine states a time out of range for which it stays cold.
var ErrInvalidCold = errors.New("the stated time is out of range")

const (
	// maxStatementPolls is the age of the engine's statement, in poll periods, up to which
	// it is used. After that the engine may be cold. A longer time would leave an engine
	// that turns cold unlimited while its health check is slow or fails.
	maxStatementPolls = 3
	// maxStatementWait is how long a reservation beyond the limit waits for the answer to a
	// question in progress. Without it, a warm engine that is alone loses requests whenever
	// its demand begins to exceed the limit. It leaves time for the way between regions
	// within the timeout of the gateways.
	maxStatementWait = 50 * time.Millisecond
	// demandRetention is how long the engine is asked after the last reservation that
	// found the window used up. Health checks are paid for on some platforms, so an engine
	// whose demand stays within the rate is never asked.
	demandRetention = time.Second
)

// coldEngine holds how long the engine stays cold, and the grants. Callers hold the lock of
// the Sidecar.
type coldEngine struct {
	// askedAt is when the engine was asked for its last statement of how long it stays
	// cold, zero if there is none.
	askedAt     time.Time
	until       time.Time
	startMillis int64
	grants      decision.RateWindow
	// denied counts the denials since the engine turned cold.
	denied int
	// usedUpAt is when a reservation last found the window used up.
	usedUpAt time.Time
	// failed is set if the last question to the engine failed.
	failed bool
}

// setIncarnation drops what another incarnation of the engine has stated.
func (c *coldEngine) setIncarnation(startMillis int64) {
	if c.startMillis != 0 && c.startMillis != startMillis {
		c.askedAt = time.Time{}
	}
	c.startMillis = startMillis
}

// isKnown reports whether the engine's statement is at most maxAge old.
func (c *coldEngine) isKnown(now time.Time, maxAge time.Duration) bool {
	return !c.askedAt.IsZero() && now.Sub(c.askedAt) <= maxAge
}

// remainingMillis returns how long the engine stays cold, nil if unknown.
func (c *coldEngine) remainingMillis(now time.Time, maxAge time.Duration) *int64 {
	if !c.isKnown(now, maxAge) {
		return nil
	}
	remaining := max(c.until.Sub(now), 0)
	millis := int64((remaining + time.Millisecond - 1) / time.Millisecond)
	return &millis
}

// allows reports whether one more request stays within the limit for a cold engine. Beyond
// the limit it needs a recent statement that the engine is warm, which serves for a limited
// number of requests.
func (c *coldEngine) allows(now time.Time, limit int, maxAge time.Duration) bool {
	if c.grants.Allows(now, limit) {
		return true
	}
	c.usedUpAt = now
	if c.isKnown(now, maxAge) && !c.until.After(now) && c.grants.AllowsOnStatement(c.askedAt, limit) {
		return true
	}
	c.denied++
	return false
}

// maxStatementAge is the age up to which a statement of the engine is used.
func (s *Sidecar) maxStatementAge() time.Duration { return maxStatementPolls * s.opts.PollPeriod }

// allowsCold reports whether one more request stays within the limit, nil for none. It
// wakes the coldPoller if that needs a statement of the engine. Callers hold the lock.
func (s *Sidecar) allowsCold(now time.Time, limit *int) bool {
	if limit == nil {
		return true
	}
	before := s.cold.usedUpAt
	allowed := s.cold.allows(now, *limit, s.maxStatementAge())
	if s.cold.usedUpAt != before {
		select {
		case s.coldDemand <- struct{}{}:
		default:
		}
	}
	return allowed
}

// notifyColdAnswer ends the wait of reservations. Callers hold the lock.
func (s *Sidecar) notifyColdAnswer() {
	close(s.coldAnswered)
	s.coldAnswered = make(chan struct{})
}

// setColdFailed records that a question to the engine failed. It reports whether the one
// before failed too.
func (s *Sidecar) setColdFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.cold.failed
	s.cold.failed = true
	s.notifyColdAnswer()
	return before
}

// pendingColdAnswer returns a channel that is closed at the next answer of the engine or
// failure to get it, nil if the last question failed.
func (s *Sidecar) pendingColdAnswer() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.failed {
		return nil
	}
	return s.coldAnswered
}

// reserveAwaiting is like reserve, but a reservation that is denied although the engine has
// not stated that it is cold waits for its answer, for a limited time.
func (s *Sidecar) reserveAwaiting(ctx context.Context, in *Reservation) ReservationResult {
	timer := time.NewTimer(maxStatementWait)
	defer timer.Stop()
	for {
		answered := s.pendingColdAnswer()
		result := s.reserve(in)
		isCold := result.ColdMillis != nil && *result.ColdMillis > 0
		if !result.ColdDenied || isCold || answered == nil {
			return result
		}
		select {
		case <-answered:
		case <-timer.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// needsStatement reports whether a reservation has recently found the window used up.
func (s *Sidecar) needsStatement(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cold.usedUpAt.IsZero() && now.Sub(s.cold.usedUpAt) <= demandRetention
}

// coldPoller asks the engine how long it stays cold: at once when a reservation finds the
// window used up, then periodically while that goes on. It does not share the poller of
// reports, whose responses may be slow. It is a suture service.
type coldPoller struct {
	s    *Sidecar
	hold decision.ShedHold
}

// Serve implements suture.Service.
func (p *coldPoller) Serve(ctx context.Context) error {
	for {
		select {
		case <-p.s.coldDemand:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := p.pollWhileNeeded(ctx); err != nil {
			return err
		}
	}
}

// pollWhileNeeded asks the engine with the poll period until no reservation needs it.
func (p *coldPoller) pollWhileNeeded(ctx context.Context) error {
	ticker := time.NewTicker(p.s.opts.PollPeriod)
	defer ticker.Stop()
	for p.s.needsStatement(time.Now()) {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// String names the service in the supervisor's log.
func (p *coldPoller) String() string { return "cold poller" }

// poll asks the engine once. Watchers are notified at once if the engine turns cold or warm.
// After a failure, what is known ages until the engine counts as possibly cold.
func (p *coldPoller) poll(ctx context.Context) {
	s := p.s
	startedAt := time.Now()
	if !s.needsStatement(startedAt) || !p.hold.TryStart(startedAt) {
		return
	}
	remaining, err := s.opts.Engine.Cold(ctx, s.opts.EngineAddr)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) && refused.RetryAfter > 0 {
			p.hold.Shed(time.Now(), refused.RetryAfter, 0)
		}
		if !s.setColdFailed() && ctx.Err() == nil {
			telemetry.Warn(s.opts.Logger, "asking the engine whether it is cold failed", "out_of_range", errors.Is(err, ErrInvalidCold), "err", err)
		}
		return
	}
	p.hold.Accepted(startedAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wasKnown, wasCold := s.cold.isKnown(now, s.maxStatementAge()), s.cold.until.After(now)
	s.cold.askedAt, s.cold.until, s.cold.failed = startedAt, now.Add(remaining), false
	s.notifyColdAnswer()
	isCold := remaining > 0
	if wasKnown && wasCold == isCold {
		return
	}
	telemetry.Info(s.opts.Logger, "engine cold state changed", "cold", isCold, "cold_ms", remaining.Milliseconds(), "known_before", wasKnown, "denied", s.cold.denied)
	if isCold {
		s.cold.denied = 0
	}
	if s.latest.Report == nil {
		return
	}
	report := *s.latest.Report
	report.ColdMillis = s.cold.remainingMillis(now, s.maxStatementAge())
	s.latest = Line{Report: &report}
	close(s.changed)
	s.changed = make(chan struct{})
}
