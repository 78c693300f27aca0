package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of resumes after a broken engine stream, and timing of the cancellation at the
// engine.
const (
	maxEngineResumes = 5
	// engineResumeBackoff is the delay before the first resume; it doubles with each
	// further one.
	engineResumeBackoff = 50 * time.Millisecond
	// engineStopTimeout limits the time in which an engine confirms that a generation has
	// ended, engineCancelTimeout one of the calls. The caller's stream pauses meanwhile.
	engineStopTimeout   = 2 * time.Second
	engineCancelTimeout = 400 * time.Millisecond
	// maxUnansweredProbes is the number of successive requests without a response after which
	// the engine counts as unreachable.
	maxUnansweredProbes = 2
	// The delay between two calls doubles from minCancelDelay to maxCancelDelay.
	minCancelDelay = 20 * time.Millisecond
	maxCancelDelay = 200 * time.Millisecond
	// lateStartDelay is the time in which a start reaches the engine whose connection was
	// closed before a response.
	lateStartDelay = 50 * time.Millisecond
)

// errSkippedToken is returned when an engine skips a token.
var errSkippedToken = errors.New("engine skipped a token")

// runGeneration runs one admitted generation at the engine to its end.
func (a *Agent) runGeneration(g *generation, attempt *peer.Attempt) {
	defer a.inFlight.Done()
	startTime := time.Now()
	ctx, cancel := context.WithTimeout(a.baseCtx, time.Duration(attempt.TimeoutMillis)*time.Millisecond)
	defer cancel()
	g.beginRun(cancel)
	watchDone := a.watchListeners(ctx, cancel, g, time.Duration(attempt.ResumeMillis)*time.Millisecond)
	err := a.runAtEngine(ctx, g, attempt)
	if err != nil {
		g.finish(nil, generationError(ctx, err).ForGeneration(g.id, g.tokenCount()))
	}
	g.endRun(err == nil || a.stopBrokenRun(ctx, g))
	cancel()
	<-watchDone
	a.finish(attempt.ID)
	a.recordFinish(g, attempt, err, time.Since(startTime))
	a.retain(g, time.Duration(attempt.ResumeMillis)*time.Millisecond)
}

// generate streams the completion from the engine into the buffer and resumes
// the stream when the connection to the engine breaks.
func (a *Agent) generate(ctx context.Context, g *generation, attempt *peer.Attempt) error {
	onChunk := func(c target.Chunk) error { return a.receiveChunk(g, c) }
	err := a.engine.Start(ctx, target.Completion{
		ID: g.id, Model: peer.ModelKey(attempt.Model, attempt.Adapter), Prompt: attempt.Prompt,
		MaxTokens: attempt.MaxTokens, Priority: attempt.Priority, Seed: attempt.Seed,
	}, onChunk)
	var refused *target.RefusedError
	if errors.As(err, &refused) || errors.Is(err, target.ErrUnknownCompletion) {
		return err
	}
	for try := 0; try < maxEngineResumes && err != nil; try++ {
		if ctx.Err() != nil || errors.Is(err, target.ErrUnknownCompletion) {
			return err
		}
		a.recorder.Record(telemetry.Decision{
			Kind: telemetry.KindResume, Request: attempt.Request, Attempt: attempt.ID, Generation: g.id,
			Target: a.opts.VM, Choice: "resume at the engine", Reason: "engine_stream_broken",
		})
		a.gate.markStreamBroken()
		sleep(ctx, engineResumeBackoff<<try)
		err = a.engine.Resume(ctx, g.id, g.tokenCount(), onChunk)
	}
	if errors.As(err, &refused) {
		// A refused resume does not mean that the engine refused to start the
		// generation, so the RefusedError is not wrapped.
		return errors.Newf("resume: %v", refused)
	}
	if err == nil && !g.hasEnded() {
		return errors.New("engine closed the stream without a finish reason")
	}
	return err
}

func (a *Agent) receiveChunk(g *generation, c target.Chunk) error {
	if c.Finish == "" {
		if !g.add(c.Offset, c.Text) {
			return errSkippedToken
		}
		return nil
	}
	if n := g.tokenCount(); c.CompletionTokens != n {
		return errors.Newf("engine ended after %d tokens, %d arrived", c.CompletionTokens, n)
	}
	g.finish(&peer.End{Reason: c.Finish, Tokens: c.CompletionTokens, PromptTokens: c.PromptTokens}, nil)
	return nil
}

