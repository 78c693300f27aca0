package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// placementCandidates returns the ready targets that are
// eligible and not excluded, and the load of each.
func (g *Gateway) placementCandidates(req *request, exclude map[string]bool) ([]*registry.Target, []decision.PlacementTarget) {
	now := time.Now()
	eligible := g.eligibility(req)
	ready := g.targets.Snapshot().Ready(req.service.Name)
	candidates := make([]decision.PlacementTarget, 0, len(ready))
	targets := make([]*registry.Target, 0, len(ready))
	for _, t := range ready {
		if exclude[t.ID] || !acceptsWork(t, now) || !eligible.allows(t) {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, g.placementCandidate(req, t, now))
	}
	if req.service.Engine != nil {
		decision.AssumeMeanLoad(candidates)
	}
	return targets, candidates
}

// chooseTarget chooses a target for a request from the ready targets that are
// not excluded. It returns nil if there is none.
func (g *Gateway) chooseTarget(req *request, exclude map[string]bool) *registry.Target {
	targets, candidates := g.placementCandidates(req, exclude)
	work := req.placementWork()
	costs := g.placementCosts.Shared(g.members.Count(), work)
	index := costs.Pick(work, candidates, rand.Float64())
	if index < 0 {
		return nil
	}
	g.logPlacement(req, targets[index], &candidates[index], len(targets))
	return targets[index]
}

func (g *Gateway) logPlacement(req *request, t *registry.Target, c *decision.PlacementTarget, of int) {
	telemetry.Info(g.opts.Logger, "placed", "request", req.ID, "route", req.route.Name, "service", req.service.Name,
		"workspace", req.workspace, "target", t.ID, "of", of, "requests", c.Requests, "prefill_tokens", c.PrefillTokens,
		"memory_tokens", c.KVTokens, "slowdown", c.Slowdown, "report", t.Load.Report(time.Now(), maxLoadReportAge), "revision", g.targets.Snapshot().Revision, "config_version", req.configVersion)
}

// Limits on backups and migrations, which copy the KV cache of a streaming
// request to another target.
const (
	// minBackupOutputTokens is the expected output from which a request gets a
	// backup. A request with a shorter output ends before its backup is
	// complete.
	minBackupOutputTokens = 64
	// copyWindow is the time within which a backup should be complete, and the
	// time for which dispatched work counts as still arriving at a target. It is
	// shorter than the notice that an engine gives before it stops.
	copyWindow = time.Second
	// maxBackupFill is the fraction of a target's KV cache up to which the
	// target receives backups; the rest is reserved for the growth of its own
	// requests. maxMigrationFill is the fraction up to which it receives
	// migrations. It is higher because the migrating requests would otherwise
	// be lost.
	maxBackupFill    = 0.5
	maxMigrationFill = 0.95
	// maxPrimaryUtilization is the fraction of the KV cache of all possible
	// backup targets that their own requests, without copies, may use. Above
	// it, no backups are made, so that requests of leaving targets find headroom
	// to migrate.
	maxPrimaryUtilization = 0.4
)

// chooseBackupTarget chooses the target that receives a backup of the request's
// KV cache. It returns nil if the request gets no backup.
func (g *Gateway) chooseBackupTarget(req *request, primary *registry.Target) *registry.Target {
	e := req.service.Engine
	if e == nil || !e.CanBackUp || req.expectedOutputTokens() < minBackupOutputTokens {
		return nil
	}
	targets, candidates := g.copyCandidates(req, primary, maxBackupFill)
	// The utilization is relative to the capacity that copyCandidates has
	// limited to maxBackupFill; the product is relative to the full capacity.
	if maxBackupFill*decision.PrimaryKVUtilization(candidates) > maxPrimaryUtilization {
		return g.selectCopyTarget(req, primary, targets, candidates, -1, "backup, KV caches too full")
	}
	copying := decision.CopyCosts{TokenMillis: e.CopyMillisPerToken(), WindowMillis: float64(copyWindow.Milliseconds())}
	i := copying.BestBackup(req.placementWork(), candidates, rand.Float64(), rand.Float64())
	return g.selectCopyTarget(req, primary, targets, candidates, i, "backup")
}

