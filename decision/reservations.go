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

// TryReserve reserves for a request if at most maxPrefillTokens are to be prefilled before
// it and the KV cache does not exceed maxKVTokens with it; a negative limit does not apply.
func (r *Reservations) TryReserve(now time.Time, id string, promptTokens, kvTokens, maxPrefillTokens, maxKVTokens int) bool {
	if maxPrefillTokens >= 0 && r.PrefillTokens() > maxPrefillTokens {
		return false
	}
	if maxKVTokens >= 0 && r.KVTokens()+kvTokens > maxKVTokens {
		return false
	}
	r.pending = append(r.pending, reservation{id: id, at: now, promptTokens: promptTokens, kvTokens: kvTokens})
	return true
}