// generationError converts the error of an incomplete generation into the error for
// its listeners.
func generationError(ctx context.Context, err error) *result.Error {
	var refused *target.RefusedError
	var refusal *result.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case ctx.Err() != nil:
		return result.New(result.DeadlineExceeded, result.RanYes, "the generation's time ran out")
	case errors.As(err, &refused):
		return result.New(result.TargetFailed, ranOnRefusal(refused), "the engine refused the request with status %d", refused.Status)
	default:
		return result.New(result.EngineLost, result.RanYes, "the engine was lost")
	}
}

// ranOnRefusal returns the execution state of a generation whose start the engine
// refused with an error status. It does not apply to a refused resume.
func ranOnRefusal(e *target.RefusedError) result.Ran {
	switch {
	case e.Status == http.StatusServiceUnavailable, e.Status == http.StatusTooManyRequests:
		return result.RanNo
	case e.Status >= http.StatusInternalServerError, e.Status == http.StatusConflict:
		return result.RanUnknown
	}
	return result.RanNo
}

// stopBrokenRun ends a generation at the engine after its run has failed, and reports whether
// the engine does not run it any more.
func (a *Agent) stopBrokenRun(ctx context.Context, g *generation) bool {
	if !a.stopAtEngine(g.id) {
		return false
	}
	if ctx.Err() == nil || g.tokenCount() > 0 {
		return true
	}
	// The start may have been given up in flight and arrive after the cancellation.
	time.Sleep(lateStartDelay)
	return a.stopAtEngine(g.id)
}

// stopAtEngine cancels a generation at the engine. It repeats calls that fail, and reports
// whether the engine has confirmed that it does not run the generation, or cannot be reached:
// it refuses connections, or does not respond to requests for its models either.
func (a *Agent) stopAtEngine(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), engineStopTimeout)
	defer cancel()
	unanswered := 0
	for delay := minCancelDelay; ; delay = min(2*delay, maxCancelDelay) {
		callCtx, endCall := context.WithTimeout(ctx, engineCancelTimeout)
		err := a.engine.Cancel(callCtx, id)
		endCall()
		if err == nil || httpclient.IsUnreachable(err) {
			return true
		}
		unanswered++
		// The end of ctx says nothing about the engine.
		if a.engineAnswers(ctx) || ctx.Err() != nil {
			unanswered = 0
		}
		if unanswered == maxUnansweredProbes {
			return true
		}
		sleep(ctx, delay)
		if ctx.Err() != nil {
			telemetry.Warn(a.opts.Logger, "cancel at the engine failed", "generation", id, "err", err)
			return false
		}
	}
}

// engineAnswers reports whether the engine responds within engineCancelTimeout.
func (a *Agent) engineAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, engineCancelTimeout)
	defer cancel()
	return a.engine.Answers(ctx)
}

// watchListeners cancels the generation when all its listeners have left and none
// was added within the grace period. The returned channel is closed when the watch
// has ended.
func (a *Agent) watchListeners(ctx context.Context, cancel context.CancelFunc, g *generation, grace time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-g.abandoned:
			}
			if waitForListener(ctx, g, grace) {
				continue
			}
			g.finish(nil, result.New(result.Cancelled, result.RanYes, "the caller left").ForGeneration(g.id, g.tokenCount()))
			cancel()
			return
		}
	}()
	return done
}

// waitForListener waits until the generation has a listener or ctx ends. It
// returns false if no listener was added within the grace period.
func waitForListener(ctx context.Context, g *generation, grace time.Duration) bool {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for !g.hasListeners() {
		select {
		case <-g.joined:
		case <-ctx.Done():
			return true
		case <-timer.C:
			return g.hasListeners()
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (a *Agent) recordFinish(g *generation, attempt *peer.Attempt, err error, elapsed time.Duration) {
	reason, detail := finishReason(err)
	a.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindFinish, Request: attempt.Request, Attempt: attempt.ID, Generation: g.id,
		Workspace: attempt.Workspace, Service: attempt.Service, Target: a.opts.VM,
		Choice: "end", Reason: reason, Detail: detail, TookMicros: elapsed.Microseconds(), ConfigVersion: attempt.ConfigVersion,
	})
}

// finishReason returns the reason and the detail for the decision record of an
// ended generation or call.
func finishReason(err error) (reason, detail string) {
	if err == nil {
		return "complete", ""
	}
	return "failed", err.Error()
}
