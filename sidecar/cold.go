package sidecar

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// ErrOddCold means that an engine states a time out of range for which it stays cold.
var ErrOddCold = errors.New("the stated time is out of range")

// maxColdAge is the age of the engine's statement up to which it is used. After that the
// engine may be cold. It is several times the poll period and covers a slow response.
const maxColdAge = time.Second

// coldEngine holds how long the engine stays cold, and the grants. Callers hold the lock of
// the Sidecar.
type coldEngine struct {
	// statedAt is when the engine last stated how long it stays cold, zero if it has not.
	statedAt    time.Time
	until       time.Time
	startMillis int64
	grants      decision.RateWindow
	// denied counts the denials since the engine turned cold.
	denied int
	// limitedAt is when a gateway last asked for a grant of a service with a rate.
	limitedAt time.Time
}

// pollRetention is how long the engine is asked after the last reservation of a service
// with a rate. Engines of other services are never asked.
const pollRetention = time.Minute

// setIncarnation drops what another incarnation of the engine has stated.
func (c *coldEngine) setIncarnation(startMillis int64) {
	if c.startMillis != 0 && c.startMillis != startMillis {
		c.statedAt = time.Time{}
	}
	c.startMillis = startMillis
}

func (c *coldEngine) isKnown(now time.Time) bool {
	return !c.statedAt.IsZero() && now.Sub(c.statedAt) <= maxColdAge
}

// remainingMillis returns how long the engine stays cold, nil if unknown.
func (c *coldEngine) remainingMillis(now time.Time) *int64 {
	if !c.isKnown(now) {
		return nil
	}
	remaining := max(c.until.Sub(now), 0)
	millis := int64((remaining + time.Millisecond - 1) / time.Millisecond)
	return &millis
}

// isRateLimited reports whether a gateway has recently asked for a grant of a service with a
// rate.
func (s *Sidecar) isRateLimited(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cold.limitedAt.IsZero() && now.Sub(s.cold.limitedAt) <= pollRetention
}

// allows reports whether one more request stays within the rate of the engine. An engine
// that may be cold counts as cold. A rate of 0 is no limit.
func (c *coldEngine) allows(now time.Time, perSecond float64) bool {
	if perSecond == 0 || c.isKnown(now) && !c.until.After(now) {
		return true
	}
	if c.grants.Allows(now, int(math.Floor(min(max(perSecond, 0), math.MaxInt32)))) {
		return true
	}
	c.denied++
	return false
}

// coldPoller asks the engine periodically how long it stays cold. It does not share the
// poller of reports, whose responses may be slow. It is a suture service.
type coldPoller struct {
	s      *Sidecar
	hold   decision.ShedHold
	failed bool
}

// Serve implements suture.Service.
func (p *coldPoller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(p.s.opts.PollPeriod)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (p *coldPoller) String() string { return "cold poller" }

// poll asks the engine once. Watchers are notified at once if the engine turns cold or warm.
// After a failure, what is known ages until the engine counts as possibly cold.
func (p *coldPoller) poll(ctx context.Context) {
	s := p.s
	startedAt := time.Now()
	if !s.isRateLimited(startedAt) || !p.hold.TryStart(startedAt) {
		return
	}
	remaining, err := s.opts.Engine.Cold(ctx, s.opts.EngineAddr)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) && refused.RetryAfter > 0 {
			p.hold.Shed(time.Now(), refused.RetryAfter, 0)
		}
		if !p.failed && ctx.Err() == nil {
			telemetry.Warn(s.opts.Logger, "asking the engine whether it is cold failed", "odd", errors.Is(err, ErrOddCold), "err", err)
		}
		p.failed = true
		return
	}
	p.failed = false
	p.hold.Accepted(startedAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wasKnown, wasCold := s.cold.isKnown(now), s.cold.until.After(now)
	s.cold.statedAt, s.cold.until = now, now.Add(remaining)
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
	report.ColdMillis = s.cold.remainingMillis(now)
	s.latest = Line{Report: &report}
	close(s.changed)
	s.changed = make(chan struct{})
}
