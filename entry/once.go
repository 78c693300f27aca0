package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timeouts and limits of calls that run at most once.
const (
	// claimTimeout limits the wait for the store before a call is dispatched.
	claimTimeout = 2 * time.Second
	// outcomeWriteWait is how long a reply is held back for its outcome to be
	// written. The write itself continues until outcomeWriteTimeout. outcomeWriteWait
	// also limits the release of a claim.
	outcomeWriteWait    = 250 * time.Millisecond
	outcomeWriteTimeout = time.Minute
	// repeatedCallWait is how long a repeated call waits for the first call to end.
	repeatedCallWait = 10 * time.Second
	// outcomeQueryTimeout limits an outcome query. For a repeated call it is added to
	// repeatedCallWait.
	outcomeQueryTimeout = 2 * time.Second
	// maxClaimRounds limits the rounds of claiming the key and running the call.
	maxClaimRounds = 8
	// maxStartDelay limits the time from the choice of a target to the start of
	// the call.
	maxStartDelay = time.Minute
	// startDelayDivisor limits the start delay further, to the claim retention divided
	// by startDelayDivisor, so that no call starts under an expired claim.
	startDelayDivisor = 4
	// maxSends limits how often the same message is sent to an agent. resendDelay is
	// the delay before the second send; it doubles with each further one.
	maxSends    = 4
	resendDelay = 50 * time.Millisecond
)

// claimedCall runs a call under a claim of the caller's idempotency key. Invariant:
// a call id is sent only to the agent process that the claim in the store names,
// and only after the store has confirmed the claim. After a restore of the store, the call
// is sent only if no agent has run one under a lost claim of the key.
type claimedCall struct {
	*call
	key         claim.Key
	fingerprint string
	tried       map[string]bool
	// lastRefusal is the last error of a target that did not run the call.
	lastRefusal *result.Error
}

// runAtMostOnce runs a non-idempotent call under the caller's idempotency key. The
// call continues if the caller disconnects, so that its outcome is recorded.
func (c *call) runAtMostOnce(ctx context.Context, keyText string) (*peer.Reply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.service.QueueLimit()+c.service.Timeout())
	defer cancel()
	key := claim.Key{Workspace: c.workspace.Name, Service: c.service.Name, Value: keyText}
	contentFingerprint := fingerprint(c.message.Method, c.message.Path, string(c.message.Body))
	if issued, ok := peer.ParseIssuedKey(keyText); ok {
		return c.runWithIssuedKey(ctx, issued, key.Digest(), contentFingerprint)
	}
	cc := &claimedCall{call: c, key: key, fingerprint: contentFingerprint, tried: map[string]bool{}}
	return cc.run(ctx)
}

// roundResult is the result of one round of claiming the key and running the call. If
// retry is set, another round follows.
type roundResult struct {
	reply   *peer.Reply
	failure *result.Error
	retry   bool
}

func failRound(e *result.Error) roundResult { return roundResult{failure: e} }

// run claims the key for one target after another until the call has a reply or an
// error that ends it.
func (cc *claimedCall) run(ctx context.Context) (*peer.Reply, *result.Error) {
	var previous *claim.Claim
	for range maxClaimRounds {
		if cc.entry.stop.refuses() {
			return cc.resolveWithoutTarget(ctx, previous, stoppingError())
		}
		m, refusal := cc.entry.route(cc.request, decision.Work{Workspace: cc.workspace.Name, Service: cc.service.Name, Priority: cc.service.Priority}, cc.tried)
		if refusal != nil {
			return cc.resolveWithoutTarget(ctx, previous, refusal)
		}
		current, res := cc.claimAndRun(ctx, m, previous)
		if !res.retry {
			return res.reply, res.failure
		}
		previous = current
	}
	return nil, result.New(result.OutcomeUnknown, result.RanUnknown, "the key is contended").RetryAfter(defaultRetryAfter)
}

// claimAndRun claims the key for one target. It dispatches the call if the claim
// succeeds, and otherwise answers from the existing claim.
func (cc *claimedCall) claimAndRun(ctx context.Context, m *membership.Member, previous *claim.Claim) (*claim.Claim, roundResult) {
	record := claim.Record{
		CallID: newID("once-"), Target: m.VM.Name, Incarnation: m.State.Incarnation,
		AgentUptimeMillis: m.State.UptimeMillis, Fingerprint: cc.fingerprint,
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	current, err := cc.entry.claims.Put(claimCtx, cc.key, previous, record)
	cancel()
	switch {
	case err != nil:
		cc.recordClaim(m, "store_unavailable")
		return nil, cc.resolveWithoutStore(ctx)
	case current == nil:
		return nil, roundResult{retry: true}
	case current.CallID == record.CallID:
		cc.recordClaim(m, "won")
		if res, found := cc.findLostCall(ctx, current); found {
			return current, res
		}
		return current, cc.dispatch(ctx, m, current)
	}
	cc.recordClaim(m, "held")
	return current, cc.resolveExistingClaim(ctx, current)
}

// recordClaim records the result of a claim.
func (cc *claimedCall) recordClaim(m *membership.Member, reason string) {
	cc.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindClaim, Request: cc.id, Workspace: cc.workspace.Name, Service: cc.service.Name,
		Target: m.VM.Name, Choice: "claim", Reason: reason, ConfigVersion: cc.config.Version,
	})
}

