package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// streamIdleTimeout is the time without a frame after which the connection to an
// agent is treated as broken. Agents send keep-alive frames every second.
const streamIdleTimeout = 3 * time.Second

// relay is the transfer of one generation from an agent to a caller.
type relay struct {
	request *request
	vm      string
	// addr is the agent's address, used if its VM is no longer listed.
	addr       string
	generation string
	responder  caller.Responder
	// open starts the generation; nil resumes an existing one.
	open func(context.Context) (*peer.FrameStream, error)
	// replaceable is set if another generation can replace this one. A broken
	// connection to the agent is then resumed fewer times and for a shorter time.
	replaceable bool
	// opened is set once a stream of the generation has been opened.
	opened bool
	// received is set once tokens have arrived. begun, which the generations of one request share,
	// is then set too.
	received bool
	begun    *atomic.Bool
}

// errMismatchedFrame is returned for a frame of another generation.
var errMismatchedFrame = errors.New("frame of another generation")

// errReplaced is returned when the agent is known to be another incarnation than
// the one that held the generation.
var errReplaced = errors.New("the agent at the target was replaced")

// relay delivers a generation to the caller until it ends. It resumes a broken
// connection to the agent at the first token that the responder has not received.
func (e *Entry) relay(ctx context.Context, rl *relay) *result.Error {
	open := rl.open
	if open == nil {
		open = e.resumeFunc(rl)
	}
	delay, lastProgress := minResumeDelay, time.Now()
	for resumes, isFirst := 0, rl.open != nil; ; resumes, isFirst = resumes+1, false {
		nextBefore := rl.responder.NextOffset()
		lastFrame, err := e.relayConnection(ctx, rl, open)
		if lastFrame != nil {
			return e.deliverEnd(rl, lastFrame)
		}
		if failure := relayFailure(ctx, rl, err, isFirst); failure != nil {
			return failure
		}
		if rl.responder.NextOffset() > nextBefore {
			resumes, delay, lastProgress = 0, minResumeDelay, time.Now()
		}
		if rl.resumesExhausted(resumes, lastProgress) || !sleepContext(ctx, delay) {
			return rl.engineLost("the target does not answer")
		}
		delay = min(2*delay, maxResumeDelay)
		e.recordResume(rl, err)
		open = e.resumeFunc(rl)
	}
}

// resumesExhausted reports whether the limit on resumes is reached.
func (rl *relay) resumesExhausted(resumes int, lastProgress time.Time) bool {
	if rl.replaceable {
		return resumes >= maxReplaceableResumes || time.Since(lastProgress) > replaceableResumeTimeout
	}
	return resumes >= maxResumes
}

// engineLost returns the error for a generation that cannot be continued.
func (rl *relay) engineLost(message string) *result.Error {
	return rl.newFailure(result.EngineLost, message)
}

// newFailure returns an error with the number of delivered tokens. Received tokens
// prove that the work ran; without them that is unknown.
func (rl *relay) newFailure(code result.Code, message string) *result.Error {
	delivered := rl.responder.Delivered()
	ran := result.RanUnknown
	if delivered > 0 || rl.received {
		ran = result.RanYes
	}
	return result.New(code, ran, "%s", message).ForGeneration(rl.generation, delivered)
}

// relayFailure returns the error that ends the relay, or nil if the connection to
// the agent may be opened again. isFirst is set for the message that starts the
// generation: the agent's error in response to it states whether the work ran, while
// the error in response to a resume does not.
func relayFailure(ctx context.Context, rl *relay, err error, isFirst bool) *result.Error {
	var remoteErr *result.Error
	switch {
	case errors.Is(err, errDiverged):
		return rl.newFailure(result.ReplayDiverged, "a second run did not reproduce the delivered tokens")
	case errors.As(err, &remoteErr) && isFirst:
		return remoteErr
	case errors.As(err, &remoteErr) && remoteErr.Code == result.UnknownGeneration && rl.open == nil && !rl.opened:
		return unknownGeneration()
	case errors.As(err, &remoteErr) && remoteErr.Code == result.UnknownGeneration, errors.Is(err, errReplaced):
		return rl.engineLost("the generation is lost")
	case errors.As(err, &remoteErr):
		return rl.newFailure(remoteErr.Code, remoteErr.Message)
	case isFirst && peer.NotSent(err):
		return result.New(result.NoTarget, result.RanNo, "the target does not accept connections").RetryAfter(defaultRetryAfter)
	case errors.Is(err, errCallerDisconnected):
		return rl.newFailure(result.Cancelled, "the caller left")
	case isStopping(ctx):
		return rl.newFailure(result.OutcomeUnknown, "this process stops")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return rl.newFailure(result.DeadlineExceeded, "the request's time ran out")
	case ctx.Err() != nil:
		return rl.newFailure(result.Cancelled, "the caller left")
	}
	return nil
}

