package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Errors of an attempt that was not sent because of the state of its target.
var (
	errTargetLeaving = errors.New("the target is leaving")
	errTargetHeld    = errors.New("the target sheds load")
)

// replacedMemory is how long the report of a later engine keeps work away from the earlier
// target at its address. Sidecars send a line at least every second.
const replacedMemory = 2 * time.Second

// acceptsWork reports whether a target may be chosen for new work. It uses the state of
// the target's load, which changes before the next snapshot of the registry.
func acceptsWork(t *registry.Target, now time.Time) bool {
	return !t.Load.IsLeaving() && t.Load.HeldUntil(now).IsZero() && !t.Load.IsColdDenied(now) && !t.Load.IsReplaced(now, replacedMemory)
}

// checkStart returns an error if the target must not get a request now. If it returns nil,
// the request must be sent. A leaving target still continues a stream whose KV cache it
// holds.
func checkStart(t *registry.Target, resumes bool, now time.Time) error {
	switch {
	case !resumes && t.Load.IsLeaving():
		return errTargetLeaving
	case resumes && !t.Load.TryResume(now), !resumes && !t.Load.TryStart(now):
		return errTargetHeld
	}
	return nil
}

// connect returns a connection to a target. A request that the target has received before
// gets a new connection: a repeated response to the earlier attempt would have its ID.
func (g *Gateway) connect(ctx context.Context, req *request, t *registry.Target) (*httpwire.Conn, error) {
	if req.sentTo[t.Addr] {
		return g.connPool.DialNew(ctx, t.Addr)
	}
	return g.connPool.Get(ctx, t.Addr)
}

// applyNotice applies what a target states in a response to a request that was sent at the
// given time. It takes effect before the response is passed on.
func (g *Gateway) applyNotice(t *registry.Target, n TargetNotice, sentAt time.Time, service *routing.Service) {
	now := time.Now()
	if n.RetryAfter > 0 {
		if t.Load.HeldUntil(now).IsZero() {
			telemetry.Info(g.opts.Logger, "target held", "target", t.ID, "service", t.Service, "retry_after_ms", n.RetryAfter.Milliseconds(), "requests", t.Load.Requests.Load())
			g.metrics.recordHold(t.Service)
		}
		t.Load.Shed(now, n.RetryAfter)
	} else {
		t.Load.Accepted(sentAt)
	}
	if !n.Leaving {
		return
	}
	g.targets.MarkDeparting(t, "its response states so")
	// The sidecar of an engine tells all gateways.
	if service.Engine != nil && t.Load.Report(now, maxLoadReportAge) != nil {
		return
	}
	g.announceDeparture(t)
}

