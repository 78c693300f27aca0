package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of revocations.
const (
	// stopTimeout limits the time in which an agent confirms that a generation has ended. The
	// caller's stream pauses meanwhile.
	stopTimeout = 3 * time.Second
	// revokeCallTimeout limits one message. An agent confirms the end of a generation when its
	// engine has; a repeated message waits for the same. agentProbeTimeout limits a request that
	// shows whether an agent responds.
	revokeCallTimeout = 600 * time.Millisecond
	agentProbeTimeout = 400 * time.Millisecond
	// revokeDialTimeout limits the connection for a message.
	revokeDialTimeout = 400 * time.Millisecond
	// maxUnansweredMessages is the number of successive messages after which an agent that
	// responds to nothing counts as unreachable.
	maxUnansweredMessages = 2
	// The delay between two messages doubles from minRevokeDelay to maxRevokeDelay.
	minRevokeDelay = 20 * time.Millisecond
	maxRevokeDelay = 200 * time.Millisecond
	// maxRevokeMessages limits the messages of a revocation that ends no generation.
	maxRevokeMessages = 2
)

// attemptTracker combines the execution states (result.Ran) of the attempts of one
// request. It is not safe for concurrent use.
type attemptTracker struct {
	ran     result.Ran
	pending []<-chan revocation
}

// record adds the execution state of one attempt.
func (a *attemptTracker) record(ran result.Ran) { a.ran = combineRan(a.ran, ran) }

// addPending adds an attempt whose execution state arrives with the outcome of its revocation.
func (a *attemptTracker) addPending(outcome <-chan revocation) {
	a.pending = append(a.pending, outcome)
}

// awaitStop waits for the outcomes of all revocations. It reports whether none of the attempts
// runs any more; it returns false if ctx ends before.
func (a *attemptTracker) awaitStop(ctx context.Context) bool {
	for len(a.pending) > 0 {
		select {
		case outcome := <-a.pending[0]:
			a.record(outcome.ran)
			a.pending = a.pending[1:]
			if !outcome.stopped {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// mayHaveRun reports whether it is not known yet that no attempt has run.
func (a *attemptTracker) mayHaveRun() bool {
	return len(a.pending) > 0 || a.ran == result.RanUnknown || a.ran == result.RanYes
}

// resolve waits for the pending states until ctx ends, and returns the combined state of all
// attempts. The result is RanNo only if every attempt is known not to have run.
func (a *attemptTracker) resolve(ctx context.Context) result.Ran {
	for _, pending := range a.pending {
		select {
		case outcome := <-pending:
			a.record(outcome.ran)
		case <-ctx.Done():
			a.record(result.RanUnknown)
		}
	}
	a.pending = nil
	return a.ran
}

// combineRan returns the higher of two execution states, in the order no, unknown,
// yes.
func combineRan(a, b result.Ran) result.Ran {
	rank := map[result.Ran]int{"": 0, result.RanNo: 1, result.RanUnknown: 2, result.RanYes: 3}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// revocation is the outcome of a revocation.
type revocation struct {
	ran result.Ran
	// stopped is set if the work does not run and will not start, or if its agent cannot be
	// reached: it refuses connections, or responds neither to revocations nor to requests for its
	// state.
	stopped bool
}

// revoke revokes work that was sent to an agent and reports the outcome on the returned
// channel within revokeTimeout. Work that has not started never starts afterwards. A
// generation that has started is cancelled if msg.Cancel is set; the message is then repeated
// until the agent confirms that the generation has ended, for stopTimeout at most.
func (e *Entry) revoke(m *membership.Member, msg peer.Revoke) <-chan revocation {
	outcome := make(chan revocation, 1)
	limit := revokeTimeout
	if msg.Cancel {
		limit = stopTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		outcome <- e.revokeUntilStopped(ctx, m, msg)
	}()
	return outcome
}

// revokeUntilStopped sends a revocation until its outcome is known or ctx ends.
func (e *Entry) revokeUntilStopped(ctx context.Context, m *membership.Member, msg peer.Revoke) revocation {
	outcome := revocation{ran: result.RanUnknown}
	unanswered, delay := 0, minRevokeDelay
	for sent := 1; ; sent++ {
		callCtx, endCall := context.WithTimeout(ctx, revokeCallTimeout)
		revoked, err := e.revoker.Revoke(callCtx, m.VM.Addr, msg)
		endCall()
		isAnswered := err == nil && revoked.ID == msg.ID
		switch {
		case isAnswered && revoked.Unknown:
		case isAnswered && revoked.Started:
			outcome.ran = result.RanYes
		case isAnswered:
			return revocation{ran: result.RanNo, stopped: true}
		case errors.Is(err, syscall.ECONNREFUSED):
			outcome.stopped = true
			return outcome
		}
		unanswered++
		// The end of ctx says nothing about the agent.
		if isAnswered || msg.Cancel && e.answers(ctx, m) || ctx.Err() != nil {
			unanswered = 0
		}
		outcome.stopped = isAnswered && revoked.Stopped || unanswered == maxUnansweredMessages
		if outcome.stopped || !msg.Cancel && (isAnswered || sent == maxRevokeMessages) || !sleepContext(ctx, delay) {
			e.recordUnconfirmedStop(m, msg, outcome, err)
			return outcome
		}
		delay = min(2*delay, maxRevokeDelay)
	}
}

// answers reports whether an agent responds to a request for its state.
func (e *Entry) answers(ctx context.Context, m *membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, agentProbeTimeout)
	defer cancel()
	_, err := e.revoker.State(ctx, m.VM.Addr)
	var remoteErr *result.Error
	return err == nil || errors.As(err, &remoteErr) || errors.Is(err, httphead.ErrInvalid)
}

// recordUnconfirmedStop logs that an agent has not confirmed the end of a generation.
func (e *Entry) recordUnconfirmedStop(m *membership.Member, msg peer.Revoke, outcome revocation, err error) {
	if msg.Cancel && !outcome.stopped {
		telemetry.Warn(e.opts.Logger, "end of a generation not confirmed", "generation", msg.Generation, "target", m.VM.Name, "err", err)
	}
}
