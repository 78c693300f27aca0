package decision

import (
	"cmp"
	"slices"
	"time"
)

// WaitingStream is a stream that waits in a WaitQueue.
type WaitingStream struct {
	// Priority is the priority; 0 is the most urgent.
	Priority  int
	ArrivedAt time.Time
	// LateAt is when the stream can no longer meet its objective.
	LateAt       time.Time
	PromptTokens int
	// OverShare marks work beyond the usual share of its workspace.
	OverShare bool

	position    int
	tokensAhead int
}

// WaitQueue orders the streams that wait in one process for an engine: first those that can
// meet their objective, then by priority and by age. It is not safe for concurrent use.
type WaitQueue struct {
	streams  []*WaitingStream
	sortedAt time.Time
}

// sortPeriod is the time between two sorts of a queue. It is shorter than the time between
// two searches of one stream, and long enough for the queue of 2000 streams to cost little.
const sortPeriod = 25 * time.Millisecond

// compareWaiting orders two waiting streams.
func compareWaiting(a, b *WaitingStream, now time.Time) int {
	class := func(s *WaitingStream) int {
		if s.OverShare || now.After(s.LateAt) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.Priority, b.Priority), a.ArrivedAt.Compare(b.ArrivedAt))
}

// Add adds a stream and determines its position.
func (q *WaitQueue) Add(s *WaitingStream, now time.Time) {
	s.position, s.tokensAhead = 0, 0
	for _, other := range q.streams {
		if compareWaiting(other, s, now) <= 0 {
			s.position++
			s.tokensAhead += other.PromptTokens
		}
	}
	q.streams = append(q.streams, s)
}

// Remove removes a stream.
func (q *WaitQueue) Remove(s *WaitingStream) {
	if i := slices.Index(q.streams, s); i >= 0 {
		q.streams = slices.Delete(q.streams, i, i+1)
	}
}

// Len returns the number of waiting streams.
func (q *WaitQueue) Len() int { return len(q.streams) }

// Position returns the number of streams ahead of s and the sum of their prompts, at most
// sortPeriod old.
func (q *WaitQueue) Position(s *WaitingStream, now time.Time) (position, tokensAhead int) {
	if now.Sub(q.sortedAt) >= sortPeriod {
		q.sortedAt = now
		slices.SortStableFunc(q.streams, func(a, b *WaitingStream) int { return compareWaiting(a, b, now) })
		tokens := 0
		for i, other := range q.streams {
			other.position, other.tokensAhead = i, tokens
			tokens += other.PromptTokens
		}
	}
	return s.position, s.tokensAhead
}