// dispatch sends the call to the target for which this process holds the claim.
func (cc *claimedCall) dispatch(ctx context.Context, m *membership.Member, c *claim.Claim) roundResult {
	msg := cc.message
	msg.ID, msg.Incarnation = c.CallID, c.Incarnation
	msg.AtMostOnce = &peer.AtMostOnce{
		Key: cc.key.Digest(), Fingerprint: cc.fingerprint, AgentUptimeMillis: c.AgentUptimeMillis,
		StartWithinMillis: min(maxStartDelay, cc.entry.opts.ClaimRetention/startDelayDivisor).Milliseconds(),
	}
	reply, failure := cc.entry.sendAtMostOnce(ctx, m, &msg)
	if failure == nil {
		cc.storeOutcome(c, reply)
		return roundResult{reply: reply}
	}
	switch {
	case failure.Code == result.TargetLeaving && failure.Ran != result.RanYes:
		// The call id was sent to no other process, so the call did not run.
		failure = failure.WithRan(result.RanNo)
	case failure.Ran != result.RanNo:
		return failRound(failure)
	}
	cc.lastRefusal = failure
	switch failure.Code {
	case result.AttemptRevoked, result.Overloaded, result.TargetLeaving, result.NoTarget, result.TargetFailed:
		cc.tried[m.VM.Name] = failure.Code != result.AttemptRevoked
		cc.entry.recordRetry(cc.request, m, failure)
		return roundResult{retry: true}
	}
	cc.releaseClaim(c)
	return failRound(failure)
}

// resolveExistingClaim answers a repeated call from the claim of an earlier call.
// If the earlier call has not started and never will, the claim may be replaced and
// the result asks for another round.
func (cc *claimedCall) resolveExistingClaim(ctx context.Context, c *claim.Claim) roundResult {
	if c.Fingerprint != cc.fingerprint {
		return failRound(keyReused())
	}
	if c.Outcome != nil {
		return resultFromRecord(c.Outcome)
	}
	m := cc.entry.members.Snapshot().Find(c.Target)
	if m == nil {
		return failRound(targetUnavailable())
	}
	queryCtx, cancel := context.WithTimeout(ctx, repeatedCallWait+outcomeQueryTimeout)
	defer cancel()
	outcome, err := cc.entry.peerClient.Outcome(queryCtx, m.VM.Addr, peer.OutcomeQuery{
		ID: c.CallID, Incarnation: c.Incarnation, AgentUptimeMillis: c.AgentUptimeMillis, WaitMillis: repeatedCallWait.Milliseconds(),
	})
	if err != nil {
		return failRound(result.New(result.OutcomeUnknown, result.RanUnknown, "the target of the first call does not answer").RetryAfter(defaultRetryAfter))
	}
	if outcome.State == peer.CallWithdrawn {
		return roundResult{retry: true}
	}
	res := resultFromOutcome(&outcome)
	if res.reply != nil {
		cc.storeOutcome(c, res.reply)
	}
	return res
}

// resultFromRecord returns the result that a stored outcome holds.
func resultFromRecord(outcome *claim.Outcome) roundResult {
	if outcome.Dropped {
		return failRound(result.New(result.OutcomeUnknown, result.RanYes, "the call ran; its answer was too large to keep"))
	}
	reply := &peer.Reply{Status: outcome.Status, Header: outcome.Header, Body: outcome.Body}
	if reply.CheckHead() != nil {
		return failRound(result.New(result.OutcomeUnknown, result.RanYes, "the call ran; its answer is not valid"))
	}
	return roundResult{reply: reply}
}

// resultFromOutcome returns the result for the outcome that an agent reports.
func resultFromOutcome(outcome *peer.Outcome) roundResult {
	switch {
	case outcome.State == peer.CallEnded && outcome.Reply.Error != nil:
		return failRound(outcome.Reply.Error)
	case outcome.State == peer.CallEnded:
		return roundResult{reply: outcome.Reply}
	case outcome.State == peer.CallRunning:
		return failRound(result.New(result.OutcomeUnknown, result.RanUnknown, "a call with this key is in progress").RetryAfter(defaultRetryAfter))
	}
	return failRound(targetUnavailable())
}

func keyReused() *result.Error {
	return result.New(result.KeyReused, result.RanNo, "the key was used with other content")
}

func targetUnavailable() *result.Error {
	return result.New(result.OutcomeUnknown, result.RanUnknown, "the target that the call was sent to is gone")
}

