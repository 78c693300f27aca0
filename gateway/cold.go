package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
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
	// sidecarMemory is how long a sidecar that has not answered, or that does not count
	// grants, is not asked for grants. Without it, each request would wait reserveTimeout.
	sidecarMemory = time.Second
	// maxColdSearch is how long a request goes on to other targets after its first denial
	// at a cold target. It covers several sidecars in other regions, and many near ones.
	maxColdSearch = 250 * time.Millisecond
	// maxGrantTries is the number of grants that one attempt asks for if the connection
	// takes longer to open than a grant holds.
	maxGrantTries = 2
	// maxColdStatement limits the time that a sidecar may state. Larger values are ignored.
	maxColdStatement = time.Hour
)

// coldGrant is a grant of a sidecar, or a part of this gateway's share, for one request to
// a cold target. It is used once.
type coldGrant struct {
	load    *registry.Load
	expires time.Time
}

// takeColdGrant uses the request's grant for a target, and returns when it expires. It
// reports false if the request has none.
func (r *request) takeColdGrant(t *registry.Target, now time.Time) (expires time.Time, ok bool) {
	grant := r.coldGrant
	r.coldGrant = coldGrant{}
	return grant.expires, grant.load == t.Load && !now.After(grant.expires)
}

// maySearchOn reports whether a request that a cold target has denied may go to another
// target without this counting as a dispatch: another target may be warm. The time is
// limited, so that a request ends at once if many targets are cold.
func (r *request) maySearchOn(now time.Time) bool {
	if r.coldDeniedAt.IsZero() {
		r.coldDeniedAt = now
	}
	return now.Sub(r.coldDeniedAt) <= maxColdSearch
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

// coldReservationLimit returns the limit of a reservation at the sidecar of a target, nil
// for a service without one.
func (g *Gateway) coldReservationLimit(s *routing.Service) *int {
	if s.ColdPerSecond == 0 {
		return nil
	}
	limit := g.coldLimit(s).BySidecar()
	return &limit
}

// connectGranted returns a connection to a target that may get the request now. The grant
// precedes the connection, so that no idle connection ages while the sidecar is asked. If
// the connection takes longer than the grant holds, another grant is needed.
func (g *Gateway) connectGranted(ctx context.Context, req *request, t *registry.Target) (*httpwire.Conn, error) {
	for range maxGrantTries {
		expires, err := g.allowCold(ctx, req, t)
		if err != nil {
			return nil, err
		}
		conn, err := g.connect(ctx, req, t)
		if err != nil {
			return nil, errors.Wrap(err, "connect")
		}
		if expires.IsZero() || !time.Now().After(expires) {
			return conn, nil
		}
		g.connPool.Put(conn, defaultIdleReuse)
	}
	return nil, errTargetCold
}

// allowCold returns an error if the target is or may be cold and the request has no grant,
// and otherwise when the grant expires, zero for a service without a limit. It uses the
// grant of a reservation, or asks the sidecar for one while that is alive. Without the
// sidecar's response, this gateway decides.
func (g *Gateway) allowCold(ctx context.Context, req *request, t *registry.Target) (expires time.Time, err error) {
	if req.service.ColdPerSecond == 0 {
		return time.Time{}, nil
	}
	now := time.Now()
	if expires, ok := req.takeColdGrant(t, now); ok {
		return expires, nil
	}
	if g.hasSidecars(req.service) && t.Load.Report(now, maxLoadReportAge) != nil && t.Load.MetersCold(now) && !g.reserveCold(ctx, req, t) {
		return time.Time{}, errTargetCold
	}
	if expires, ok := req.takeColdGrant(t, time.Now()); ok {
		return expires, nil
	}
	if !g.allowWithoutSidecar(ctx, req, t) {
		return time.Time{}, errTargetCold
	}
	expires, _ = req.takeColdGrant(t, now)
	return expires, nil
}

// reserveCold asks the sidecar of a target for a grant, which is kept in the request. It
// reports false only if the sidecar denies it.
func (g *Gateway) reserveCold(ctx context.Context, req *request, t *registry.Target) bool {
	addr, err := sidecarAddr(t.Addr, g.opts.SidecarPort)
	if err != nil {
		return true
	}
	askedAt := time.Now()
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	result, err := g.opts.SidecarWatcher.Reserve(reserveCtx, addr, &sidecar.Reservation{
		RequestID: req.ID, MaxPrefillTokens: unlimited, MaxKVTokens: unlimited, ColdLimit: g.coldReservationLimit(req.service), ColdOnly: true,
	})
	if err != nil {
		telemetry.Info(g.opts.Logger, "reservation failed", "request", req.ID, "target", t.ID, "err", err)
		g.noteSilentSidecar(ctx, req, t)
		return true
	}
	g.applyColdResult(req, t, &result, askedAt)
	return !result.ColdDenied
}

// noteSilentSidecar records that a sidecar has not answered, unless the request has ended.
func (g *Gateway) noteSilentSidecar(ctx context.Context, req *request, t *registry.Target) {
	if req.service.ColdPerSecond != 0 && ctx.Err() == nil {
		t.Load.SetSidecarSilent(time.Now().Add(sidecarMemory))
	}
}

// applyColdResult applies the response of a sidecar that was asked at the given time. A
// grant counts only if the sidecar states that it has counted it; one of an earlier build
// does not.
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
	case result.ColdGranted:
		req.coldGrant = coldGrant{load: t.Load, expires: askedAt.Add(decision.MaxGrantDelay)}
		if result.ColdMillis != nil && *result.ColdMillis > 0 {
			g.metrics.recordCold(req.service.Name, "sidecar", true)
		}
	case result.Granted:
		t.Load.SetColdUnmetered(time.Now().Add(sidecarMemory))
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
	if !g.hasSidecars(req.service) || g.opts.ColdProber == nil || entryCold && !t.Load.HadColdStatement() {
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
// sidecar: within this gateway's share, or beyond it to a warm target. Health checks are
// paid for on some platforms, so the target is asked only beyond the share. All such sends
// count, those to a warm target too: it may turn cold within the span.
func (g *Gateway) allowWithoutSidecar(ctx context.Context, req *request, t *registry.Target) bool {
	if req.service.ColdPerSecond == 0 {
		return true
	}
	grantedAt := time.Now()
	share := g.coldShare(req.service, t, grantedAt)
	switch {
	case t.Load.TakeColdShare(grantedAt, share):
		if t.ColdUntil(grantedAt).After(grantedAt) {
			g.metrics.recordCold(req.service.Name, "share", true)
		}
	case g.mayBeCold(ctx, req, t):
		g.denyCold(req, t, "share", share)
		return false
	default:
		t.Load.CountColdSend(time.Now())
	}
	req.coldGrant = coldGrant{load: t.Load, expires: grantedAt.Add(decision.MaxGrantDelay)}
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
		"cold_ms", t.ColdUntil(now).Sub(now).Milliseconds(), "sidecar_meters", t.Load.MetersCold(now), "cold_rate", req.service.ColdPerSecond,
		"cold_start_ms", req.service.ColdStart.Milliseconds(), "members", g.members.Count(), "state_age_ms", g.feedHub.StateAge(now).Milliseconds())
}

// applyCold records how long a target stays cold according to its sidecar. A nil value
// states nothing; one out of range is ignored.
func (g *Gateway) applyCold(t *registry.Target, millis *int64) {
	if millis == nil {
		return
	}
	if *millis < 0 || *millis > maxColdStatement.Milliseconds() {
		g.metrics.recordIgnored("sidecar")
		if t.Load.IsFirstInvalidCold() {
			telemetry.Warn(g.opts.Logger, "invalid cold time of a sidecar ignored", "target", t.ID, "cold_ms", *millis)
		}
		return
	}
	t.Load.SetCold(time.Now(), time.Duration(*millis)*time.Millisecond)
}
