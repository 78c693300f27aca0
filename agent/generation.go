package agent

import (
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// generation buffers the tokens of one generation from its start until its
// last listener has everything. It is safe for concurrent use; the runner
// appends, listeners read at their own pace.
type generation struct {
	id        string
	attempt   string
	workspace string
	gaps      *gapMeter

	mu        sync.Mutex
	admitted  bool
	tokens    []string
	last      time.Time
	end       *peer.End
	err       *result.Error
	delivered bool
	listeners map[chan struct{}]struct{}
	// abandoned is signalled when the last listener leaves.
	abandoned chan struct{}
	// joined is signalled when a listener arrives.
	joined chan struct{}
}

func newGeneration(a *peer.Attempt, gaps *gapMeter) *generation {
	return &generation{
		id:        a.Generation,
		attempt:   a.ID,
		workspace: a.Workspace,
		gaps:      gaps,
		listeners: map[chan struct{}]struct{}{},
		abandoned: make(chan struct{}, 1),
		joined:    make(chan struct{}, 1),
	}
}

// listen registers a listener. The channel is signalled at every change.
func (g *generation) listen() chan struct{} {
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[ch] = struct{}{}
	signal(g.joined)
	return ch
}

func (g *generation) leave(ch chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.listeners, ch)
	if len(g.listeners) == 0 {
		signal(g.abandoned)
	}
}

func (g *generation) heard() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.listeners) > 0
}

// signal does not block: one pending signal stands for any number.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (g *generation) notify() {
	for ch := range g.listeners {
		signal(ch)
	}
}

// admit marks the generation as given to the engine.
func (g *generation) admit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitted = true
	g.notify()
}

// add appends the token at an offset. Tokens that are already held are
// dropped; a gap reports false.
func (g *generation) add(offset int, text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if offset > len(g.tokens) {
		return false
	}
	if offset == len(g.tokens) && !g.endedLocked() {
		g.tokens = append(g.tokens, text)
		g.measureLocked(time.Now())
		g.notify()
	}
	return true
}

// measureLocked records the time since the token before.
func (g *generation) measureLocked(now time.Time) {
	if !g.last.IsZero() {
		g.gaps.add(now.Sub(g.last))
	}
	g.last = now
}

// progress returns the number of tokens and whether they are all.
func (g *generation) progress() (n int, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens), g.end != nil
}

// markDelivered notes that a listener was sent the end.
func (g *generation) markDelivered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivered = true
}

func (g *generation) wasDelivered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delivered
}

func (g *generation) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

func (g *generation) endedLocked() bool { return g.end != nil || g.err != nil }

func (g *generation) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endedLocked()
}

// finish closes the generation; only the first end counts.
func (g *generation) finish(end *peer.End, err *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedLocked() {
		return
	}
	g.end = end
	g.err = err
	g.notify()
}

// read returns the next frame from an offset on, and whether it is the last.
// An empty frame means that there is nothing new.
func (g *generation) read(from int) (frame peer.Frame, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame.Generation = g.id
	frame.Offset = from
	frame.Admitted = g.admitted
	if from < len(g.tokens) {
		// The slice is shared: tokens are appended, never changed.
		frame.Tokens = g.tokens[from:len(g.tokens):len(g.tokens)]
	}
	frame.End = g.end
	frame.Error = g.err
	return frame, g.endedLocked()
}
