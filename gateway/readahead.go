package gateway

import (
	"bytes"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of the events that are read from targets while their clients read slowly.
const (
	// defaultStreamReadAhead holds the events of a long stream: 188 events of some 200 bytes.
	// defaultReadAhead is the limit of all streams together, a fourteenth of the memory of
	// the smallest gateway.
	defaultStreamReadAhead = 128 << 10
	defaultReadAhead       = 8 << 20
	// queuedEventBytes is the assumed memory of a queued event besides its content.
	queuedEventBytes = 128
	// slowWriteDelay is how long a write to a client may take before reading ahead begins.
	// Targets abort responses that are unread for some seconds; a shorter delay than this
	// one starts goroutines for clients that keep up on a busy machine.
	slowWriteDelay = 20 * time.Millisecond
	// slowWriteGrace is how long after the deadline of its request a client that reads slowly
	// may take the events that were read ahead.
	slowWriteGrace = 2 * time.Second
)

// readAhead passes on the events of one segment. As long as the client keeps up, it reads an
// event when the one before has been written, in the goroutine of the request. While a write
// blocks, another goroutine reads further events up to the limits. Once the client has
// received all of these, the goroutine of the request reads on.
type readAhead struct {
	reader *eventReader
	// closeTarget ends a read from the target.
	closeTarget func()
	// began is called, with the lock held, when reading ahead begins; full when a limit stops
	// it for the first time.
	began, full func()
	maxBytes    int64
	delay       time.Duration
	timer       *time.Timer
	// isActive is set from a write during which reading ahead has begun until the client has
	// received what was read. Only the goroutine of the request uses it.
	isActive bool

	mu      sync.Mutex
	changed sync.Cond
	// isWriting is set during a write to the client, isWaiting while the goroutine of the
	// request waits for an event, isReading while the other goroutine reads.
	isWriting, isWaiting, isReading, isStopped, wasFull bool

	queue []event
	// handed is an event that the reading goroutine has handed over without a copy when it
	// ended, err the error that ended the stream.
	handed *event
	err    error
	// size is the memory of the queue and of the event that was dequeued last, counted by
	// account. dequeued is the share of that event, whose copy lives until it has been
	// written. written counts the event that was being written when reading ahead began.
	size     int64
	dequeued int64
	account  *bufferlimit.Account
	written  *bufferlimit.Account
}

func newReadAhead(reader *eventReader, limit *bufferlimit.Limit, maxBytes int64) *readAhead {
	a := &readAhead{reader: reader, maxBytes: maxBytes, delay: slowWriteDelay, account: limit.NewAccount()}
	a.changed.L = &a.mu
	a.closeTarget, a.began, a.full = func() {}, func() {}, func() {}
	return a
}

// next returns the next event. Its raw bytes are valid until the next call.
func (a *readAhead) next() (event, error) {
	if a.isActive {
		if ev, err := a.dequeue(); ev != nil || err != nil {
			if err != nil {
				return event{}, err
			}
			return *ev, nil
		}
	}
	return a.reader.next()
}

// dequeue returns an event that was read ahead, or the error after the last one. It returns
// neither once the goroutine of the request reads by itself again.
func (a *readAhead) dequeue() (*event, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The event that was dequeued before has been written.
	a.resize(a.size - a.dequeued)
	a.dequeued = 0
	a.changed.Broadcast()
	for a.isReading && len(a.queue) == 0 {
		a.isWaiting = true
		a.changed.Broadcast()
		a.changed.Wait()
	}
	a.isWaiting = false
	if len(a.queue) > 0 {
		ev := a.queue[0]
		a.queue[0] = event{}
		if a.queue = a.queue[1:]; len(a.queue) == 0 {
			a.queue = nil
		}
		a.dequeued = eventMemory(&ev)
		return &ev, nil
	}
	if a.err != nil {
		return nil, a.err
	}
	ev := a.handed
	a.handed, a.isActive = nil, false
	return ev, nil
}

func eventMemory(ev *event) int64 { return int64(len(ev.raw)+len(ev.id)) + queuedEventBytes }

// resize sets the memory of the queue and the dequeued event, and reports false if it exceeds a limit.
func (a *readAhead) resize(size int64) bool {
	if size > a.maxBytes {
		return false
	}
	if err := a.account.Resize(size); err != nil && size > a.size {
		_ = a.account.Resize(a.size)
		return false
	}
	a.size = size
	return true
}

// hasMore reports whether a further event, or a part of it, has already been read.
func (a *readAhead) hasMore() bool {
	if !a.isActive {
		return a.reader.hasBuffered()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0
}

// mayEnd reports whether the segment may end after the last event for a planned switch:
// nothing more has been read, also not the end of the stream.
func (a *readAhead) mayEnd() bool {
	return !a.isActive && !a.reader.hasBuffered() && !a.reader.hasEnded()
}

// write calls a function that writes an event to the client. If the call takes long,
// reading ahead begins.
func (a *readAhead) write(f func() error) error {
	if a.isActive {
		return f()
	}
	a.mu.Lock()
	a.isWriting = true
	a.mu.Unlock()
	if a.timer == nil {
		a.timer = time.AfterFunc(a.delay, a.read)
	} else {
		a.timer.Reset(a.delay)
	}
	err := f()
	a.timer.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isWriting = false
	if a.written != nil {
		// Reading has begun, and may have ended again.
		a.written.Release()
		a.written = nil
		a.isActive = true
	}
	return err
}

// read reads ahead if the write during which its timer was set still blocks.
func (a *readAhead) read() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isWriting || a.isReading || a.isStopped || a.written != nil {
		return
	}
	a.isReading = true
	a.written = a.reader.detach()
	a.began()
	for a.isReading {
		a.mu.Unlock()
		ev, err := a.reader.next()
		a.mu.Lock()
		if err != nil {
			a.err, a.isReading = err, false
			break
		}
		a.enqueue(&ev)
	}
	a.changed.Broadcast()
}

// enqueue queues an event as soon as the limits allow it. It ends the reading if the client
// has received all before this event, which it then hands over.
func (a *readAhead) enqueue(ev *event) {
	for !a.isStopped {
		if a.isWaiting && len(a.queue) == 0 {
			a.handed, a.isReading = ev, false
			return
		}
		if a.resize(a.size + eventMemory(ev)) {
			ev.raw, ev.readAt = bytes.Clone(ev.raw), time.Now()
			a.queue = append(a.queue, *ev)
			a.changed.Broadcast()
			return
		}
		if !a.wasFull {
			a.wasFull = true
			a.full()
		}
		a.changed.Wait()
	}
	a.isReading = false
}

// stop ends the reading. Events that were not passed on are dropped.
func (a *readAhead) stop() {
	if a.timer == nil {
		return
	}
	a.timer.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStopped = true
	if a.isReading {
		a.closeTarget()
		a.changed.Broadcast()
	}
	for a.isReading {
		a.changed.Wait()
	}
	a.account.Release()
	a.queue = nil
}

// newReadAhead returns the events of a segment. The caller must call stop.
func (s *streamRequest) newReadAhead(at *attempt, seg *segment) *readAhead {
	a := newReadAhead(newEventReader(at.resp.Body, s.g.responseBuffer), s.g.readAhead, s.g.streamReadAhead)
	a.closeTarget = at.conn.Close
	events := s.deliveredEvents
	a.began = func() {
		s.limitSlowWrites()
		s.g.metrics.recordSlowReader(s.req.service.Name, "began")
		telemetry.Info(s.g.opts.Logger, "client reads slowly", "request", s.req.ID, "route", s.req.route.Name, "target", seg.target.ID,
			"events_before_segment", events, "read_ahead_bytes", s.g.readAhead.Used(), "remaining_ms", s.req.remaining(time.Now()).Milliseconds())
	}
	a.full = func() {
		s.g.metrics.recordSlowReader(s.req.service.Name, "full")
		telemetry.Info(s.g.opts.Logger, "reading ahead stopped", "request", s.req.ID, "target", seg.target.ID, "held", a.size, "limit", a.maxBytes,
			"read_ahead_bytes", s.g.readAhead.Used())
	}
	return a
}

// limitSlowWrites ends writes to the client some time after the deadline of the request, so
// that a client that doesn't read at all doesn't hold memory without end.
func (s *streamRequest) limitSlowWrites() {
	if err := s.controller.SetWriteDeadline(s.req.deadline.Add(slowWriteGrace)); err != nil {
		telemetry.Info(s.g.opts.Logger, "write deadline not set", "request", s.req.ID, "err", err)
		return
	}
	s.writesLimited.Store(true)
}

// unlimitWrites restores the connection of the client for its next request.
func (s *streamRequest) unlimitWrites() {
	if s.writesLimited.Load() {
		_ = s.controller.SetWriteDeadline(time.Time{})
	}
}
