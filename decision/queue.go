package decision

import (
	"time"
)

// Item is a request at an agent, waiting or admitted.
type Item struct {
	ID        string
	Workspace string
	Service   string
	Priority  int
	Weight    int
	Short     bool
	// PromptTokens is the estimate of the prompt, MaxTokens the bound of the
	// output.
	PromptTokens int
	MaxTokens    int
	Arrived      time.Time
	// Deadline is when the wait ends in a refusal.
	Deadline time.Time
}

// QueueLimits bound a target's work.
type QueueLimits struct {
	// Slots is the number of requests in progress.
	Slots int
	// Length is the number of requests waiting.
	Length int
}

// Verdict is the answer to an offered item.
type Verdict struct {
	Accepted bool
	// Reason is a stable word: "queued", "full".
	Reason string
	// RetryAfter is the suggested delay after a refusal.
	RetryAfter time.Duration
}

// Queue orders and admits the work of one target. Lower priority numbers go
// first, then earlier arrivals.
type Queue struct {
	limits  QueueLimits
	waiting []*Item
	running map[string]*Item
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, running: map[string]*Item{}}
}

// Offer adds an item to the queue or refuses it.
func (q *Queue) Offer(it *Item, _ time.Time) Verdict {
	if len(q.waiting) >= q.limits.Length {
		return Verdict{Reason: "full", RetryAfter: time.Second}
	}
	at := len(q.waiting)
	for at > 0 && it.Priority < q.waiting[at-1].Priority {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = it
	return Verdict{Accepted: true, Reason: "queued"}
}

// Admit moves what may start now from the queue to the running set.
func (q *Queue) Admit(_ time.Time) []*Item {
	var out []*Item
	for len(q.waiting) > 0 && len(q.running) < q.limits.Slots {
		it := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[it.ID] = it
		out = append(out, it)
	}
	return out
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var out []*Item
	kept := q.waiting[:0]
	for _, it := range q.waiting {
		if now.After(it.Deadline) {
			out = append(out, it)
			continue
		}
		kept = append(kept, it)
	}
	q.waiting = kept
	return out
}

// Remove takes an item out, waiting or running. It reports whether the item
// was running.
func (q *Queue) Remove(id string) (running bool) {
	if _, ok := q.running[id]; ok {
		delete(q.running, id)
		return true
	}
	for i, it := range q.waiting {
		if it.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return false
}

// Running returns the number of admitted items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the concurrency that is allowed now.
func (q *Queue) Slots() int { return q.limits.Slots }
