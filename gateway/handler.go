package gateway

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/bodybudget"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// request is a client's request while the gateway serves it.
type request struct {
	RequestMeta
	route     *routing.Route
	service   *routing.Service
	workspace string
	priority  int
	// path is the path by which the route was selected, regions the regions in which the
	// request may be served by the configuration at its arrival.
	path          string
	regions       routing.Regions
	configVersion int64
	// upstream is the request as it is sent to targets, without its body.
	upstream httpwire.Request
	// body is nil before it has been read. bodyFingerprint is the fingerprint of a request
	// with a large body, which may be dropped early.
	body            *bodybudget.Body
	bodyFingerprint string
	arrivedAt       time.Time
	// conn is the client's connection in the account of the process, nil if there is none.
	conn *connguard.Conn
	// wait ends when the answer begins. It is nil in requests that no stop awaits.
	wait *answerWait
	// deadline is the time by which the response must be complete.
	deadline time.Time
	// triedTargets holds the ids of the targets that were chosen for the request.
	triedTargets map[string]bool
	// sentTo holds the addresses of the targets that may have received the request.
	sentTo map[string]bool
	// ranAt holds the addresses of the targets that may have run a resumable stream. The map
	// is replaced, never changed, since migrations read it beside the request's goroutine.
	ranAt atomic.Pointer[map[string]bool]
	// overShare is set if the request exceeds the usual share of its workspace. notPlaced is
	// the error of a stream that was given up under overload or whose wait for room ended with
	// the stop of the gateway.
	overShare bool
	// reservedAt is when an engine's sidecar granted a reservation, expectedPrefill the
	// expected time from then to the first event; 0 if unknown.
	reservedAt      time.Time
	expectedPrefill time.Duration
	notPlaced       *result.Error
	// coldGrant is the last grant for a cold target. coldDeniedAt is when a cold target
	// first denied the request.
	coldGrant    coldGrant
	coldDeniedAt time.Time
}

// mayHaveRunAt reports whether a resumable stream may have run at an address, or another one
// may still run there.
func (r *request) mayHaveRunAt(addr string) bool {
	ranAt := r.ranAt.Load()
	return ranAt != nil && (*ranAt)[addr]
}

// recordRunAt records that a resumable stream may have run at an address, or that another one
// may still run there.
func (r *request) recordRunAt(addr string) {
	ranAt := map[string]bool{addr: true}
	if before := r.ranAt.Load(); before != nil {
		maps.Copy(ranAt, *before)
	}
	r.ranAt.Store(&ranAt)
}

func (r *request) remaining(now time.Time) time.Duration { return r.deadline.Sub(now) }

// maxRequestDuration is the time limit of a request for which neither the client
// nor the route sets a lower limit.
const maxRequestDuration = time.Minute

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.activeRequests.Add(1)
	defer g.metrics.activeRequests.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	wait := g.stopPhase.awaitAnswer()
	defer wait.end()
	req, failure := g.admit(w, r)
	req.wait = wait
	defer req.releaseBody()
	if failure != nil {
		g.respondError(w, req, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	ctx, cancel = g.stopPhase.requestContext(ctx, wait)
	defer cancel()
	g.retryBudgets.countRequest(req.service.Name)
	if req.route.Kind == routing.Stream {
		g.serveStream(ctx, w, req)
		return
	}
	g.serveCall(ctx, w, req)
}

// admit routes and authenticates a request and reads its body. If it returns an
// error, the returned request holds only what was determined before the error.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*request, *result.Error) {
	req := &request{arrivedAt: time.Now(), conn: connguard.FromContext(r.Context())}
	meta, metaErr := g.opts.Codec.ReadRequest(r.Header)
	req.RequestMeta = meta
	table := g.table.Load()
	if table == nil {
		return req, result.New(result.ConfigurationAbsent, result.RanNo, "no configuration is in force yet").RetryAfter(notReadyRetryAfter)
	}
	req.configVersion = table.Version
	path, ok := forwardedPath(r)
	if !ok {
		return req, result.New(result.InvalidRequest, result.RanNo, "the request target is not a path")
	}
	req.path = path
	req.route = table.Match(r.Host, path)
	if req.route == nil {
		return req, result.New(result.UnknownService, result.RanNo, "no route matches the host and path")
	}
	if failure := authenticate(table, req); failure != nil {
		return req, failure
	}
	if metaErr != nil {
		return req, result.New(result.InvalidRequest, result.RanNo, "%v", metaErr)
	}
	req.setDeadline()
	if failure := g.readBody(w, r, req, table.Limits.MaxBodyBytes); failure != nil {
		return req, failure
	}
	serviceName := g.pickService(req)
	if req.service = table.Service(serviceName); req.service == nil {
		req.service = &routing.Service{Name: serviceName}
	}
	header := endToEndHeaders(r.Header)
	g.opts.Codec.StripInternalHeaders(header)
	req.upstream = httpwire.Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: header}
	if failure := g.quarantineError(req); failure != nil {
		return req, failure
	}
	// Before the trial of a quarantined part is claimed, which must run.
	if failure := g.ineligibleError(req); failure != nil {
		return req, failure
	}
	// The request has been read. If it came later, it might not end in time.
	if g.stopPhase.acceptEnded() {
		return req, stoppingError()
	}
	return req, g.quarantinedPartError(r.Context(), req)
}

