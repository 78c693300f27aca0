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

// issuedLife is how long after its issue a key may start a call.
const issuedLife = 10 * time.Minute

// maxKeyRequest bounds the body of a request for a key, in bytes.
const maxKeyRequest = 4 << 10

type keyRequest struct {
	Service string `json:"service"`
}

type keyResponse struct {
	Key string `json:"key"`
	// ExpiresMillis is the time in which the key may start a call.
	ExpiresMillis int64 `json:"expires_ms"`
}

// handleKeys issues a key for a call that may run at most once. The key names
// the one agent process that may run it; nothing is written to the store.
func (e *Entry) handleKeys(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	key, refusal := e.issue(w, r, req)
	if refusal != nil {
		e.recordRefusal(req, refusal)
		result.Write(w, refusal)
		return
	}
	writeJSON(w, keyResponse{Key: key.String(), ExpiresMillis: issuedLife.Milliseconds()})
}

func (e *Entry) issue(w http.ResponseWriter, r *http.Request, req *request) (peer.IssuedKey, *result.Error) {
	body, refusal := caller.ReadBody(w, r, maxKeyRequest)
	if refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	var ask keyRequest
	if json.Unmarshal(body, &ask) != nil {
		return peer.IssuedKey{}, result.New(result.InvalidRequest, result.RanNo, "the body is not a JSON object with a service")
	}
	if refusal := req.choose(ask.Service, config.KindPlain); refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	m, refusal := e.route(req, decision.Work{Workspace: req.workspace.Name, Service: req.service.Name, Priority: req.service.Priority}, nil)
	if refusal != nil {
		return peer.IssuedKey{}, refusal
	}
	return peer.IssuedKey{
		VM: m.VM.Name, Incarnation: m.State.Incarnation, SeenMillis: m.State.UptimeMillis, Random: newID(""),
	}, nil
}

// runIssued makes a call under an issued key at the process that it names.
func (c *call) runIssued(ctx context.Context, key peer.IssuedKey, digest, content string) (*peer.Reply, *result.Error) {
	m := c.entry.members.View().Find(key.VM)
	if m == nil {
		return nil, targetGone()
	}
	msg := c.message
	msg.ID, msg.Incarnation = "issued-"+digest, key.Incarnation
	msg.Once = &peer.Once{
		Key: digest, Fingerprint: content, SeenMillis: key.SeenMillis, FreshMillis: issuedLife.Milliseconds(),
	}
	reply, failure := c.entry.sendOnce(ctx, m, &msg)
	if failure != nil && failure.Code == result.TargetLeaving && failure.Ran == result.RanUnknown {
		return nil, targetGone()
	}
	return reply, failure
}

// Bounds of the questions for a key in a store outage.
const (
	maxAsked = 16
	// askWait is how long an agent waits for a running call's answer.
	askWait = time.Second
)

// withoutStore ends a call whose key could not be claimed. Nothing was sent for
// this request, but an earlier one with the key may have run at a target that
// is gone: only its caller can rule that out.
func (o *claimedCall) withoutStore(ctx context.Context) verdict {
	if members := o.entry.serving(o.service); !o.first && len(members) <= maxAsked {
		for _, out := range o.ask(ctx, members) {
			switch {
			case out.Fate != peer.FateEnded && out.Fate != peer.FateRunning:
			case out.Fingerprint != o.fingerprint:
				return refused(keyReused())
			default:
				return fate(&out)
			}
		}
	}
	ran := result.RanUnknown
	if o.first {
		ran = result.RanNo
	}
	return refused(result.New(result.StoreUnavailable, ran, "the key could not be claimed; this request was not started").RetryAfter(retryNoTarget))
}

// ask asks targets for a call by its key. Who does not answer has no fate.
func (o *claimedCall) ask(ctx context.Context, members []*membership.Member) []peer.Outcome {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	outcomes := make([]peer.Outcome, len(members))
	var asked sync.WaitGroup
	for i, m := range members {
		asked.Go(func() {
			out, err := o.entry.peers.Outcome(ctx, m.VM.Addr, peer.OutcomeQuery{
				Key: o.key.Digest(), WaitMillis: askWait.Milliseconds(),
			})
			if err == nil {
				outcomes[i] = out
			}
		})
	}
	asked.Wait()
	return outcomes
}

// beforeLookup returns the refusal of a call that came before its key could be
// looked up: an earlier request with the key may have run.
func beforeLookup(r *http.Request, refusal *result.Error) *result.Error {
	early := refusal.Code == result.ConfigurationAbsent || refusal.Code == result.WorkspaceLimited
	if early && r.Header.Get(caller.HeaderIdempotencyKey) != "" && !isFirst(r) {
		return refusal.WithRan(result.RanUnknown)
	}
	return refusal
}

// isFirst reports whether the caller has not sent the key before.
func isFirst(r *http.Request) bool { return r.Header.Get(caller.HeaderIdempotencyFirst) == "true" }

// serving returns every known target of a service, live or not.
func (e *Entry) serving(svc *config.Service) []*membership.Member {
	view := e.members.View()
	var out []*membership.Member
	for i := range view.Members {
		if serves(&view.Members[i], svc) {
			out = append(out, &view.Members[i])
		}
	}
	return out
}
