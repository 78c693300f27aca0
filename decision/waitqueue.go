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
	// TightAt is when the stream can meet its objective only at an idle engine, LateAt when
	// it cannot meet it at all.
	TightAt      time.Time
	LateAt       time.Time
	PromptTokens int
	// OverShare marks work beyond the usual share of its workspace.
	OverShare bool

	ahead QueueAhead
}

// WaitQueue orders the streams that wait in one process for an engine: first those that can
// meet their objective, then by priority and by age. Streams whose time is tight come after
// others of their priority: in the order of age alone, a long queue would serve each stream
// when its time is nearly up, and most of them too late. It is not safe for concurrent use.
type WaitQueue struct {
	streams  []*WaitingStream
	sortedAt time.Time
}

// sortPeriod is the time between two sorts of a queue. It is shorter than the time between
// two searches of one stream, and long enough for the queue of 2000 streams to cost little.
const sortPeriod = 25 * time.Millisecond

// canBeOnTime reports whether a stream has a claim to be on time.
func (s *WaitingStream) canBeOnTime(now time.Time) bool {
	return !s.OverShare && !now.After(s.LateAt)
}

// compareWaiting orders two waiting streams.
func compareWaiting(a, b *WaitingStream, now time.Time) int {
	if onTime := a.canBeOnTime(now); onTime != b.canBeOnTime(now) {
		if onTime {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	if tight := now.After(a.TightAt); tight != now.After(b.TightAt) {
		if tight {
			return 1
		}
		return -1
	}
	return a.ArrivedAt.Compare(b.ArrivedAt)
}

// Add adds a stream and determines its position.
func (q *WaitQueue) Add(s *WaitingStream, now time.Time) {
	s.ahead = QueueAhead{}
	for _, other := range q.streams {
		if compareWaiting(other, s, now) <= 0 {
			s.ahead.add(other, now)
		}
	}
	q.streams = append(q.streams, s)
}

func (a *QueueAhead) add(s *WaitingStream, now time.Time) {
	a.Ahead++
	a.Tokens += s.PromptTokens
	if s.canBeOnTime(now) {
		a.OnTime++
	}
}

// Remove removes a stream.
func (q *WaitQueue) Remove(s *WaitingStream) {
	if i := slices.Index(q.streams, s); i >= 0 {
		q.streams = slices.Delete(q.streams, i, i+1)
	}
}

// Ahead returns the work ahead of s if each of several processes has such a queue. The result
// is at most sortPeriod old.
func (q *WaitQueue) Ahead(s *WaitingStream, processes int, now time.Time) QueueAhead {
	if now.Sub(q.sortedAt) >= sortPeriod {
		q.sortedAt = now
		slices.SortStableFunc(q.streams, func(a, b *WaitingStream) int { return compareWaiting(a, b, now) })
		var ahead QueueAhead
		for _, other := range q.streams {
			other.ahead = ahead
			ahead.add(other, now)
		}
	}
	ahead := s.ahead
	ahead.Others = len(q.streams) - 1
	ahead.Processes = processes
	return ahead
}