// forwardedPath returns the path of a request as it is forwarded, without the query. It is
// not decoded: a target might read an encoded slash as data, and the route must not depend
// on it. It returns false for a request target in absolute or asterisk form.
func forwardedPath(r *http.Request) (string, bool) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path, strings.HasPrefix(path, "/")
}

func authenticate(table *routing.Table, req *request) *result.Error {
	var workspace *routing.Workspace
	if table.KeysRequired && !req.route.Public {
		if workspace = table.Workspace(req.Key); workspace == nil {
			return result.New(result.Unauthenticated, result.RanNo, "the key is missing or not valid")
		}
		req.workspace = workspace.Name
	}
	req.regions = req.route.AllowedRegions
	if workspace != nil {
		req.regions = req.regions.Intersect(workspace.AllowedRegions)
	}
	req.priority = table.Priority(req.route, workspace)
	return nil
}

// setDeadline derives the deadline of the request from the time limits of the
// client and the route.
func (r *request) setDeadline() {
	limit := maxRequestDuration
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	r.deadline = r.arrivedAt.Add(limit)
}

// stoppingRetryAfter is the delay after which clients are asked to retry if their request
// arrives on an open connection after the time in which a stop accepts requests. Their next
// connection leads to another process.
const stoppingRetryAfter = 50 * time.Millisecond

// notReadyRetryAfter is the delay after which clients are asked to retry if the
// gateway has just started.
const notReadyRetryAfter = 300 * time.Millisecond

// respondError responds to a client with an error that the gateway produces
// instead of a target's response.
func (g *Gateway) respondError(w http.ResponseWriter, req *request, failure *result.Error) {
	route := "none"
	if req.route != nil {
		route = req.route.Name
	}
	took := time.Since(req.arrivedAt)
	if failure.RetryAfterMillis > 0 {
		g.opts.Codec.SetRetryAfter(w.Header(), time.Duration(failure.RetryAfterMillis)*time.Millisecond)
	}
	status := g.opts.Codec.Status(failure)
	result.WriteBody(w, failure, status)
	g.metrics.recordResponse(route, status, failure.Name, took)
	telemetry.Info(g.opts.Logger, "refused", "request", req.ID, "route", route, "workspace", req.workspace, "code", int(failure.Code),
		"name", failure.Name, "ran", failure.Ran, "reason", failure.Message, "retry_after_ms", failure.RetryAfterMillis,
		"took_ms", took.Milliseconds(), "config_version", req.configVersion)
}

// recordResponse logs and counts the end of a response that a target produced.
func (g *Gateway) recordResponse(req *request, target string, status int, outcome string, keyvals ...any) {
	took := time.Since(req.arrivedAt)
	g.metrics.recordResponse(req.route.Name, status, outcome, took)
	telemetry.Info(g.opts.Logger, "answered", append([]any{
		"request", req.ID, "route", req.route.Name, "workspace", req.workspace,
		"target", target, "status", status, "outcome", outcome, "took_ms", took.Milliseconds(), "config_version", req.configVersion,
	}, keyvals...)...)
}
