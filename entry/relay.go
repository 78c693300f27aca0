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
	request    *request
	vm         string
	generation string
	responder  caller.Responder
	// open starts the generation; nil resumes an existing one.
	open func(context.Context) (*peer.Stream, error)
}

// errCrossed is returned for a frame of another generation.
var errCrossed = errors.New("frame of another generation")

// relay delivers a generation to its end. A broken connection to the agent is
// resumed from the first token not yet delivered.
func (e *Entry) relay(ctx context.Context, rl *relay) *result.Error {
	open := rl.open
	if open == nil {
		open = e.resumeFunc(rl)
	}
	delay := resumeDelay
	for try := 0; ; try++ {
		before := rl.responder.Delivered()
		done, err := e.relayOnce(ctx, rl, open)
		if done != nil {
			return e.deliverEnd(rl, done)
		}
		if failure := e.relayFailure(ctx, rl, err); failure != nil {
			return failure
		}
		if rl.responder.Delivered() > before {
			try, delay = 0, resumeDelay
		}
		if try >= maxResumes || !pause(ctx, delay) {
			return result.New(result.EngineLost, result.RanUnknown, "the target does not answer").
				ForGeneration(rl.generation, rl.responder.Delivered())
		}
		delay = min(2*delay, maxResumeDelay)
		e.recordResume(rl, err)
		open = e.resumeFunc(rl)
	}
}

// relayFailure returns the error that ends the relay, or nil if the connection
// to the agent may be opened again.
func (e *Entry) relayFailure(ctx context.Context, rl *relay, err error) *result.Error {
	var refusal *result.Error
	switch {
	case errors.As(err, &refusal) && refusal.Code == result.UnknownGeneration:
		return result.New(result.EngineLost, result.RanUnknown, "the generation is lost").
			ForGeneration(rl.generation, rl.responder.Delivered())
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, errCallerGone):
		return result.New(result.Cancelled, result.RanYes, "the caller left")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, result.RanUnknown, "the request's time ran out")
	case ctx.Err() != nil:
		return result.New(result.Cancelled, result.RanUnknown, "the caller left")
	}
	return nil
}

func (e *Entry) resumeFunc(rl *relay) func(context.Context) (*peer.Stream, error) {
	return func(ctx context.Context) (*peer.Stream, error) {
		m, refusal := e.holder(rl.generation)
		if refusal != nil {
			return nil, refusal
		}
		return e.peers.Resume(ctx, m.VM.Addr, rl.generation, rl.request.workspace.Name, rl.responder.Delivered())
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
	for {
		f, err := stream.Next()
		if err != nil {
			return nil, err
		}
		silence.Reset(silenceLimit)
		if f.Generation != rl.generation {
			return nil, errCrossed
		}
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
	if f.Offset > r.Delivered() {
		return errors.Newf("frame at %d, %d delivered", f.Offset, r.Delivered())
	}
	var err error
	if len(f.Tokens) > 0 {
		err = r.Tokens(f.Offset, f.Tokens)
	} else {
		err = r.KeepAlive()
	}
	if err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if before == 0 && r.Delivered() > 0 {
		e.firstToken.Record(context.Background(), time.Since(rl.request.arrived).Seconds())
	}
	e.tokens.Add(context.Background(), int64(r.Delivered()-before))
	return nil
}

// deliverEnd closes the answer. An answer that is shorter than its end marker
// says is never passed off as complete.
func (e *Entry) deliverEnd(rl *relay, f *peer.Frame) *result.Error {
	if f.Error != nil {
		return f.Error
	}
	if f.End.Tokens != rl.responder.Delivered() {
		return result.New(result.Internal, result.RanYes, "the answer is incomplete").
			ForGeneration(rl.generation, rl.responder.Delivered())
	}
	err := rl.responder.Finish(caller.Finish{Reason: f.End.Reason, PromptTokens: f.End.PromptTokens, CompletionTokens: f.End.Tokens})
	if err != nil {
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
