package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// issuedKeyTTL is how long after its issue a key may start a call.
const issuedKeyTTL = 10 * time.Minute

// maxKeyRequestBytes limits the body of a request for a key.
const maxKeyRequestBytes = 4 << 10

type keyRequest struct {
	Service string `json:"service"`
}

type keyResponse struct {
	Key string `json:"key"`
	// ExpiresMillis is the time to live of the key: the time within which it may
	// start a call.
	ExpiresMillis int64 `json:"expires_ms"`
}

// handleKeys issues an idempotency key for a call that may run at most once. The
// key names the one agent process that may run the call, so that no claim has to
// be written to the store.
func (e *Entry) handleKeys(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	key, refusal := e.issueKey(w, r, req)
	if refusal != nil {
		e.recordRefusal(req, refusal)
		result.Write(w, refusal)
		return
	}
	writeJSON(w, keyResponse{Key: key.String(), ExpiresMillis: issuedKeyTTL.Milliseconds()})
}

// issueKey chooses a target for the named service and returns a key for it.
func (e *Entry) issueKey(w http.ResponseWriter, r *http.Request, req *request) (peer.IssuedKey, *result.Error) {
	body, refusal := caller.ReadBody(w, r, maxKeyRequestBytes)
	if refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	var keyReq keyRequest
	if json.Unmarshal(body, &keyReq) != nil {
		return peer.IssuedKey{}, result.New(result.InvalidRequest, result.RanNo, "the body is not a JSON object with a service")
	}
	if refusal := req.selectService(keyReq.Service, config.KindPlain); refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	m, refusal := e.route(req, decision.Work{Workspace: req.workspace.Name, Service: req.service.Name, Priority: req.service.Priority}, nil)
	if refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	return peer.IssuedKey{
		VM: m.VM.Name, Incarnation: m.State.Incarnation, AgentUptimeMillis: m.State.UptimeMillis, Random: newID(""),
	}, nil
}

// runWithIssuedKey dispatches the call to the agent process that the issued key
// names.
func (c *call) runWithIssuedKey(ctx context.Context, key peer.IssuedKey, digest, contentFingerprint string) (*peer.Reply, *result.Error) {
	m := c.entry.members.Snapshot().Find(key.VM)
	if m == nil {
		return nil, targetUnavailable()
	}
	if c.entry.stop.refuses() && c.isFirstUse {
		return nil, stoppingError()
	}
	if c.entry.stop.refuses() {
		return nil, stoppingError().WithRan(result.RanUnknown)
	}
	msg := c.message
	msg.ID, msg.Incarnation = "issued-"+digest, key.Incarnation
	msg.AtMostOnce = &peer.AtMostOnce{
		Key: digest, Fingerprint: contentFingerprint, AgentUptimeMillis: key.AgentUptimeMillis, StartWithinMillis: issuedKeyTTL.Milliseconds(),
	}
	reply, failure := c.entry.sendAtMostOnce(ctx, m, &msg)
	if failure != nil && failure.Code == result.TargetLeaving && failure.Ran == result.RanUnknown {
		return nil, targetUnavailable()
	}
	return reply, failure
}

// Limits of the outcome queries that find an earlier call with a key while the store
// is unavailable.
const (
	maxOutcomeQueries = 16
	// outcomeQueryWait is how long an agent may wait for a running call to end before
	// it answers the query.
	outcomeQueryWait = time.Second
)

// resolveWithoutStore answers a call whose key could not be claimed. Nothing was
// dispatched for this request, but an earlier request with the key may have run,
// possibly at a target that is no longer available. Unless the caller declares the
// first use of the key, resolveWithoutStore therefore queries the known targets for
// the outcome, if there are at most maxOutcomeQueries of them. Without an outcome,
// only a declared first use shows that the call did not run.
func (cc *claimedCall) resolveWithoutStore(ctx context.Context) roundResult {
	if members := cc.entry.targetsServing(cc.service); !cc.isFirstUse && len(members) <= maxOutcomeQueries {
		for _, outcome := range cc.queryOutcomes(ctx, members, "") {
			switch {
			case outcome.State != peer.CallEnded && outcome.State != peer.CallRunning:
			case outcome.Fingerprint != cc.fingerprint:
				return failRound(keyReused())
			default:
				return resultFromOutcome(&outcome)
			}
		}
	}
	ran := result.RanUnknown
	if cc.isFirstUse {
		ran = result.RanNo
	}
	return failRound(result.New(result.StoreUnavailable, ran, "the key could not be claimed; this request was not started").RetryAfter(defaultRetryAfter))
}

// queryOutcomes queries the targets for a call by its key. The outcome of a
// target that does not respond is the zero value. Unless onlyCall is empty, the targets that
// respond start no other call with the key than that.
func (cc *claimedCall) queryOutcomes(ctx context.Context, members []*membership.Member, onlyCall string) []peer.Outcome {
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	outcomes := make([]peer.Outcome, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			query := peer.OutcomeQuery{Key: cc.key.Digest(), OnlyCall: onlyCall, WaitMillis: outcomeQueryWait.Milliseconds()}
			if onlyCall != "" {
				query.Incarnation = m.State.Incarnation
			}
			outcome, err := cc.entry.peerClient.Outcome(ctx, m.VM.Addr, query)
			if err == nil {
				outcomes[i] = outcome
			}
		})
	}
	wg.Wait()
	return outcomes
}

// refusalBeforeLookup returns the error for a call that was rejected before its
// key was looked up. Unless the caller declares the first use of the key, an
// earlier request with the key may have run, so the error reports that as
// unknown.
func refusalBeforeLookup(r *http.Request, refusal *result.Error) *result.Error {
	rejectedEarly := refusal.Code == result.ConfigurationAbsent || refusal.Code == result.WorkspaceLimited || refusal.Code == result.TargetLeaving
	if rejectedEarly && r.Header.Get(caller.HeaderIdempotencyKey) != "" && !isFirstUse(r) {
		return refusal.WithRan(result.RanUnknown)
	}
	return refusal
}

// isFirstUse reports whether the caller declares that it has not sent the key
// before.
func isFirstUse(r *http.Request) bool { return r.Header.Get(caller.HeaderIdempotencyFirst) == "true" }

// targetsServing returns all known targets of a service, whatever their phase.
func (e *Entry) targetsServing(svc *config.Service) []*membership.Member {
	members := e.members.Snapshot()
	var targets []*membership.Member
	for i := range members.Members {
		if serves(&members.Members[i], svc) {
			targets = append(targets, &members.Members[i])
		}
	}
	return targets
}
