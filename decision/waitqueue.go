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
	// noRoom is set if the last search of the stream found no target with room.
	noRoom bool
}

// WaitQueue orders the streams that wait in one process for an engine: first those that can
// meet their objective, then by priority and by age. Streams whose time is tight come after
// others of their priority: in the order of age alone, a long queue would serve each stream
// when its time is nearly up, and most of them too late. It is not safe for concurrent use.
type WaitQueue struct {
	streams  []*WaitingStream
	sortedAt time.Time
	// sorted is the number of streams that were sorted at sortedAt; the later ones have been
	// added since.
	sorted int
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
	if !s.noRoom {
		a.Ahead++
	}
	a.Tokens += s.PromptTokens
	if s.canBeOnTime(now) {
		a.OnTime++
	}
}

// Remove removes a stream.
func (q *WaitQueue) Remove(s *WaitingStream) {
	if i := slices.Index(q.streams, s); i >= 0 {
		q.streams = slices.Delete(q.streams, i, i+1)
		if i < q.sorted {
			q.sorted--
		}
	}
}

// SetNoRoom records whether a search of s found no target with room. Such a stream asks no
// sidecar, so it leaves its place among those that search to the streams behind it.
func (q *WaitQueue) SetNoRoom(s *WaitingStream, noRoom bool) { s.noRoom = noRoom }

// Ahead returns the work ahead of s if each of several processes has such a queue. The result
// is at most sortPeriod old.
func (q *WaitQueue) Ahead(s *WaitingStream, processes int, now time.Time) QueueAhead {
	q.sort(now)
	ahead := s.ahead
	ahead.Others = len(q.streams) - 1
	ahead.Processes = processes
	return ahead
}

func (q *WaitQueue) sort(now time.Time) {
	if now.Sub(q.sortedAt) < sortPeriod {
		return
	}
	q.sortedAt, q.sorted = now, len(q.streams)
	slices.SortStableFunc(q.streams, func(a, b *WaitingStream) int { return compareWaiting(a, b, now) })
	var ahead QueueAhead
	for _, other := range q.streams {
		other.ahead = ahead
		ahead.add(other, now)
	}
}

// TokensBefore returns the prompt tokens of the streams that come before s, which waits in
// another queue. The result is at most sortPeriod old.
func (q *WaitQueue) TokensBefore(s *WaitingStream, now time.Time) int {
	q.sort(now)
	n, _ := slices.BinarySearchFunc(q.streams[:q.sorted], s, func(other, s *WaitingStream) int { return compareWaiting(other, s, now) })
	if n == 0 {
		return 0
	}
	last := q.streams[n-1]
	return last.ahead.Tokens + last.PromptTokens
}

// SharedTargets are the numbers of targets of two queues that compete for some of them.
type SharedTargets struct{ Own, Other, Both int }

// AddCompeting adds the prompt tokens before the stream in another queue as far as they
// compete with it: the part that the targets of both queues serve. Streams whose queue has
// further targets use these instead, so the work ahead of them does not take longer than with
// these targets alone.
func (a *QueueAhead) AddCompeting(tokens int, n SharedTargets) {
	if n.Both == 0 || n.Other == 0 {
		return
	}
	competing := tokens * n.Both / n.Other
	if n.Own > n.Both {
		competing = min(competing, a.Tokens*n.Both/(n.Own-n.Both))
	}
	a.Tokens += competing
}