// chooseMigrationTarget chooses the target that receives the KV cache of a
// request whose own target leaves. It returns nil if no target has enough
// headroom. The choice is randomized because many requests migrate at the same
// time, from several gateways.
func (g *Gateway) chooseMigrationTarget(req *request, primary *registry.Target) *registry.Target {
	targets, candidates := g.copyCandidates(req, primary, maxMigrationFill)
	i := decision.PickMigrationTarget(req.placementWork(), candidates, rand.Float64())
	return g.selectCopyTarget(req, primary, targets, candidates, i, "migration from leaving target")
}

// copyCandidates returns the targets that may receive a copy of the request's
// KV cache, and the load of each. In the load, the capacity is reduced to the
// fraction fill of the target's KV cache. Targets in other regions are left out:
// the link between regions is so slow that a copy does not complete in time and
// delays the copies queued behind it. An address at which a resumable stream may have run is
// left out too: a failover to the copy would run the same request there again.
func (g *Gateway) copyCandidates(req *request, primary *registry.Target, fill float64) ([]*registry.Target, []decision.CopyTarget) {
	now := time.Now()
	eligible := g.eligibility(req)
	var targets []*registry.Target
	var candidates []decision.CopyTarget
	for _, t := range g.targets.Snapshot().Ready(req.service.Name) {
		if t.ID == primary.ID || req.mayHaveRunAt(t.Addr) || !acceptsWork(t, now) || !eligible.allows(t) {
			continue
		}
		c := decision.CopyTarget{PlacementTarget: g.placementCandidate(req, t, now)}
		c.KVCapacityTokens = int(fill * float64(c.KVCapacityTokens))
		if c.Distance = g.distanceBetween(primary.Datacentre, t.Datacentre); c.Distance == decision.OtherRegion {
			continue
		}
		_, _, c.ArrivingTokens = t.Load.DispatchedSince(now.Add(-copyWindow))
		targets = append(targets, t)
		candidates = append(candidates, c)
	}
	return targets, candidates
}

// selectCopyTarget logs and returns the target at index i; a negative index
// means that no target was chosen.
func (g *Gateway) selectCopyTarget(req *request, primary *registry.Target, targets []*registry.Target, candidates []decision.CopyTarget, i int, reason string) *registry.Target {
	if i < 0 {
		telemetry.Info(g.opts.Logger, "no target for KV cache copy", "request", req.ID, "why", reason, "primary", primary.ID, "of", len(targets))
		return nil
	}
	c := candidates[i]
	telemetry.Info(g.opts.Logger, "chose target for KV cache copy", "request", req.ID, "why", reason, "primary", primary.ID, "target", targets[i].ID, "of", len(targets),
		"memory_tokens", c.KVTokens, "memory_limit", c.KVCapacityTokens, "arriving_tokens", c.ArrivingTokens)
	return targets[i]
}

func (r *request) placementWork() decision.PlacementWork {
	return decision.PlacementWork{
		PromptTokens: r.PromptTokens, KVTokens: r.PromptTokens + r.expectedOutputTokens(), Long: r.expectedOutputTokens() >= minBackupOutputTokens,
	}
}

// expectedOutputTokens returns the client's estimate of the output, or half of
// the maximum if there is no estimate.
func (r *request) expectedOutputTokens() int {
	if r.OutputHint > 0 {
		return min(r.OutputHint, r.MaxOutput)
	}
	return r.MaxOutput / 2
}

