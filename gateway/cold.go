package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// errTargetCold is the error of an attempt that was not sent because its target is cold and
// takes no further requests now.
var errTargetCold = errors.New("the target is cold and gets no further requests now")

const (
	// coldDenialTime is how long a cold target is not chosen after a denial. At 28 requests
	// per second, the next grant follows after 45 ms on average.
	coldDenialTime = 50 * time.Millisecond
	// maxMemberStateAge is the age of the state of the store up to which the list of
	// members may be used for shares. It is shorter than the time after which a registered
	// gateway takes a share.
	maxMemberStateAge = 2 * time.Second
	// maxColdWord limits the time that a sidecar may state. Larger values are ignored.
	maxColdWord = time.Hour
)

// coldGrant is a grant of a sidecar, or a part of this gateway's share, for one request to
// a cold target. It is used once.
type coldGrant struct {
	load    *registry.Load
	expires time.Time
}

// takeColdGrant uses the request's grant for a target, if it has one.
func (r *request) takeColdGrant(t *registry.Target, now time.Time) bool {
	granted := r.coldGrant.load == t.Load && !now.After(r.coldGrant.expires)
	r.coldGrant = coldGrant{}
	return granted
}

// coldLimit returns the limit of requests to a cold target of a service.
func (g *Gateway) coldLimit(s *routing.Service) decision.ColdLimit {
	return decision.ColdLimit{PerSecond: s.ColdPerSecond, Over: g.opts.ColdOver, Slack: g.opts.ColdSlack}
}

// hasSidecars reports whether the targets of a service have sidecars.
func (g *Gateway) hasSidecars(s *routing.Service) bool {
	return s.Engine != nil && g.opts.SidecarWatcher != nil
}

// ColdProber asks a target how long it stays cold.
type ColdProber interface {
	Cold(ctx context.Context, addr string) (time.Duration, error)
}

// allowCold returns an error if the target is or may be cold and the request has no grant.
// It uses the grant of a reservation, or asks the sidecar for one, which also grants at once
// while the target is warm: the target may have turned cold since its last report. Without
// the sidecar's response, a request to a cold target takes a part of this gateway's share.
func (g *Gateway) allowCold(ctx context.Context, req *request, t *registry.Target) error {
	if req.service.ColdPerSecond == 0 || req.takeColdGrant(t, time.Now()) {
		return nil
	}
	if g.hasSidecars(req.service) && t.Load.HasColdWord(time.Now()) {
		if answered, granted := g.reserveCold(ctx, req, t); answered {
			if !granted {
				return errTargetCold
			}
			return nil
		}
	}
	if !g.allowWithoutSidecar(ctx, req, t) {
		return errTargetCold
	}
	req.coldGrant = coldGrant{}
	return nil
}

// reserveCold asks the sidecar of a target for a grant. It reports whether the sidecar has
// answered, and whether it grants the request.
func (g *Gateway) reserveCold(ctx context.Context, req *request, t *registry.Target) (answered, granted bool) {
	addr, err := sidecarAddr(t.Addr, g.opts.SidecarPort)
	if err != nil {
		return false, false
	}
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	result, err := g.opts.SidecarWatcher.Reserve(ctx, addr, &sidecar.Reservation{
		RequestID: req.ID, MaxPrefillTokens: unlimited, MaxKVTokens: unlimited, ColdPerSecond: g.coldLimit(req.service).PerSecond, ColdOnly: true,
	})
	if err != nil {
		telemetry.Info(g.opts.Logger, "reservation failed", "request", req.ID, "target", t.ID, "err", err)
		return false, false
	}
	g.applyColdResult(req, t, &result, askedAt)
	if result.ColdDenied {
		return true, false
	}
	granted = req.takeColdGrant(t, time.Now())
	return granted, granted
}

// applyColdResult applies the response of a sidecar that was asked at the given time. The
// response of a sidecar that does not know whether its engine is cold is no grant, nor is
// that of a sidecar of an earlier build.
func (g *Gateway) applyColdResult(req *request, t *registry.Target, result *sidecar.ReservationResult, askedAt time.Time) {
	if req.service.ColdPerSecond == 0 {
		return
	}
	if result.Report != nil && result.Report.StartMillis != 0 && t.StartMillis != 0 && result.Report.StartMillis != t.StartMillis {
		return
	}
	g.applyCold(t, result.ColdMillis)
	switch {
	case result.ColdDenied:
		g.denyCold(req, t, "sidecar", 0)
	case result.Granted && result.ColdMillis != nil:
		req.coldGrant = coldGrant{load: t.Load, expires: askedAt.Add(decision.MaxGrantDelay)}
		if *result.ColdMillis > 0 {
			g.metrics.recordCold(req.service.Name, "sidecar", true)
		}
	}
}

