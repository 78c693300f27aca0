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

// Bounds of calls that run at most once.
const (
	// claimLimit bounds the wait for the store before a call.
	claimLimit = 2 * time.Second
	// settleWait is how long an answer waits for its outcome to be written; the
	// write itself goes on until settleLimit.
	settleWait  = 250 * time.Millisecond
	settleLimit = time.Minute
	// repeatWait is how long a repeated call waits for the first one's answer.
	repeatWait = 10 * time.Second
	queryLimit = 2 * time.Second
	maxRounds  = 8
	// maxFresh bounds the time from the choice of a target to the call's start.
	maxFresh = time.Minute
	// freshShare of a claim's retention is the most that this time may be, so
	// that no call starts under an expired claim.
	freshShare = 4
	joinTries  = 4
	joinDelay  = 50 * time.Millisecond
)

// claimedCall runs a call under a claim of the caller's key. Invariant: a call
// id is sent only to the agent process that the store's record of it names,
// and only after that record is known to be written.
type claimedCall struct {
	*call
	key         claim.Key
	fingerprint string
	tried       map[string]bool
	// failure is the last refusal of a target.
	failure *result.Error
}

// runOnce makes a call that may run at most once.
func (c *call) runOnce(ctx context.Context, text string) (*peer.Reply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.service.QueueLimit()+c.service.Timeout())
	defer cancel()
	key := claim.Key{Workspace: c.workspace.Name, Service: c.service.Name, Value: text}
	content := fingerprint(c.message.Method, c.message.Path, string(c.message.Body))
	if issued, ok := peer.ParseIssuedKey(text); ok {
		return c.runIssued(ctx, issued, key.Digest(), content)
	}
	o := &claimedCall{call: c, key: key, fingerprint: content, tried: map[string]bool{}}
	return o.run(ctx)
}

// verdict is the result of one round; again asks for another.
type verdict struct {
	reply   *peer.Reply
	failure *result.Error
	again   bool
}

func refused(e *result.Error) verdict { return verdict{failure: e} }

// run claims the key for one target after another until the call has an answer.
func (o *claimedCall) run(ctx context.Context) (*peer.Reply, *result.Error) {
	var seen *claim.Claim
	for range maxRounds {
		m, refusal := o.entry.route(o.request, decision.Work{Workspace: o.workspace.Name, Service: o.service.Name, Priority: o.service.Priority}, o.tried)
		if refusal != nil {
			return o.withoutTarget(ctx, seen, refusal)
		}
		cur, v := o.round(ctx, m, seen)
		if !v.again {
			return v.reply, v.failure
		}
		seen = cur
	}
	return nil, result.New(result.OutcomeUnknown, result.RanUnknown, "the key is contended").RetryAfter(retryNoTarget)
}

// round claims the key for one target and acts on the claim that it finds.
func (o *claimedCall) round(ctx context.Context, m *membership.Member, seen *claim.Claim) (*claim.Claim, verdict) {
	rec := claim.Record{
		Call: newID("once-"), Target: m.VM.Name, Incarnation: m.State.Incarnation,
		SeenMillis: m.State.UptimeMillis, Fingerprint: o.fingerprint,
	}
	limit, cancel := context.WithTimeout(ctx, claimLimit)
	cur, err := o.entry.claims.Put(limit, o.key, seen, rec)
	cancel()
	switch {
	case err != nil:
		o.recordClaim(m, "store_unavailable")
		return nil, o.withoutStore(ctx)
	case cur == nil:
		return nil, verdict{again: true}
	case cur.Call == rec.Call:
		o.recordClaim(m, "won")
		return cur, o.dispatch(ctx, m, cur)
	}
	o.recordClaim(m, "held")
	return cur, o.follow(ctx, cur)
}

func (o *claimedCall) recordClaim(m *membership.Member, reason string) {
	o.entry.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindClaim, Request: o.id, Workspace: o.workspace.Name, Service: o.service.Name,
		Target: m.VM.Name, Choice: "claim", Reason: reason, Version: o.config.Version,
	})
}

// dispatch makes the call that this process has claimed.
func (o *claimedCall) dispatch(ctx context.Context, m *membership.Member, c *claim.Claim) verdict {
	msg := o.message
	msg.ID, msg.Incarnation = c.Call, c.Incarnation
	msg.Once = &peer.Once{
		Key: o.key.Digest(), Fingerprint: o.fingerprint, SeenMillis: c.SeenMillis,
		FreshMillis: min(maxFresh, o.entry.opts.ClaimRetention/freshShare).Milliseconds(),
	}
	reply, failure := o.entry.sendOnce(ctx, m, &msg)
	if failure == nil {
		o.settle(c, reply)
		return verdict{reply: reply}
	}
	switch {
	case failure.Code == result.TargetLeaving && failure.Ran != result.RanYes:
		// This id was sent to no other process, so that the call did not run.
		failure = failure.WithRan(result.RanNo)
	case failure.Ran != result.RanNo:
		return refused(failure)
	}
	o.failure = failure
	switch failure.Code {
	case result.AttemptRevoked, result.Overloaded, result.TargetLeaving, result.NoTarget, result.TargetFailed:
		o.tried[m.VM.Name] = failure.Code != result.AttemptRevoked
		o.entry.recordRetry(o.request, m, failure)
		return verdict{again: true}
	}
	o.release(c)
	return refused(failure)
}