// departureMessage names an incarnation of a target that has stated that it leaves.
type departureMessage struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"start_ms"`
}

// Path and limits of the messages about departures.
const (
	pathDepartures = "/targets/v1/departures"
	// maxAnnounceDelay is the maximum delay of a message. Many gateways learn of a
	// departure within a short time; the message of the first one spares the others theirs.
	maxAnnounceDelay  = 150 * time.Millisecond
	announceTimeout   = time.Second
	maxAnnounceSends  = 8
	maxDepartureBytes = 4 << 10
)

// announceDeparture tells the other gateways that a target leaves, unless one of them has
// told this gateway by then.
func (g *Gateway) announceDeparture(t *registry.Target) {
	if t.Load.Announced() {
		return
	}
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		if !t.Load.Announce() {
			return
		}
		message := departureMessage{ID: t.ID, StartMillis: t.StartMillis}
		limiter := make(chan struct{}, maxAnnounceSends)
		for _, m := range g.members.Others() {
			limiter <- struct{}{}
			go func() {
				defer func() { <-limiter }()
				ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
				defer cancel()
				resp, err := httpclient.SendJSON(ctx, g.opts.PeerClient, http.MethodPost, "http://"+m.Addr+pathDepartures, message)
				if err != nil {
					telemetry.Info(g.opts.Logger, "sending a departure failed", "to", m.Name, "target", t.ID, "err", err)
					return
				}
				httpclient.CloseBody(resp)
			}()
		}
	})
}

// handleDeparture receives the message of another gateway. It does not pass it on.
func (g *Gateway) handleDeparture(w http.ResponseWriter, r *http.Request) {
	var message departureMessage
	err := json.NewDecoder(io.LimitReader(r.Body, maxDepartureBytes)).Decode(&message)
	if err != nil || message.ID == "" || len(message.ID) > maxDepartureBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	const reason = "another gateway states so"
	t := g.targets.Snapshot().Target(message.ID)
	if t == nil || t.StartMillis != message.StartMillis {
		g.targets.Depart(message.ID, message.StartMillis, reason)
		return
	}
	t.Load.Announce()
	g.targets.MarkDeparting(t, reason)
}

// Limits of the wait for a target while all are held.
const (
	maxHoldWaits = 3
	// maxHoldWaitFraction is the part of the latency objective that a request may wait; the
	// rest is left for the response.
	maxHoldWaitFraction = 0.5
	// holdWaitSpread is the maximum random delay after the end of a hold.
	holdWaitSpread = 20 * time.Millisecond
)

// awaitTarget chooses a target like chooseTarget. If all targets are held and the first
// hold ends so soon that the response can still be on time, it waits for that.
func (g *Gateway) awaitTarget(ctx context.Context, req *request, exclude map[string]bool) *registry.Target {
	for range maxHoldWaits {
		if t := g.chooseTarget(req, exclude); t != nil {
			return t
		}
		end, _ := g.firstHoldEnd(req, time.Now())
		if end.IsZero() || end.Sub(req.arrivedAt) > time.Duration(maxHoldWaitFraction*float64(req.route.TargetLatency)) {
			return nil
		}
		if !sleep(ctx, time.Until(end)+rand.N(holdWaitSpread)) {
			return nil
		}
	}
	return nil
}

// firstHoldEnd returns when the first hold of a request's eligible targets ends, and the
// slots of the held targets. The time is zero if a target that is not leaving is not held.
func (g *Gateway) firstHoldEnd(req *request, now time.Time) (end time.Time, slots int) {
	eligible := g.eligibility(req)
	for _, t := range g.targets.Snapshot().Ready(req.service.Name) {
		if t.Load.IsLeaving() || !eligible.allows(t) {
			continue
		}
		heldUntil := t.Load.HeldUntil(now)
		if heldUntil.IsZero() {
			return time.Time{}, 0
		}
		if end.IsZero() || heldUntil.Before(end) {
			end = heldUntil
		}
		slots += t.Slots
	}
	return end, slots
}

// holdQueues counts, for each service, the clients that were asked to return after the
// targets' holds.
type holdQueues struct {
	mu        sync.Mutex
	byService map[string]holdQueue
}

type holdQueue struct {
	end     time.Time
	clients int
}

// add counts a client and returns the number of clients that return after end.
func (q *holdQueues) add(service string, end time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byService == nil {
		q.byService = map[string]holdQueue{}
	}
	queue := q.byService[service]
	if end.After(queue.end) {
		queue.clients /= 2
	}
	queue.end = end
	queue.clients++
	q.byService[service] = queue
	return queue.clients
}

// unavailableError returns the error for a request that has not run and that no target
// takes now. If all targets are held, the client is asked to return after the first hold.
func (g *Gateway) unavailableError(req *request, failure *result.Error) *result.Error {
	if ineligible := g.ineligibleError(req); ineligible != nil {
		return ineligible
	}
	now := time.Now()
	end, slots := g.firstHoldEnd(req, now)
	if end.IsZero() {
		return failure
	}
	waiting := g.holdQueues.add(req.service.Name, end)
	shared := slots / max(g.members.Count(), 1)
	after := decision.ShedRetryAfter(now, end, waiting, shared, req.route.TargetLatency, rand.Float64())
	return result.New(result.Overloaded, result.RanNo, "all targets shed load").RetryAfter(after)
}

// maxRefusalBytes limits the body of a response that states that the request did not run.
const maxRefusalBytes = 64 << 10

// isTrusted reports whether a response that states that the request did not run can be
// relied on: it is complete and no other data follows it. A faulty target may send an
// earlier response once more before the right one.
func (at *attempt) isTrusted() bool {
	return httpwire.DiscardBody(at.resp.Body, maxRefusalBytes) == nil && at.conn.Buffered() == 0
}

var errUntrustedRefusal = errors.New("other data follows the response that the request did not run")
