package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Move asks an engine to copy the memory of a run to another one. The run goes
// on meanwhile.
type Move struct {
	Request string
	// Target is the address of the engine that gets the copy.
	Target string
}

// Moved is a copy that is complete.
type Moved struct {
	// Handle names the copy at the source.
	Handle string
	// Events is the number of events made so far.
	Events int
}

// Failures of a move.
var (
	ErrNoRun   = errors.New("no such run")
	ErrNoRoom  = errors.New("no room at the destination")
	ErrMoving  = errors.New("a move is in progress")
	errNoPlace = errors.New("no target has room")
)

// Mover copies runs between engines.
type Mover interface {
	Move(ctx context.Context, addr string, m Move) (Moved, error)
	// Free drops a copy, at the source's address.
	Free(ctx context.Context, addr, handle string) error
}

// Times of copies on order.
const (
	// youngRun is the age below which a run's backup may be incomplete: reading
	// its prompt and copying it.
	youngRun = 2500 * time.Millisecond
	// copyPeriod is the time between attempts to copy a run.
	copyPeriod = 150 * time.Millisecond
	// copyLimit bounds one copy: several runs may queue for a link.
	copyLimit = 3 * time.Second
	// preparedLife is how long a prepared connection may wait.
	preparedLife = 3 * time.Second
	// assumedNotice is the time between an engine's notice and its end where it
	// does not say; it serves for three seconds at least.
	assumedNotice = 2800 * time.Millisecond
	// switchMargin is left between a planned switch and the engine's end.
	switchMargin = 350 * time.Millisecond
	// copyLife is how long a copy is relied on; engines keep it for longer.
	copyLife = 4 * time.Second
)

// copied is a copy on order that is complete.
type copied struct {
	target *registry.Target
	handle string
	at     time.Time
}

// guard copies a run whose target leaves, if it has no reliable backup: since
// there is none, since its holder leaves, or since the run is young.
type guard struct {
	s    *run
	leg  *leg
	copy atomic.Pointer[copied]
	// used is set once the run may go on from the copy.
	used atomic.Bool
	// switching is set once the stream should go on at the copy's holder.
	switching atomic.Bool
}

// run works until ctx ends. Once the run's target leaves and a copy of its
// memory is at hand, the stream is told to go on there after its next event:
// that pause is shorter than the one at the target's end.
func (g *guard) run(ctx context.Context) {
	select {
	case <-g.leg.target.Account.Leaving():
	case <-ctx.Done():
		return
	}
	left := time.Now()
	if g.protected() {
		g.prepare(ctx, g.leg.backup)
		if g.holds(ctx, g.switchDelay(left)) {
			g.switching.Store(true)
			return
		}
		if ctx.Err() != nil {
			return
		}
		telemetry.Info(g.s.g.o.Logger, "backup lost", "request", g.s.req.ID, "target", g.leg.target.ID, "backup", g.leg.backup.ID)
	}
	for g.copyRun(ctx) != nil {
		if !pause(ctx, copyPeriod) {
			return
		}
	}
	defer g.free()
	g.prepare(ctx, g.copy.Load().target)
	g.switching.Store(true)
	<-ctx.Done()
}

// prepare opens a connection to the target that the run will go on at.
func (g *guard) prepare(ctx context.Context, t *registry.Target) {
	conn, err := g.s.g.pool.Fresh(ctx, t.Addr)
	if err != nil {
		telemetry.Info(g.s.g.o.Logger, "connection not prepared", "request", g.s.req.ID, "target", t.ID, "err", err)
		return
	}
	g.s.g.pool.Put(conn, preparedLife)
}

// switchDelay returns when a run with a backup leaves its target: at a random
// time before the target's end, so that not all move at once.
func (g *guard) switchDelay(left time.Time) time.Duration {
	end := g.leg.target.Account.LeavesAt()
	if end.IsZero() {
		end = left.Add(assumedNotice)
	}
	earliest, latest := time.Until(end)/2, time.Until(end)-switchMargin
	if latest <= earliest {
		return max(latest, 0)
	}
	return earliest + time.Duration(rand.Float64()*float64(latest-earliest))
}

// holds waits and reports whether the backup can be relied on all the while: its
// holder may leave together with the run's target.
func (g *guard) holds(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return g.protected()
	case <-g.leg.backup.Account.Leaving():
		return false
	case <-ctx.Done():
		return false
	}
}

// pause waits and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// protected reports whether the run's backup can be relied on.
func (g *guard) protected() bool {
	b := g.leg.backup
	return b != nil && !b.Account.Left() && time.Since(g.leg.began) > youngRun
}

// copyRun copies the run to a target with room.
func (g *guard) copyRun(ctx context.Context) error {
	to := g.s.g.placeCopy(g.s.req, g.leg.target)
	if to == nil {
		return errNoPlace
	}
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	began := time.Now()
	to.Account.Send(registry.Sent{At: began, MemoryTokens: g.s.req.work().MemoryTokens})
	moved, err := g.s.g.o.Mover.Move(ctx, g.leg.target.Addr, Move{Request: g.s.req.ID, Target: to.Addr})
	telemetry.Info(g.s.g.o.Logger, "copy", "request", g.s.req.ID, "from", g.leg.target.ID, "to", to.ID, "err", err,
		"events", moved.Events, "took_ms", time.Since(began).Milliseconds())
	if err != nil {
		return err
	}
	g.copy.Store(&copied{target: to, handle: moved.Handle, at: time.Now()})
	return nil
}

// free drops the copy of a run that has ended.
func (g *guard) free() {
	c := g.copy.Load()
	if c == nil || g.used.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyLimit)
	defer cancel()
	if err := g.s.g.o.Mover.Free(ctx, g.leg.target.Addr, c.handle); err != nil {
		telemetry.Info(g.s.g.o.Logger, "copy not freed", "request", g.s.req.ID, "at", g.leg.target.ID, "err", err)
	}
}

// startGuard watches over a leg whose run can be copied, until stop is called.
func (s *run) startGuard(ctx context.Context, l *leg) (stop func()) {
	l.began = time.Now()
	e := s.req.service.Engine
	if e == nil || !e.Moves || s.g.o.Mover == nil || s.req.expectedOutput() < backupOutput {
		return func() {}
	}
	l.guard = &guard{s: s, leg: l}
	ctx, cancel := context.WithCancel(ctx)
	go l.guard.run(ctx)
	return cancel
}

// continuations returns the legs that may go on after a broken one, the best
// first.
func (s *run) continuations(l *leg) []*leg {
	var legs []*leg
	add := func(t *registry.Target, holder, handle string) {
		legs = append(legs, &leg{target: t, resume: &Resume{Holder: holder, Handle: handle, LastEventID: s.lastID}})
	}
	// Before the first event nothing shows that the backup holds any memory of
	// the run; a faulty holder would start it anew.
	if l.backup != nil && s.events > 0 && !l.backup.Account.Left() {
		add(l.backup, l.backup.Addr, s.req.ID)
	}
	if l.guard == nil {
		return legs
	}
	if c := l.guard.copy.Load(); c != nil && !c.target.Account.Left() && time.Since(c.at) < copyLife {
		l.guard.used.Store(true)
		add(c.target, l.target.Addr, c.handle)
		if len(legs) == 2 {
			legs[0], legs[1] = legs[1], legs[0]
		}
	}
	return legs
}