// follow answers a repeated call from the claim of an earlier one. If that one
// has not begun and never will, the claim is free to be taken over.
func (o *claimedCall) follow(ctx context.Context, c *claim.Claim) verdict {
	if c.Fingerprint != o.fingerprint {
		return refused(keyReused())
	}
	if c.Outcome != nil {
		return recall(c.Outcome)
	}
	m := o.entry.members.View().Find(c.Target)
	if m == nil {
		return refused(targetGone())
	}
	limit, cancel := context.WithTimeout(ctx, repeatWait+queryLimit)
	defer cancel()
	out, err := o.entry.peers.Outcome(limit, m.VM.Addr, peer.OutcomeQuery{
		ID: c.Call, Incarnation: c.Incarnation, SeenMillis: c.SeenMillis, WaitMillis: repeatWait.Milliseconds(),
	})
	if err != nil {
		return refused(result.New(result.OutcomeUnknown, result.RanUnknown, "the target of the first call does not answer").RetryAfter(retryNoTarget))
	}
	if out.Fate == peer.FateWithdrawn {
		return verdict{again: true}
	}
	v := fate(&out)
	if v.reply != nil {
		o.settle(c, v.reply)
	}
	return v
}

// recall answers from a written outcome.
func recall(out *claim.Outcome) verdict {
	if out.Dropped {
		return refused(result.New(result.OutcomeUnknown, result.RanYes, "the call ran; its answer was too large to keep"))
	}
	return verdict{reply: &peer.Reply{Status: out.Status, Header: out.Header, Body: out.Body}}
}

// fate answers a repeated call from what the agent knows of the first.
func fate(out *peer.Outcome) verdict {
	switch {
	case out.Fate == peer.FateEnded && out.Reply.Error != nil:
		return refused(out.Reply.Error)
	case out.Fate == peer.FateEnded:
		return verdict{reply: out.Reply}
	case out.Fate == peer.FateRunning:
		return refused(result.New(result.OutcomeUnknown, result.RanUnknown, "a call with this key is in progress").RetryAfter(retryNoTarget))
	}
	return refused(targetGone())
}

func keyReused() *result.Error {
	return result.New(result.KeyReused, result.RanNo, "the key was used with other content")
}

func targetGone() *result.Error {
	return result.New(result.OutcomeUnknown, result.RanUnknown, "the target that the call was sent to is gone")
}

// withoutTarget ends a call that no target takes. A key that was used before
// still gets its answer.
func (o *claimedCall) withoutTarget(ctx context.Context, seen *claim.Claim, refusal *result.Error) (*peer.Reply, *result.Error) {
	if o.failure != nil {
		refusal = o.failure
	}
	if seen != nil {
		o.release(seen)
		return nil, refusal
	}
	limit, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	cur, err := o.entry.claims.Get(limit, o.key)
	switch {
	case err != nil && o.first:
		return nil, refusal
	case err != nil:
		return nil, refusal.WithRan(result.RanUnknown)
	case cur == nil:
		return nil, refusal
	}
	v := o.follow(ctx, cur)
	if v.again {
		return nil, refusal
	}
	return v.reply, v.failure
}

// settle writes the outcome. The answer does not wait for a store that is slow:
// until it is written, the agent answers for the call.
func (o *claimedCall) settle(c *claim.Claim, reply *peer.Reply) {
	written := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		written <- o.entry.claims.Settle(ctx, c, claim.Outcome{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	}()
	select {
	case err := <-written:
		o.warn(err)
	case <-time.After(settleWait):
	}
}

func (o *claimedCall) release(c *claim.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	o.warn(o.entry.claims.Release(ctx, c))
}

func (o *claimedCall) warn(err error) {
	if err != nil {
		telemetry.Warn(o.entry.opts.Logger, "claim not settled", "request", o.id, "err", err)
	}
}

// sendOnce sends a call to the one process that may run it. After a lost reply
// the message is sent again: the agent joins it to the first. At last the call
// is withdrawn unless it has begun.
func (e *Entry) sendOnce(ctx context.Context, m *membership.Member, msg *peer.Call) (*peer.Reply, *result.Error) {
	for try := range joinTries {
		reply, err := e.peers.Call(ctx, m.VM.Addr, msg)
		var refusal *result.Error
		switch {
		case err == nil && reply.ID == msg.ID && reply.Error == nil:
			return reply, nil
		case err == nil && reply.ID == msg.ID:
			return nil, reply.Error
		case errors.As(err, &refusal):
			return nil, afterRepeat(refusal, try)
		case errors.Is(err, syscall.ECONNREFUSED) && try == 0:
			return nil, result.New(result.TargetLeaving, result.RanUnknown, "the target does not accept connections")
		}
		if ctx.Err() != nil {
			break
		}
		pause(ctx, joinDelay<<try)
	}
	return e.lastWord(m, msg)
}

// afterRepeat corrects the refusal of a message that was sent before. Another
// process may have answered, for example because the agent was replaced in
// between; only the process that got the first message can say that the call
// did not run.
func afterRepeat(refusal *result.Error, try int) *result.Error {
	if try == 0 || refusal.Code == result.AttemptRevoked || refusal.Code == result.KeyReused {
		return refusal
	}
	return result.New(result.OutcomeUnknown, result.RanUnknown, "the target was replaced during the call")
}

// lastWord asks the agent of a call whose reply did not arrive.
func (e *Entry) lastWord(m *membership.Member, msg *peer.Call) (*peer.Reply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryLimit)
	defer cancel()
	out, err := e.peers.Outcome(ctx, m.VM.Addr, peer.OutcomeQuery{
		ID: msg.ID, Incarnation: msg.Incarnation, SeenMillis: msg.Once.SeenMillis,
	})
	switch {
	case err != nil:
		return nil, result.New(result.OutcomeUnknown, result.RanUnknown, "the target did not answer").RetryAfter(retryNoTarget)
	case out.Fate == peer.FateWithdrawn:
		return nil, result.New(result.AttemptRevoked, result.RanNo, "the call was withdrawn before it began")
	}
	v := fate(&out)
	return v.reply, v.failure
}
