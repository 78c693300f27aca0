package entry

import (
	"context"

	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// attemptTracker combines the execution states (result.Ran) of the attempts of one
// request. It is not safe for concurrent use.
type attemptTracker struct {
	ran     result.Ran
	pending []<-chan result.Ran
}

// record adds the execution state of one attempt.
func (a *attemptTracker) record(ran result.Ran) { a.ran = combineRan(a.ran, ran) }

// addPending adds an attempt whose execution state arrives on reply.
func (a *attemptTracker) addPending(reply <-chan result.Ran) { a.pending = append(a.pending, reply) }

// resolve waits for the pending states and returns the combined state of all
// attempts. The result is RanNo only if every attempt is known not to have run.
func (a *attemptTracker) resolve() result.Ran {
	for _, reply := range a.pending {
		a.record(<-reply)
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

// revoke revokes work that was sent to an agent and reports on the returned
// channel, within revokeTimeout, whether the work ran. Work that has not started
// never starts afterwards. A generation that has started is cancelled if
// msg.Cancel is set.
func (e *Entry) revoke(m *membership.Member, msg peer.Revoke) <-chan result.Ran {
	ran := make(chan result.Ran, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
		defer cancel()
		revoked, err := e.peerClient.Revoke(ctx, m.VM.Addr, msg)
		switch {
		case err != nil || revoked.ID != msg.ID:
			ran <- result.RanUnknown
		case revoked.Started:
			ran <- result.RanYes
		default:
			ran <- result.RanNo
		}
	}()
	return ran
}