// mayBeCold reports whether a target may be cold whose sidecar does not answer. The target
// itself is asked: it may have turned cold since its sidecar's last word or since its entry
// was written. A target that does not answer may be cold. The entry decides for a service
// without sidecars; it also counts if the sidecar has never answered, since the engine may
// not state how long it stays cold.
func (g *Gateway) mayBeCold(ctx context.Context, req *request, t *registry.Target) bool {
	now := time.Now()
	entryCold := t.ColdUntil(now).After(now)
	if !g.hasSidecars(req.service) || g.opts.ColdProber == nil || entryCold && !t.Load.HadColdWord() {
		return entryCold
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	remaining, err := g.opts.ColdProber.Cold(ctx, t.Addr)
	if err != nil {
		telemetry.Info(g.opts.Logger, "asking a target whether it is cold failed", "request", req.ID, "target", t.ID, "err", err)
	}
	return err != nil || remaining > 0
}

// allowWithoutSidecar reports whether a request may be sent without the response of a
// sidecar: to a warm target, or within this gateway's share of the requests to a cold one.
func (g *Gateway) allowWithoutSidecar(ctx context.Context, req *request, t *registry.Target) bool {
	if req.service.ColdPerSecond == 0 {
		return true
	}
	askedAt := time.Now()
	if !g.mayBeCold(ctx, req, t) {
		req.coldGrant = coldGrant{load: t.Load, expires: askedAt.Add(decision.MaxGrantDelay)}
		return true
	}
	now := time.Now()
	share := g.coldShare(req.service, t, now)
	if !t.Load.TakeColdShare(now, share) {
		g.denyCold(req, t, "share", share)
		return false
	}
	req.coldGrant = coldGrant{load: t.Load, expires: now.Add(decision.MaxGrantDelay)}
	g.metrics.recordCold(req.service.Name, "share", true)
	return true
}

// coldShare returns the requests that this gateway may send to a cold target in a second
// without the grant of a sidecar. It is 0 unless this gateway's list of members is recent
// and the other gateways list this one.
func (g *Gateway) coldShare(s *routing.Service, t *registry.Target, now time.Time) int {
	if g.feedHub.StateAge(now) > maxMemberStateAge {
		return 0
	}
	members, settled := g.members.Settled(now)
	if !settled {
		return 0
	}
	return decision.ColdShare(t.ID, g.opts.VM, members, g.coldLimit(s).ByShares(g.hasSidecars(s)))
}

func (g *Gateway) denyCold(req *request, t *registry.Target, by string, share int) {
	now := time.Now()
	t.Load.DenyCold(now.Add(coldDenialTime))
	g.metrics.recordCold(req.service.Name, by, false)
	telemetry.Info(g.opts.Logger, "cold target not used", "request", req.ID, "target", t.ID, "service", req.service.Name, "by", by, "share", share,
		"cold_ms", t.ColdUntil(now).Sub(now).Milliseconds(), "sidecar_word", t.Load.HasColdWord(now), "cold_per_s", req.service.ColdPerSecond,
		"cold_start_ms", req.service.ColdStart.Milliseconds(), "members", g.members.Count(), "state_age_ms", g.feedHub.StateAge(now).Milliseconds())
}

// applyCold records how long a target stays cold according to its sidecar. A nil value
// states nothing; one out of range is ignored.
func (g *Gateway) applyCold(t *registry.Target, millis *int64) {
	if millis == nil {
		return
	}
	if *millis < 0 || *millis > maxColdWord.Milliseconds() {
		g.metrics.recordIgnored("sidecar")
		if t.Load.IsFirstOddCold() {
			telemetry.Warn(g.opts.Logger, "invalid cold time of a sidecar ignored", "target", t.ID, "cold_ms", *millis)
		}
		return
	}
	t.Load.SetCold(time.Now(), time.Duration(*millis)*time.Millisecond)
}