// resumeFunc returns a function that opens a stream of the generation at the first
// token that the responder has not received.
func (e *Entry) resumeFunc(rl *relay) func(context.Context) (*peer.FrameStream, error) {
	return func(ctx context.Context) (*peer.FrameStream, error) {
		addr := rl.addr
		if m := e.members.Snapshot().Find(rl.vm); m != nil {
			addr = m.VM.Addr
			if !canHold(m, rl.generation) {
				return nil, errReplaced
			}
		}
		return e.peerClient.Resume(ctx, addr, rl.generation, rl.request.workspace.Name, rl.responder.NextOffset())
	}
}

// relayConnection relays frames over one connection. It returns the last frame of
// the generation, or the error that ended the connection.
func (e *Entry) relayConnection(ctx context.Context, rl *relay, open func(context.Context) (*peer.FrameStream, error)) (*peer.Frame, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(streamIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := open(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	rl.opened = true
	for {
		f, err := stream.Next()
		if err != nil {
			return nil, err
		}
		idleTimer.Reset(streamIdleTimeout)
		if f.Generation != rl.generation {
			e.mismatchedReplies.Add(ctx, 1)
			return nil, errMismatchedFrame
		}
		e.recordFrame(rl.vm, &f)
		if err := e.deliver(rl, &f); err != nil {
			return nil, err
		}
		if f.End != nil || f.Error != nil {
			return &f, nil
		}
	}
}

// deliver passes the tokens of a frame to the responder, or a keep-alive if the
// frame has none.
func (e *Entry) deliver(rl *relay, f *peer.Frame) error {
	e.updateMemberLoad(rl.generation, f.Load)
	r := rl.responder
	deliveredBefore := r.Delivered()
	if f.Offset > r.NextOffset() {
		return errors.Newf("frame at %d, %d taken", f.Offset, r.NextOffset())
	}
	var err error
	if len(f.Tokens) > 0 {
		rl.received = true
		rl.begun.Store(true)
		err = r.Tokens(f.Offset, f.Tokens)
	} else {
		err = r.KeepAlive()
	}
	if err != nil && !errors.Is(err, errDiverged) {
		return errors.Mark(err, errCallerDisconnected)
	}
	e.countDelivered(rl, deliveredBefore)
	return err
}

// countDelivered updates the metrics after tokens were delivered to the caller.
func (e *Entry) countDelivered(rl *relay, deliveredBefore int) {
	newTokens := rl.responder.Delivered() - deliveredBefore
	if deliveredBefore == 0 && newTokens > 0 {
		e.firstTokenLatency.Record(context.Background(), time.Since(rl.request.arrived).Seconds())
	}
	if newTokens > 0 {
		e.deliveredTokens.Add(context.Background(), int64(newTokens))
	}
}

// deliverEnd completes the answer from the last frame f. It returns an error if
// the number of received tokens differs from the number that the frame reports, so
// that an incomplete answer is never marked as complete.
func (e *Entry) deliverEnd(rl *relay, f *peer.Frame) *result.Error {
	delivered := rl.responder.Delivered()
	if f.Error != nil {
		return f.Error.ForGeneration(rl.generation, delivered)
	}
	if f.End.Tokens != rl.responder.NextOffset() {
		return result.New(result.Internal, result.RanYes, "the answer is incomplete").ForGeneration(rl.generation, delivered)
	}
	err := rl.responder.Finish(caller.Finish{Reason: f.End.Reason, PromptTokens: f.End.PromptTokens, CompletionTokens: f.End.Tokens})
	e.countDelivered(rl, delivered)
	switch {
	case errors.Is(err, errDiverged):
		return rl.newFailure(result.ReplayDiverged, "a second run ended before the delivered tokens")
	case err != nil:
		return result.New(result.Cancelled, result.RanYes, "the caller left")
	}
	return nil
}

// sleepContext sleeps for d and reports false if ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) recordResume(rl *relay, err error) {
	e.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindResume, Request: rl.request.id, Generation: rl.generation, Workspace: rl.request.workspace.Name,
		Target: rl.vm, Choice: "resume the stream", Reason: "agent_stream_broken", Detail: err.Error(), ConfigVersion: rl.request.config.Version,
	})
}