// resolveWithoutTarget answers a call that no target can run. A claim from the
// previous round belongs to a call that did not run, so it is released. Without one,
// resolveWithoutTarget reads the claim of an earlier request with the key and, if
// there is one, answers from it.
func (cc *claimedCall) resolveWithoutTarget(ctx context.Context, previous *claim.Claim, refusal *result.Error) (*peer.Reply, *result.Error) {
	if cc.lastRefusal != nil {
		refusal = cc.lastRefusal
	}
	if previous != nil {
		cc.releaseClaim(previous)
		return nil, refusal
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, err := cc.entry.claims.Get(claimCtx, cc.key)
	switch {
	case err != nil && cc.isFirstUse:
		return nil, refusal
	case err != nil:
		return nil, refusal.WithRan(result.RanUnknown)
	case current == nil:
		return nil, refusal
	}
	res := cc.resolveExistingClaim(ctx, current)
	if res.retry {
		return nil, refusal
	}
	return res.reply, res.failure
}

// storeOutcome writes the outcome of the call to the store. The reply waits for the
// write for at most outcomeWriteWait; until the write completes, the agent answers
// queries for the outcome.
func (cc *claimedCall) storeOutcome(c *claim.Claim, reply *peer.Reply) {
	writeDone := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), outcomeWriteTimeout)
		defer cancel()
		writeDone <- cc.entry.claims.RecordOutcome(ctx, c, claim.Outcome{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	}()
	select {
	case err := <-writeDone:
		cc.logClaimError(err)
	case <-time.After(outcomeWriteWait):
	}
}

// releaseClaim releases the claim of a call that did not run.
func (cc *claimedCall) releaseClaim(c *claim.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWriteWait)
	defer cancel()
	cc.logClaimError(cc.entry.claims.Release(ctx, c))
}

// logClaimError logs an error of a write to the claim; err may be nil.
func (cc *claimedCall) logClaimError(err error) {
	if err != nil {
		telemetry.Warn(cc.entry.opts.Logger, "failed to update claim", "request", cc.id, "err", err)
	}
}

// sendAtMostOnce sends a call to the one agent process that may run it. If the
// reply is lost, the same message is sent again, and the agent answers it with the
// reply to the first one. After the last send, sendAtMostOnce queries the outcome.
// An agent that has not received the call by then marks it as withdrawn, so that it
// never starts.
func (e *Entry) sendAtMostOnce(ctx context.Context, m *membership.Member, msg *peer.Call) (*peer.Reply, *result.Error) {
	for sends := range maxSends {
		reply, err := e.peerClient.Call(ctx, m.VM.Addr, msg)
		var remoteErr *result.Error
		switch {
		case err == nil && reply.ID == msg.ID && reply.Error == nil:
			return reply, nil
		case err == nil && reply.ID == msg.ID:
			return nil, reply.Error
		case errors.As(err, &remoteErr):
			return nil, errorAfterResend(remoteErr, sends)
		case errors.Is(err, syscall.ECONNREFUSED) && sends == 0:
			return nil, result.New(result.TargetLeaving, result.RanUnknown, "the target does not accept connections")
		}
		if ctx.Err() != nil {
			break
		}
		sleepContext(ctx, resendDelay<<sends)
	}
	return e.queryOutcome(m, msg)
}

// errorAfterResend returns the error to report when a message is rejected; sends
// is the number of earlier sends of the message. Another process may have rejected
// a repeated message, for example because the agent was replaced between the sends,
// but only the process that received the first message can confirm that the call
// did not run. The outcome of a repeated message is therefore unknown, except for
// errors that are final in any case.
func errorAfterResend(remoteErr *result.Error, sends int) *result.Error {
	if sends == 0 || remoteErr.Code == result.AttemptRevoked || remoteErr.Code == result.KeyReused {
		return remoteErr
	}
	return result.New(result.OutcomeUnknown, result.RanUnknown, "the target was replaced during the call")
}

// queryOutcome queries the agent for the outcome of a call whose reply did not
// arrive. If the agent has not received the call, it marks the call as withdrawn, so
// that it never starts.
func (e *Entry) queryOutcome(m *membership.Member, msg *peer.Call) (*peer.Reply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeQueryTimeout)
	defer cancel()
	outcome, err := e.peerClient.Outcome(ctx, m.VM.Addr, peer.OutcomeQuery{
		ID: msg.ID, Incarnation: msg.Incarnation, AgentUptimeMillis: msg.AtMostOnce.AgentUptimeMillis,
	})
	switch {
	case err != nil:
		return nil, result.New(result.OutcomeUnknown, result.RanUnknown, "the target did not answer").RetryAfter(defaultRetryAfter)
	case outcome.State == peer.CallWithdrawn:
		return nil, result.New(result.AttemptRevoked, result.RanNo, "the call was withdrawn before it began")
	}
	res := resultFromOutcome(&outcome)
	return res.reply, res.failure
}
