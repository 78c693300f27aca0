package agent

import (
	"context"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of a graceful stop.
const (
	drainPollInterval = 20 * time.Millisecond
	// Work in progress is answered stopAnswerFraction of DrainLimit, and maxStopAnswerTime at most,
	// before the end.
	stopAnswerFraction = 1.0 / 6
	maxStopAnswerTime  = time.Second
)

// stopAnswerTime returns the time before the end of a stop at which work in progress is answered.
func stopAnswerTime(limit time.Duration) time.Duration {
	return min(time.Duration(stopAnswerFraction*float64(limit)), maxStopAnswerTime)
}

// drain refuses new work and waits until accepted work has ended and its results
// are delivered. Shortly before DrainLimit has passed, it ends the work that is left. Below that
// limit it lasts at least DrainGrace, so that every entry learns about the drain before the agent
// refuses connections. It returns when the process must have ended. The phases go by the clock: a
// timer runs late in a process that gets little processor time.
func (a *Agent) drain() (end time.Time) {
	startedAt := time.Now()
	answerTime := stopAnswerTime(a.opts.DrainLimit)
	answerAt := startedAt.Add(a.opts.DrainLimit - answerTime)
	a.control.do(func(s *state) { s.stopping = true })
	a.setDraining(true, "stop")
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for time.Since(startedAt) < a.opts.DrainGrace || !a.isIdle() {
		if now := time.Now(); !now.Before(answerAt) {
			telemetry.Warn(a.opts.Logger, "drain limit reached with work in progress")
			// The answers need their time also if they are late.
			end = now.Add(answerTime)
			a.endWork(end.Add(-answerTime / 2))
			return end
		}
		<-poll.C
	}
	a.inFlight.Wait()
	return startedAt.Add(a.opts.DrainLimit)
}

// endWork answers all work that is left: what has not started is refused, calls that run are
// answered as calls that may have run, and generations are cancelled at the engine. It waits until
// then for the engine.
func (a *Agent) endWork(until time.Time) {
	a.control.do(func(s *state) {
		for id, j := range s.jobs {
			if j.started {
				continue
			}
			s.queue.Remove(id)
			a.control.retire(id, false, time.Now())
			j.refuse(result.New(result.TargetLeaving, result.RanNo, "the target is leaving"))
		}
	})
	a.endAnswers()
	running := a.generations.all()
	for _, g := range running {
		g.finish(nil, result.New(result.EngineLost, result.RanYes, "the target is leaving").ForGeneration(g.id, g.tokenCount()))
		g.askStop()
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	for _, g := range running {
		g.awaitStop(ctx)
	}
}

// outcomeAtEnd is the reply to a call that runs at the end of a stop.
func outcomeAtEnd(id string) *peer.Reply {
	return &peer.Reply{ID: id, Error: result.New(result.OutcomeUnknown, result.RanUnknown, "the target is leaving")}
}
