package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

func (a *Agent) handleCall(w http.ResponseWriter, r *http.Request) {
	var call peer.Call
	if !decodeMessage(w, r, &call) {
		return
	}
	if a.plain == nil {
		result.Write(w, result.New(result.NoTarget, result.RanNo, "no plain service here"))
		return
	}
	if call.AtMostOnce != nil {
		a.handleAtMostOnce(w, r, &call)
		return
	}
	if call.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanNo, "the target was replaced"))
		return
	}
	done := make(chan *peer.Reply, 1)
	if refusal := a.submit(a.newCallJob(&call, done)); refusal != nil {
		result.Write(w, refusal)
		return
	}
	select {
	case out := <-done:
		a.writeOutcome(w, out)
	case <-a.answers.Done():
		out := outcomeAtEnd(call.ID)
		select {
		case out = <-done:
		default:
		}
		a.writeOutcome(w, out)
	case <-r.Context().Done():
		// The sender disconnected. A call that has not started is withdrawn, a
		// started call runs to its end.
		a.revoke(call.ID)
	}
}

// writeOutcome sends the reply to a call.
func (a *Agent) writeOutcome(w http.ResponseWriter, out *peer.Reply) {
	load := a.State().Load
	out.Load = &load
	writeReply(w, out)
}

func (a *Agent) newCallJob(call *peer.Call, done chan<- *peer.Reply) *job {
	now := time.Now()
	return &job{
		request: call.Request,
		item: &decision.Item{
			ID: call.ID, Workspace: call.Workspace, Service: call.Service,
			Priority: call.Priority, Weight: call.Weight, Short: true, MaxTokens: callCostTokens,
			Arrived: now, Deadline: now.Add(time.Duration(call.QueueMillis) * time.Millisecond),
		},
		admit: func() {
			a.inFlight.Add(1)
			go a.runCall(call, done)
		},
		refuse: func(e *result.Error) { done <- &peer.Reply{ID: call.ID, Error: e} },
	}
}

// runCall sends one admitted call to the plain service and never repeats it. It does
// not depend on the sender's connection: a started call runs to its end.
func (a *Agent) runCall(call *peer.Call, done chan<- *peer.Reply) {
	defer a.inFlight.Done()
	// The agent may have been paused while the call was queued.
	if call.AtMostOnce != nil {
		if refusal := a.checkStartDelay(call.AtMostOnce); refusal != nil {
			a.finish(call.ID)
			done <- &peer.Reply{ID: call.ID, Error: refusal}
			return
		}
	}
	startTime := time.Now()
	ctx, cancel := context.WithTimeout(a.baseCtx, time.Duration(call.TimeoutMillis)*time.Millisecond)
	defer cancel()
	resp, err := a.plain.Do(ctx, target.PlainCall{Method: call.Method, Path: call.Path, Header: call.Header, Body: call.Body})
	a.callLatency.record(time.Since(startTime))
	out := &peer.Reply{ID: call.ID}
	if err != nil {
		out.Error = callError(err)
	} else {
		out.Status, out.Header, out.Body = resp.Status, resp.Header, resp.Body
	}
	a.finish(call.ID)
	done <- out
	reason, detail := finishReason(err)
	a.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindFinish, Request: call.Request, Attempt: call.ID, Workspace: call.Workspace,
		Service: call.Service, Target: a.opts.VM, Choice: "end", Reason: reason, Detail: detail,
		TookMicros: time.Since(startTime).Microseconds(), ConfigVersion: call.ConfigVersion,
	})
}

// callError converts the error of a call into the error for the sender. Its Ran
// field states whether the call certainly did not run or may have run.
func callError(err error) *result.Error {
	if peer.NotSent(err) {
		return result.New(result.TargetFailed, result.RanNo, "the service does not accept connections")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, result.RanUnknown, "the service did not answer in time")
	}
	return result.New(result.OutcomeUnknown, result.RanUnknown, "%s", http.StatusText(http.StatusBadGateway))
}
