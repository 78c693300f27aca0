package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// silenceLimit is the silence of an agent's stream after which its connection
// is taken as broken; agents send keep-alive frames every second.
const silenceLimit = 3 * time.Second

// relay carries one generation from an agent to a caller.
type relay struct {
	request *request
	vm      string
	// addr is the agent's address, in case its VM leaves the list.
	addr       string
	generation string
	responder  caller.Responder
	// open starts the generation; nil resumes an existing one.
	open func(context.Context) (*peer.Stream, error)
	// replaceable is set if another generation can take over, so that little
	// time is spent on the connection to this one.
	replaceable bool
	// opened is set once a stream of the generation was open.
	opened bool
}

// errCrossed is returned for a frame of another generation.
var errCrossed = errors.New("frame of another generation")

// errReplaced is returned when the agent's process is known to have ended.
var errReplaced = errors.New("the target's agent was replaced")

// relay delivers a generation to its end. A broken connection to the agent is
// resumed from the first token not yet taken.
func (e *Entry) relay(ctx context.Context, rl *relay) *result.Error {
	open := rl.open
	if open == nil {
		open = e.resumeFunc(rl)
	}
	delay, heard := resumeDelay, time.Now()
	for try, first := 0, rl.open != nil; ; try, first = try+1, false {
		before := rl.responder.Next()
		done, err := e.relayOnce(ctx, rl, open)
		if done != nil {
			return e.deliverEnd(rl, done)
		}
		if failure := relayFailure(ctx, rl, err, first); failure != nil {
			return failure
		}
		if rl.responder.Next() > before {
			try, delay, heard = 0, resumeDelay, time.Now()
		}
		if rl.exhausted(try, heard) || !pause(ctx, delay) {
			return rl.lost("the target does not answer")
		}
		delay = min(2*delay, maxResumeDelay)
		e.recordResume(rl, err)
		open = e.resumeFunc(rl)
	}
}

// exhausted reports whether the connection is not tried again.
func (rl *relay) exhausted(try int, heard time.Time) bool {
	if rl.replaceable {
		return try >= maxReplaceableResumes || time.Since(heard) > replaceablePatience
	}
	return try >= maxResumes
}

// lost returns the error of a generation that cannot be continued.
func (rl *relay) lost(message string) *result.Error {
	return rl.fail(result.EngineLost, message)
}

// fail returns an error that says what was delivered. Delivered tokens prove
// that the work ran; otherwise only the agent can tell.
func (rl *relay) fail(code result.Code, message string) *result.Error {
	delivered := rl.responder.Delivered()
	ran := result.RanUnknown
	if delivered > 0 {
		ran = result.RanYes
	}
	return result.New(code, ran, "%s", message).ForGeneration(rl.generation, delivered)
}

// relayFailure returns the error that ends the relay, or nil if the connection
// to the agent may be opened again. Only the refusal of the first message says
// that the work did not run: a refused resume says nothing of it.
func relayFailure(ctx context.Context, rl *relay, err error, first bool) *result.Error {
	var refusal *result.Error
	switch {
	case errors.Is(err, errDiverged):
		return rl.fail(result.ReplayDiverged, "a second run did not reproduce the delivered tokens")
	case errors.As(err, &refusal) && first:
		return refusal
	case errors.As(err, &refusal) && refusal.Code == result.UnknownGeneration && rl.open == nil && !rl.opened:
		return unknownGeneration()
	case errors.As(err, &refusal) && refusal.Code == result.UnknownGeneration, errors.Is(err, errReplaced):
		return rl.lost("the generation is lost")
	case errors.As(err, &refusal):
		return rl.fail(refusal.Code, refusal.Message)
	case first && peer.NotSent(err):
		return result.New(result.NoTarget, result.RanNo, "the target does not accept connections").RetryAfter(retryNoTarget)
	case errors.Is(err, errCallerGone):
		return rl.fail(result.Cancelled, "the caller left")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return rl.fail(result.DeadlineExceeded, "the request's time ran out")
	case ctx.Err() != nil:
		return rl.fail(result.Cancelled, "the caller left")
	}
	return nil
}

func (e *Entry) resumeFunc(rl *relay) func(context.Context) (*peer.Stream, error) {
	return func(ctx context.Context) (*peer.Stream, error) {
		addr := rl.addr
		if m := e.members.View().Find(rl.vm); m != nil {
			addr = m.VM.Addr
			if !holds(m, rl.generation) {
				return nil, errReplaced
			}
		}
		return e.peers.Resume(ctx, addr, rl.generation, rl.request.workspace.Name, rl.responder.Next())
	}
}

// relayOnce relays over one connection. It returns the closing frame, or the
// error that broke the connection.
func (e *Entry) relayOnce(ctx context.Context, rl *relay, open func(context.Context) (*peer.Stream, error)) (*peer.Frame, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
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
		silence.Reset(silenceLimit)
		if f.Generation != rl.generation {
			e.dropped.Add(ctx, 1)
			return nil, errCrossed
		}
		e.noteFrame(rl.vm, &f)
		if err := e.deliver(rl, &f); err != nil {
			return nil, err
		}
		if f.End != nil || f.Error != nil {
			return &f, nil
		}
	}
}

func (e *Entry) deliver(rl *relay, f *peer.Frame) error {
	e.reportLoad(rl.generation, f.Load)
	r := rl.responder
	before := r.Delivered()
	if f.Offset > r.Next() {
		return errors.Newf("frame at %d, %d taken", f.Offset, r.Next())
	}
	var err error
	if len(f.Tokens) > 0 {
		err = r.Tokens(f.Offset, f.Tokens)
	} else {
		err = r.KeepAlive()
	}
	if err != nil && !errors.Is(err, errDiverged) {
		return errors.Mark(err, errCallerGone)
	}
	e.countDelivered(rl, before)
	return err
}

// countDelivered updates the metrics after tokens were handed to the caller.
func (e *Entry) countDelivered(rl *relay, before int) {
	n := rl.responder.Delivered() - before
	if before == 0 && n > 0 {
		e.firstToken.Record(context.Background(), time.Since(rl.request.arrived).Seconds())
	}
	if n > 0 {
		e.tokens.Add(context.Background(), int64(n))
	}
}

// deliverEnd closes the answer. An answer that is shorter than its end marker
// says is never passed off as complete.
func (e *Entry) deliverEnd(rl *relay, f *peer.Frame) *result.Error {
	delivered := rl.responder.Delivered()
	if f.Error != nil {
		return f.Error.ForGeneration(rl.generation, delivered)
	}
	if f.End.Tokens != rl.responder.Next() {
		return result.New(result.Internal, result.RanYes, "the answer is incomplete").ForGeneration(rl.generation, delivered)
	}
	err := rl.responder.Finish(caller.Finish{Reason: f.End.Reason, PromptTokens: f.End.PromptTokens, CompletionTokens: f.End.Tokens})
	e.countDelivered(rl, delivered)
	switch {
	case errors.Is(err, errDiverged):
		return rl.fail(result.ReplayDiverged, "a second run ended before the delivered tokens")
	case err != nil:
		return result.New(result.Cancelled, result.RanYes, "the caller left")
	}
	return nil
}

// pause waits and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
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
		Target: rl.vm, Choice: "resume the stream", Reason: "agent_stream_broken", Detail: err.Error(), Version: rl.request.config.Version,
	})
}
