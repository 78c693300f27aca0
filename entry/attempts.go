package entry

import (
	"context"

	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// attempts keeps what is known of whether any attempt of one request ran. It
// is used by one goroutine.
type attempts struct {
	ran     result.Ran
	pending []<-chan result.Ran
}

// note adds what is known of one attempt.
func (a *attempts) note(ran result.Ran) { a.ran = worse(a.ran, ran) }

// ask adds an attempt whose agent is being asked.
func (a *attempts) ask(answer <-chan result.Ran) { a.pending = append(a.pending, answer) }

// verdict waits for the agents' answers. It is RanNo only if every attempt is
// known not to have run.
func (a *attempts) verdict() result.Ran {
	for _, answer := range a.pending {
		a.note(<-answer)
	}
	a.pending = nil
	return a.ran
}

// worse returns the state that claims less about work not having run.
func worse(a, b result.Ran) result.Ran {
	rank := map[result.Ran]int{"": 0, result.RanNo: 1, result.RanUnknown: 2, result.RanYes: 3}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// withdraw revokes work that was sent to an agent and tells whether it ran.
// Work that has not begun never will; a generation that has begun is
// cancelled. The answer arrives on the channel within revokeTimeout.
func (e *Entry) withdraw(m *membership.Member, msg peer.Revoke) <-chan result.Ran {
	answer := make(chan result.Ran, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
		defer cancel()
		revoked, err := e.peers.Revoke(ctx, m.VM.Addr, msg)
		switch {
		case err != nil || revoked.ID != msg.ID:
			answer <- result.RanUnknown
		case revoked.Began:
			answer <- result.RanYes
		default:
			answer <- result.RanNo
		}
	}()
	return answer
}
