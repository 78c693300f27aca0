package agent

import (
	"net/http"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// reservationLease is how long granted room is kept for its attempt.
const reservationLease = time.Second

// handleReserve queues a reservation and answers when it is granted or
// refused. A sender that leaves withdraws it.
func (a *Agent) handleReserve(w http.ResponseWriter, r *http.Request) {
	var msg peer.Reserve
	if !decode(w, r, &msg) {
		return
	}
	if msg.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanNo, "the target was replaced"))
		return
	}
	answered := make(chan *result.Error, 2)
	if refusal := a.submit(a.reservation(&msg, answered)); refusal != nil {
		result.Write(w, refusal)
		return
	}
	select {
	case refusal := <-answered:
		if refusal != nil {
			result.Write(w, refusal)
			return
		}
		reply(w, peer.Granted{ID: msg.ID, Load: a.State().Load})
	case <-r.Context().Done():
		a.revoke(msg.ID)
	}
}

// reservation returns a job that only keeps room. The attempt that arrives
// under its id takes the room over.
func (a *Agent) reservation(msg *peer.Reserve, answered chan<- *result.Error) *job {
	now := time.Now()
	return &job{
		reserved: true,
		item: &decision.Item{
			ID: msg.ID, Workspace: msg.Workspace, Service: msg.Service, Priority: msg.Priority, Weight: msg.Weight,
			Short: msg.Short || a.plain != nil, PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
			Arrived: now, Deadline: now.Add(time.Duration(msg.QueueMillis) * time.Millisecond),
		},
		request: msg.Request,
		admit: func() {
			answered <- nil
			time.AfterFunc(reservationLease, func() { a.control.do(func(s *state) { a.control.lapse(s, msg.ID) }) })
		},
		refuse: func(e *result.Error) { answered <- e },
	}
}

// lapse drops a granted reservation that no attempt came for.
func (c *control) lapse(s *state, id string) {
	j := s.jobs[id]
	if j == nil || !j.reserved {
		return
	}
	s.queue.Remove(id)
	c.retire(id, false, time.Now())
}

// takeOver lets a job use the room of a granted reservation under its id. It
// reports false if there is none.
func (s *state) takeOver(j *job) bool {
	held := s.jobs[j.item.ID]
	if held == nil || !held.reserved || !held.granted {
		return false
	}
	held.reserved = false
	held.began = true
	held.refuse, held.tokens = j.refuse, j.tokens
	j.admit()
	return true
}
