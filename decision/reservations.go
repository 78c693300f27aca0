package decision

import "time"

// Reservations is the account of the work that many processes send to one engine. Load
// reports of an engine are older than the time in which other processes send work, so that
// all of them would choose the engine that looks idle. The account is kept beside the
// engine, and each process reserves there before it sends. It is not safe for concurrent
// use.
type Reservations struct {
	pending []reservation
	// unreserved is the number of requests in prefill or waiting that have no reservation,
	// prefilling the number of requests in prefill.
	unreserved int
	prefilling int
	// deniedAt is when a reservation of work that is not late was last denied.
	deniedAt time.Time
	// kvTokens is the KV cache that the running requests need.
	kvTokens int
}

// reservation is a request that has been granted and has not generated its first event.
type reservation struct {
	id           string
	at           time.Time
	promptTokens int
	kvTokens     int
}

// Limits and estimates of reservations.
const (
	// arrivalGrace is the time within which a granted request arrives at the engine and is
	// in its next report.
	arrivalGrace = 250 * time.Millisecond
	// maxReservationAge is how long a request without its first event is counted at most.
	maxReservationAge = 15 * time.Second
	// unreservedPromptTokens is the assumed prompt of a request without a reservation.
	unreservedPromptTokens = 2600
	// lateYield is how long late work gives way after a denied reservation of other work.
	// It exceeds the time after which that work asks again.
	lateYield = 250 * time.Millisecond
)

// Observe reconciles the account with a report of the engine: the number of requests that
// have not generated an event, those of them in prefill, and the KV cache that the others
// need. hasStarted reports whether a request has generated an event.
func (r *Reservations) Observe(now time.Time, unstarted, prefilling, kvTokens int, hasStarted func(id string) bool) {
	kept := r.pending[:0]
	settled := 0
	for _, p := range r.pending {
		if hasStarted(p.id) || now.Sub(p.at) > maxReservationAge {
			continue
		}
		if now.Sub(p.at) > arrivalGrace {
			settled++
		}
		kept = append(kept, p)
	}
	// More reservations than requests: the oldest ones have ended without an event.
	if excess := settled - unstarted; excess > 0 {
		kept = kept[excess:]
		settled -= excess
	}
	r.pending = kept
	r.unreserved = max(unstarted-len(r.pending), 0)
	r.prefilling = prefilling
	r.kvTokens = kvTokens
}

// PrefillTokens returns the number of prompt tokens that the engine has to prefill. Half of
// the prompt in prefill is done on average.
func (r *Reservations) PrefillTokens() int {
	tokens := r.unreserved * unreservedPromptTokens
	for i, p := range r.pending {
		if i < r.prefilling {
			tokens += p.promptTokens / 2
			continue
		}
		tokens += p.promptTokens
	}
	return tokens
}

// KVTokens returns the KV cache that the requests of the engine need, in tokens.
func (r *Reservations) KVTokens() int {
	tokens := r.kvTokens
	for i, p := range r.pending {
		// A request in prefill is part of the report.
		if i >= r.prefilling {
			tokens += p.kvTokens
		}
	}
	return tokens
}

// ReservationRequest is the request for a reservation. A negative limit does not apply.
type ReservationRequest struct {
	ID           string
	PromptTokens int
	KVTokens     int
	// MaxPrefillTokens is the largest backlog before the request, MaxKVTokens the largest
	// use of the KV cache with it.
	MaxPrefillTokens int
	MaxKVTokens      int
	// Late marks work that gives way to work whose reservation was denied.
	Late bool
}

// TryReserve reserves for a request if the engine is within the limits of the request.
func (r *Reservations) TryReserve(now time.Time, in *ReservationRequest) bool {
	if in.Late && now.Sub(r.deniedAt) < lateYield {
		return false
	}
	full := in.MaxPrefillTokens >= 0 && r.PrefillTokens() > in.MaxPrefillTokens ||
		in.MaxKVTokens >= 0 && r.KVTokens()+in.KVTokens > in.MaxKVTokens
	if full {
		if !in.Late {
			r.deniedAt = now
		}
		return false
	}
	r.pending = append(r.pending, reservation{id: in.ID, at: now, promptTokens: in.PromptTokens, kvTokens: in.KVTokens})
	return true
}
