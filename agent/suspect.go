package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// isolationTimeout bounds the time for which a suspect blocks other attempts,
// once while it waits for the engine to become idle and once while it runs.
const isolationTimeout = 2 * time.Second

// engineGate admits attempts to the engine. A suspect is an attempt with content
// that may have crashed an engine. At most one suspect runs at a time, and other
// attempts wait until it ends or isolationTimeout has passed. The gate also tracks
// crashes of the engine. It is safe for concurrent use.
type engineGate struct {
	mu sync.Mutex
	// running maps the IDs of the attempts at the engine to their fingerprints.
	running map[string]string
	// suspectID is the ID of the suspect attempt that waits or runs, or "".
	suspectID string
	// isolatedUntil is the time after which other attempts may run besides the
	// suspect.
	isolatedUntil time.Time
	// brokenSince is when the first stream broke since the engine last answered.
	// runningAtBreak holds the IDs of the attempts that ran at that time. Later
	// attempts did not reach a live engine, so they can't have crashed it.
	brokenSince    time.Time
	runningAtBreak map[string]bool
	// hasCrashed is set from a crash until the engine answers.
	hasCrashed bool
	crashes    int
	// changed is closed and replaced whenever waiting attempts must try again.
	changed chan struct{}
}

func newEngineGate() *engineGate {
	return &engineGate{running: map[string]string{}, runningAtBreak: map[string]bool{}, changed: make(chan struct{})}
}

// notifyLocked wakes all waiting attempts.
func (g *engineGate) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// acquire waits until the attempt may run at the engine. If acquire returns nil, the
// caller must release the attempt when it ends; if it returns an error, the attempt
// is released already.
func (g *engineGate) acquire(ctx context.Context, id, fingerprint string, isSuspect bool) error {
	for {
		g.mu.Lock()
		if g.hasCrashed {
			g.mu.Unlock()
			g.release(id)
			return newEngineDownError()
		}
		ready, wait := g.tryAdmit(id, isSuspect, time.Now())
		if ready {
			g.running[id] = fingerprint
		}
		changed := g.changed
		g.mu.Unlock()
		if ready {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			g.release(id)
			return ctx.Err()
		}
		timer.Stop()
	}
}

// tryAdmit reports whether the attempt may start now, and if not, the maximum wait
// before the next try. Callers hold the lock.
func (g *engineGate) tryAdmit(id string, isSuspect bool, now time.Time) (bool, time.Duration) {
	if !g.brokenSince.IsZero() {
		return false, isolationTimeout
	}
	if !isSuspect {
		return g.suspectID == "" || !now.Before(g.isolatedUntil), max(g.isolatedUntil.Sub(now), time.Millisecond)
	}
	if g.suspectID == "" {
		g.suspectID = id
		g.isolatedUntil = now.Add(isolationTimeout)
	}
	if g.suspectID != id {
		return false, isolationTimeout
	}
	if len(g.running) > 0 && now.Before(g.isolatedUntil) {
		return false, g.isolatedUntil.Sub(now)
	}
	g.isolatedUntil = now.Add(isolationTimeout)
	return true, 0
}

// release removes an ended or cancelled attempt from the gate.
func (g *engineGate) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, id)
	delete(g.runningAtBreak, id)
	if g.suspectID == id {
		g.suspectID = ""
	}
	g.notifyLocked()
}

// markStreamBroken marks that a stream of the engine broke. The gate admits no
// attempt until the engine answers, and refuses attempts after a crash.
func (g *engineGate) markStreamBroken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.brokenSince.IsZero() {
		return
	}
	g.brokenSince = time.Now()
	for id := range g.running {
		g.runningAtBreak[id] = true
	}
}

// markAnswered marks that the engine answered a probe that was sent at sentAt.
// Probes sent before the stream broke don't count.
func (g *engineGate) markAnswered(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.brokenSince.IsZero() || sentAt.Before(g.brokenSince) {
		return
	}
	g.brokenSince, g.hasCrashed = time.Time{}, false
	g.notifyLocked()
}

// recordCrash records the crash that ended the attempt. It returns the
// fingerprints of the attempts that ran at the engine when the stream broke and
// the number of the crash, or 0 if the crash is already recorded.
func (g *engineGate) recordCrash(id string) (fingerprints []string, number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.runningAtBreak[id] {
		return nil, 0
	}
	for attemptID, fingerprint := range g.running {
		if g.runningAtBreak[attemptID] {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	g.runningAtBreak, g.hasCrashed = map[string]bool{}, true
	if g.brokenSince.IsZero() {
		g.brokenSince = time.Now()
	}
	g.crashes++
	g.notifyLocked()
	return fingerprints, g.crashes
}

// newEngineDownError returns the refusal of an attempt after a crash.
func newEngineDownError() *result.Error {
	return result.New(result.NoTarget, result.RanNo, "the engine does not answer").RetryAfter(time.Second)
}

// newQuarantinedError returns the refusal of quarantined content.
func newQuarantinedError() *result.Error {
	return result.New(result.Quarantined, result.RanNo, "this content stopped several targets")
}

// runAtEngine runs an attempt at the engine, isolated if its content is suspect. If
// the engine crashes, runAtEngine marks the content of the attempts that were running
// as suspect.
func (a *Agent) runAtEngine(ctx context.Context, g *generation, attempt *peer.Attempt) error {
	fingerprint := attempt.Fingerprint
	isSuspect := a.quarantine.Status(fingerprint, time.Now()) != quarantine.Clear
	if err := a.gate.acquire(ctx, attempt.ID, fingerprint, isSuspect); err != nil {
		return err
	}
	defer a.gate.release(attempt.ID)
	if a.quarantine.Status(fingerprint, time.Now()) == quarantine.Quarantined {
		return newQuarantinedError()
	}
	err := a.generate(ctx, g, attempt)
	if err == nil {
		a.quarantine.Enqueue(a.quarantine.ClearSuspect(fingerprint, time.Now()))
		return nil
	}
	if a.hasEngineCrashed(ctx, err) {
		a.markCrashSuspects(attempt)
	}
	return err
}

// hasEngineCrashed reports whether a generation failed because the engine crashed:
// the engine does not answer, or a restarted engine does not know the generation.
func (a *Agent) hasEngineCrashed(ctx context.Context, err error) bool {
	var refused *target.RefusedError
	switch {
	case ctx.Err() != nil, errors.As(err, &refused), errors.Is(err, errSkippedToken):
		return false
	case errors.Is(err, target.ErrUnknownCompletion):
		return true
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err = a.engine.Models(probeCtx)
	return err != nil
}

// markCrashSuspects records a crash of the engine and marks the content of the
// attempts that the engine was running as suspect.
func (a *Agent) markCrashSuspects(attempt *peer.Attempt) {
	fingerprints, number := a.gate.recordCrash(attempt.ID)
	if number == 0 {
		return
	}
	crashID := a.opts.VM + "/" + a.incarnation + "/" + strconv.Itoa(number)
	marks := a.quarantine.RecordCrash(crashID, fingerprints, time.Now())
	a.quarantine.Enqueue(marks)
	telemetry.Warn(a.opts.Logger, "engine crashed", "death", crashID, "running", len(fingerprints), "blamed", len(marks))
	// An empty command makes the control goroutine publish a state with the marks,
	// which the next heartbeat sends.
	a.control.do(func(*state) {})
}
