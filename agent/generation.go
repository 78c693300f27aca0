package agent

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// generation buffers the tokens of one generation from its start until it is
// removed from the table after its end. It is safe for concurrent use: one
// goroutine appends tokens, and listeners read them independently of each other.
type generation struct {
	id           string
	attemptID    string
	workspace    string
	tokenLatency *tokenLatencyMeter

	mu          sync.Mutex
	admitted    bool
	tokens      []string
	lastTokenAt time.Time
	end         *peer.End
	err         *result.Error
	delivered   bool
	listeners   map[chan struct{}]struct{}
	// abandoned is signalled when the last listener is removed.
	abandoned chan struct{}
	// joined is signalled when a listener is added.
	joined chan struct{}
	// stopRun ends the run at the engine, nil before it starts; stopAsked is set once that was
	// requested. runEnded is closed when the run has ended; stopped then states whether the
	// engine does not run the generation any more.
	stopRun   context.CancelFunc
	stopAsked bool
	runEnded  chan struct{}
	stopped   bool
}

func newGeneration(attempt *peer.Attempt, tokenLatency *tokenLatencyMeter) *generation {
	return &generation{
		id:           attempt.Generation,
		attemptID:    attempt.ID,
		workspace:    attempt.Workspace,
		tokenLatency: tokenLatency,
		listeners:    map[chan struct{}]struct{}{},
		abandoned:    make(chan struct{}, 1),
		joined:       make(chan struct{}, 1),
		runEnded:     make(chan struct{}),
	}
}

// beginRun records the start of the run; stop ends it.
func (g *generation) beginRun(stop context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopRun = stop
	if g.stopAsked {
		stop()
	}
}

// endRun records the end of the run.
func (g *generation) endRun(stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = stopped
	close(g.runEnded)
}

// askStop ends the run, also if it has not begun.
func (g *generation) askStop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAsked = true
	if g.stopRun != nil {
		g.stopRun()
	}
}

// awaitStop waits until the run has ended or ctx ends. It reports whether the engine does not
// run the generation any more.
func (g *generation) awaitStop(ctx context.Context) bool {
	select {
	case <-g.runEnded:
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.stopped
	case <-ctx.Done():
		return false
	}
}

// addListener registers a listener and returns its channel, which is signalled at
// once and at every change.
func (g *generation) addListener() chan struct{} {
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[ch] = struct{}{}
	signal(g.joined)
	return ch
}

func (g *generation) removeListener(ch chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.listeners, ch)
	if len(g.listeners) == 0 {
		signal(g.abandoned)
	}
}

func (g *generation) hasListeners() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.listeners) > 0
}

// signal sends to a channel with a buffer of one without blocking. One pending
// signal represents any number of signals.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (g *generation) notifyLocked() {
	for ch := range g.listeners {
		signal(ch)
	}
}

// admit marks the generation as admitted to the engine.
func (g *generation) admit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitted = true
	g.notifyLocked()
}

// add appends the token at an offset. It ignores a token that it already holds or
// that arrives after the end.
// It returns false if tokens before the offset are missing.
func (g *generation) add(offset int, text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if offset > len(g.tokens) {
		return false
	}
	if offset == len(g.tokens) && !g.hasEndedLocked() {
		g.tokens = append(g.tokens, text)
		g.recordLatencyLocked(time.Now())
		g.notifyLocked()
	}
	return true
}

// recordLatencyLocked records the time since the previous token.
func (g *generation) recordLatencyLocked(now time.Time) {
	if !g.lastTokenAt.IsZero() {
		g.tokenLatency.add(now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
}

// progress returns the number of tokens and whether the output is complete.
func (g *generation) progress() (n int, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens), g.end != nil
}

// markDelivered marks that a listener received the end of the generation.
func (g *generation) markDelivered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivered = true
}

func (g *generation) isDelivered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delivered
}

func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

func (g *generation) hasEndedLocked() bool { return g.end != nil || g.err != nil }

func (g *generation) hasEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasEndedLocked()
}

// finish ends the generation with an end or an error. Calls after the first have
// no effect.
func (g *generation) finish(end *peer.End, err *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasEndedLocked() {
		return
	}
	g.end = end
	g.err = err
	g.notifyLocked()
}

// nextFrame returns a frame with all tokens from an offset, and whether the
// frame is the last one. A frame without tokens, end or error means that no
// more tokens have arrived.
func (g *generation) nextFrame(offset int) (frame peer.Frame, isLast bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame.Generation = g.id
	frame.Offset = offset
	frame.Admitted = g.admitted
	if offset < len(g.tokens) {
		// The frame shares the array: tokens are appended, never changed.
		frame.Tokens = g.tokens[offset:len(g.tokens):len(g.tokens)]
	}
	frame.End = g.end
	frame.Error = g.err
	return frame, g.hasEndedLocked()
}
