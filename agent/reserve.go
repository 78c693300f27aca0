package agent

import (
	"net/http"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// defaultReservationTTL is long enough for an attempt or call to follow its reservation.
const defaultReservationTTL = time.Second

// handleReserve queues a reservation and answers when the reservation is granted
// or refused. The reservation is revoked if the sender disconnects.
func (a *Agent) handleReserve(w http.ResponseWriter, r *http.Request) {
	var msg peer.Reserve
	if !decodeMessage(w, r, &msg) {
		return
	}
	if msg.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanNo, "the target was replaced"))
		return
	}
	results := make(chan *result.Error, 2)
	if refusal := a.submit(a.newReservationJob(&msg, results)); refusal != nil {
		result.Write(w, refusal)
		return
	}
	select {
	case refusal := <-results:
		if refusal != nil {
			result.Write(w, refusal)
			return
		}
		writeReply(w, peer.Reservation{ID: msg.ID, Load: a.State().Load})
	case <-r.Context().Done():
		a.revoke(msg.ID)
	}
}

// newReservationJob returns a job that only reserves capacity. The attempt or
// call that arrives with the same ID uses this capacity. The job sends nil to
// results when it is granted, else the refusal.
func (a *Agent) newReservationJob(msg *peer.Reserve, results chan<- *result.Error) *job {
	now := time.Now()
	return &job{
		isReservation: true,
		item: &decision.Item{
			ID: msg.ID, Workspace: msg.Workspace, Service: msg.Service, Priority: msg.Priority, Weight: msg.Weight,
			Short: msg.Short || a.plain != nil, PromptTokens: msg.PromptTokens, MaxTokens: msg.MaxTokens,
			Arrived: now, Deadline: now.Add(time.Duration(msg.QueueMillis) * time.Millisecond),
		},
		request: msg.Request,
		admit: func() {
			results <- nil
			time.AfterFunc(a.control.state.reservationTTL, func() { a.control.do(func(s *state) { a.control.expireReservation(s, msg.ID) }) })
		},
		refuse: func(e *result.Error) { results <- e },
	}
}

// expireReservation removes a granted reservation that no attempt or call has
// used.
func (c *control) expireReservation(s *state, id string) {
	j := s.jobs[id]
	if j == nil || !j.isReservation {
		return
	}
	s.queue.Remove(id)
	c.retire(id, false, time.Now())
}

// useReservation starts a job in the capacity of the granted reservation with the
// same ID. It returns false if there is no such reservation.
func (s *state) useReservation(j *job) bool {
	reservation := s.jobs[j.item.ID]
	if reservation == nil || !reservation.isReservation || !reservation.granted {
		return false
	}
	reservation.isReservation = false
	reservation.started = true
	reservation.refuse, reservation.progress = j.refuse, j.progress
	j.admit()
	return true
}