// Limits and estimates for the use of load reports in placement.
const (
	// maxLoadReportAge is the time after its arrival up to which an engine's
	// load report is used. It is several times the period between reports.
	maxLoadReportAge = 700 * time.Millisecond
	// maxLoadReportLag is the assumed maximum time between the creation of a
	// load report and its arrival at the gateway. Work dispatched within this
	// time before the arrival, or later, may be missing in the report.
	maxLoadReportLag = 150 * time.Millisecond
	// A load report contains the number of queued, prefilling and decoding
	// requests, not their sizes. typicalPromptTokens is the assumed prompt of a
	// queued request; a prefilling request counts with half of it, since half
	// has been prefilled on average. typicalOutputTokens is the assumed
	// remaining output of a decoding request.
	typicalPromptTokens = 2600
	typicalOutputTokens = 500
)

// placementCandidate returns the load of a target for placement: for each
// quantity the maximum of this gateway's own requests and of the target's load
// report plus the work that the report may not contain yet.
func (g *Gateway) placementCandidate(req *request, t *registry.Target, now time.Time) decision.PlacementTarget {
	c := decision.PlacementTarget{
		Distance: g.distanceTo(t.Datacentre), Slots: t.Slots,
		Requests: int(t.Load.Requests.Load()), PrefillTokens: int(t.Load.PrefillTokens.Load()),
		Slowdown: g.slowdowns.current(t.ID, now),
		Warming:  now.Before(t.Since.Add(t.WarmUp)),
	}
	e := req.service.Engine
	if e == nil {
		return c
	}
	c.KVTokens = int(t.Load.KVTokens.Load())
	c.KVCapacityTokens = e.KVCapacityTokens
	report := t.Load.Report(now, maxLoadReportAge)
	if report == nil {
		c.Unreported = true
		return c
	}
	sentRequests, sentPromptTokens, sentKVTokens := t.Load.DispatchedSince(report.ReceivedAt.Add(-maxLoadReportLag))
	c.Requests = max(c.Requests, report.Running+report.Queued+sentRequests)
	prefillTokens := report.PrefillTokens
	if prefillTokens == 0 {
		prefillTokens = report.Prefilling*typicalPromptTokens/2 + report.Queued*typicalPromptTokens
	}
	c.PrefillTokens = max(c.PrefillTokens, prefillTokens+sentPromptTokens)
	c.KVTokens = max(c.KVTokens, report.KVTokens+report.Decoding*typicalOutputTokens+sentKVTokens)
	c.KVCopyTokens = report.KVCopyTokens
	c.BaselineSlowdown = report.BaselineSlowdown
	c.DecodingStreams = report.Decoding
	c.Unreachable = report.Unreachable
	return c
}

// distanceTo returns the distance of a data centre from this gateway's.
func (g *Gateway) distanceTo(datacentre string) decision.Distance {
	return g.distanceBetween(g.opts.Datacentre, datacentre)
}

func (g *Gateway) distanceBetween(a, b string) decision.Distance {
	switch {
	case a == b:
		return decision.SameDatacentre
	case g.opts.Regions[a] == g.opts.Regions[b]:
		return decision.SameRegion
	}
	return decision.OtherRegion
}

// attempt is one dispatch of a request to one target. The exported type AttemptMeta
// is the metadata that is sent with it.
type attempt struct {
	target   *registry.Target
	conn     *httpwire.Conn
	resp     *http.Response
	respMeta ResponseMeta
	// stopCloseOnDone keeps conn from being closed when the context ends. It
	// returns false if the context has ended already.
	stopCloseOnDone func() bool
	// sent is set once the target may have received the request. mismatched is
	// set once a response to another request arrived on the connection.
	sent       bool
	mismatched bool
	sentAt     time.Time
}

var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errUnsignedResponse   = errors.New("response is not signed by the target")
)

// maxMismatchedResponses is the number of mismatched responses after which an
// attempt fails. Such a response belongs to an earlier request on the same
// connection and arrives late. maxMismatchedBodyBytes limits the body of each.
const (
	maxMismatchedResponses = 3
	maxMismatchedBodyBytes = 1 << 20
)

