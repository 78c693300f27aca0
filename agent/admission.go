package agent

import (
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Periods of admission control.
const (
	// progressInterval is the minimum age of the queue's token counts at which
	// they are updated before jobs are admitted.
	progressInterval = 10 * time.Millisecond
	// minBlockRecordInterval is the shortest time between two decision records of
	// the reason why no waiting job is admitted.
	minBlockRecordInterval = time.Second
)

// callCostTokens is the number of tokens that the queue charges for a call to a
// plain service.
const callCostTokens = 1

// admissionState holds what the control goroutine remembers between admissions:
// when it last updated the token counts, and which reason for not admitting waiting
// jobs it last recorded and when.
type admissionState struct {
	lastProgress        time.Time
	recordedBlockReason decision.WaitReason
	blockRecordedAt     time.Time
}

// tick updates the token counts of running generations and passes a summary of the
// inter-token latencies since the last tick to the queue.
func (c *control) tick(now time.Time) {
	c.updateProgress(now)
	c.state.queue.Tick(c.agent.tokenLatency.summarize(c.agent.opts.Limits.InterTokenTarget), now)
}

// updateProgress reports the token counts of running generations to the queue.
func (c *control) updateProgress(now time.Time) {
	c.admission.lastProgress = now
	for id, j := range c.state.jobs {
		if !j.started || j.progress == nil {
			continue
		}
		n, _ := j.progress()
		c.state.queue.Progress(id, n)
	}
}

// admit starts the jobs that the queue admits now.
func (c *control) admit(now time.Time) {
	if !c.state.ready {
		return
	}
	if c.state.queue.Waiting() > 0 && now.Sub(c.admission.lastProgress) >= progressInterval {
		c.updateProgress(now)
	}
	for _, item := range c.state.queue.Admit(now) {
		j := c.state.jobs[item.ID]
		j.started = !j.isReservation
		j.granted = true
		c.agent.recorder.Record(telemetry.Decision{
			Kind: telemetry.KindAdmit, Request: j.request, Attempt: item.ID, Workspace: item.Workspace, Service: item.Service,
			Target: c.agent.opts.VM, Choice: "start", Reason: "capacity",
			TookMicros: now.Sub(item.Arrived).Microseconds(),
		})
		j.admit()
	}
	c.recordBlockReason(now)
}

// recordBlockReason records the reason why the queue admits no waiting job, if the reason
// has changed and minBlockRecordInterval has passed since the last record.
func (c *control) recordBlockReason(now time.Time) {
	reason := c.state.queue.WaitReason()
	if reason == c.admission.recordedBlockReason || reason == decision.WaitNone || now.Sub(c.admission.blockRecordedAt) < minBlockRecordInterval {
		return
	}
	c.admission.recordedBlockReason = reason
	c.admission.blockRecordedAt = now
	c.agent.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindAdmit, Target: c.agent.opts.VM, Choice: "hold", Reason: string(reason),
	})
}

// removeEnded removes an ended job from the queue. The token count of a complete
// job updates the queue's forecast of output lengths.
func (s *state) removeEnded(id string) {
	j := s.jobs[id]
	switch {
	case j == nil:
		s.queue.Remove(id)
	case j.progress == nil:
		s.queue.Finish(id, callCostTokens)
	default:
		n, complete := j.progress()
		if !complete {
			s.queue.Remove(id)
			return
		}
		s.queue.Finish(id, n)
	}
}

// overloadError converts the queue's refusal into the error for the sender.
func overloadError(verdict decision.Verdict) *result.Error {
	message := "the target's queue is full"
	if verdict.Reason == decision.ReasonExpectedWait {
		message = "the expected wait for the target is too long"
	}
	return result.New(result.Overloaded, result.RanNo, "%s", message).RetryAfter(verdict.RetryAfter)
}

func (a *Agent) recordRefusal(j *job, reason string) {
	a.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRefuse, Request: j.request, Attempt: j.item.ID, Workspace: j.item.Workspace,
		Service: j.item.Service, Target: a.opts.VM, Choice: "refuse", Reason: reason,
	})
}

// load returns the target's load as other processes receive it.
func (s *state) load() peer.Load {
	summary := s.queue.Load()
	return peer.Load{
		Running: s.queue.Running(), Queued: s.queue.Waiting(), QueuedPromptTokens: summary.QueuedPromptTokens,
		KVTokens: summary.KVTokens, KVCapacityTokens: summary.KVCapacityTokens, Slots: s.queue.Slots(),
		LatencyMicros: summary.InterTokenLatency.Microseconds(), WaitMicros: summary.Wait.Microseconds(),
		ShortWaitMicros: summary.ShortWait.Microseconds(),
		EngineRunning:   s.report.Running, EngineWaiting: s.report.Waiting,
	}
}

// applyReport updates the size of the engine's KV cache from its load report.
// The report lags, so the agent uses none of its other values and only passes
// the engine's request counts on to entries.
func (s *state) applyReport(report target.LoadReport) {
	s.report = report
	s.queue.SetKVCache(decision.KVCache{Blocks: report.TotalBlocks, BlockTokens: report.BlockTokens})
}