// startAttempt dispatches a request to a target and reads the header of its
// response. It returns an attempt even if it fails; the caller must release it.
func (g *Gateway) startAttempt(ctx context.Context, req *request, t *registry.Target, a AttemptMeta) (*attempt, error) {
	at := &attempt{target: t}
	conn, err := g.connectGranted(ctx, req, t)
	if err != nil {
		return at, err
	}
	at.conn = conn
	at.stopCloseOnDone = conn.CloseOnDone(ctx)
	// The request may have waited for its target.
	if len(req.sentTo) == 0 && g.stopPhase.dispatchEnded() {
		return at, errStopping
	}
	// The state of the targets may have changed while the connection was opened.
	eligible := g.eligibility(req)
	if !eligible.allows(t) {
		return at, errTargetNotEligible
	}
	if a.backup != nil && !eligible.allows(a.backup) {
		a.BackupAddr = ""
	}
	if err := checkStart(t, a.Resume != nil, time.Now()); err != nil {
		return at, err
	}
	msg := req.upstream
	msg.Header = msg.Header.Clone()
	a.Target = t.ID
	a.Workspace = req.workspace
	a.Priority = req.priority
	a.Remaining = req.remaining(time.Now())
	g.opts.Codec.WriteAttempt(msg.Header, &a)
	at.sent = true
	if req.sentTo == nil {
		req.sentTo = map[string]bool{}
	}
	req.sentTo[t.Addr] = true
	at.sentAt = time.Now()
	msg.Sent = req.body.Start()
	msg.Body = req.body.Pieces()
	if err := conn.Send(&msg); err != nil {
		return at, err
	}
	return at, g.readResponse(at, req)
}

// readResponse reads response headers until one matches the request.
func (g *Gateway) readResponse(at *attempt, req *request) error {
	for range maxMismatchedResponses {
		resp, err := at.conn.Receive(req.upstream.Method)
		if err != nil {
			return err
		}
		at.resp = resp
		at.respMeta = g.opts.Codec.ReadResponse(resp)
		if at.respMeta.RequestID == req.ID {
			g.applyNotice(at.target, at.respMeta.TargetNotice, at.sentAt, req.service)
			g.slowdowns.record(at.target.ID, at.respMeta.Load, time.Now())
			return nil
		}
		telemetry.Warn(g.opts.Logger, "skipped response to another request", "request", req.ID, "answer", at.respMeta.RequestID,
			"target", at.target.ID, "status", resp.StatusCode, "reused", at.conn.Reused())
		at.mismatched = true
		if err := httpwire.DiscardBody(resp.Body, maxMismatchedBodyBytes); err != nil || resp.Close {
			return errMismatchedResponse
		}
	}
	return errMismatchedResponse
}

// Reuse of idle connections: defaultIdleReuse is how long an idle connection may
// be reused if the target states no idle timeout. If it states one,
// idleReuseFraction is the fraction of that timeout within which the connection
// may be reused.
const (
	defaultIdleReuse  = 2 * time.Second
	idleReuseFraction = 0.6
)

// release ends an attempt. The connection returns to the pool if complete is
// set, which means that the response was read to its end, if no mismatched
// response or other data arrived on it, and if the context has not ended.
// Otherwise it is closed.
func (g *Gateway) release(at *attempt, complete bool) {
	if at.conn == nil {
		return
	}
	if !at.sent {
		if at.stopCloseOnDone() {
			g.connPool.Put(at.conn, defaultIdleReuse)
		}
		return
	}
	if !at.stopCloseOnDone() || !complete || at.mismatched || !at.conn.Reusable(at.resp) {
		at.conn.Close()
		return
	}
	reuseTimeout := defaultIdleReuse
	if at.respMeta.IdleTimeout > 0 {
		reuseTimeout = time.Duration(idleReuseFraction * float64(at.respMeta.IdleTimeout))
	}
	g.connPool.Put(at.conn, reuseTimeout)
}
