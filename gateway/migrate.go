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

// MigrationRequest asks an engine to copy the KV cache of a running request to
// another engine. The request continues during the copy, unless Stop is set.
type MigrationRequest struct {
	RequestID string
	// DestinationAddr is the address of the engine that receives the copy.
	DestinationAddr string
	// Stop ends the request at the source engine before the copy. The source keeps the
	// KV cache, also if the copy fails.
	Stop bool
}

// MigrationResult describes a complete copy.
type MigrationResult struct {
	// Handle is the name under which the source engine knows the copy. An engine that
	// has stopped the request names it also if the copy failed.
	Handle string
	// Events is the number of events generated so far.
	Events int
	// Notice is what the source engine states about itself, also if the copy failed.
	Notice TargetNotice
}

// Errors of a migration.
var (
	ErrUnknownRequest      = errors.New("the request is not running on this engine")
	ErrNoHeadroom          = errors.New("the destination has too little free KV cache")
	ErrMigrationInProgress = errors.New("a migration of the request is in progress")
	errNoDestination       = errors.New("no target has enough free KV cache")
)

// Migrator copies the KV cache of running requests between engines.
type Migrator interface {
	Migrate(ctx context.Context, addr string, m MigrationRequest) (MigrationResult, error)
	// Free deletes a copy; addr is the address of its source engine.
	Free(ctx context.Context, addr, handle string) (TargetNotice, error)
}

// Timing of migrations.
const (
	// minBackupAge is the time after the start of a segment at which its backup
	// counts as complete. Prefill and the copy take that long.
	minBackupAge = 2500 * time.Millisecond
	// migrationRetryDelay is the time between attempts to copy a KV cache.
	migrationRetryDelay = 150 * time.Millisecond
	// migrationTimeout limits the call that copies a KV cache. It leaves time for
	// several copies that queue for the same link.
	migrationTimeout = 3 * time.Second
	// preparedConnTTL is how long a connection that was opened for a switch may
	// be used.
	preparedConnTTL = 3 * time.Second
	// defaultDrainNotice is the time assumed between an engine's drain notice
	// and its stop if the engine does not state it. Engines run for at least
	// three seconds after the notice.
	defaultDrainNotice = 2800 * time.Millisecond
	// switchMargin is the minimum time between a planned switch to the backup
	// and the time at which the engine stops.
	switchMargin = 350 * time.Millisecond
	// copyTTL is how long after its completion a copy may be used. Engines keep
	// copies for longer.
	copyTTL = 4 * time.Second
	// copyRenewalAge is the age at which a copy that has not been used is renewed.
	copyRenewalAge = 3 * time.Second
)

// kvCopy is a complete copy of a request's KV cache that a migration made.
type kvCopy struct {
	target      *registry.Target
	handle      string
	completedAt time.Time
}

// segmentMigration migrates the request of a segment when the segment's target
// leaves. It switches to the backup if that is reliable. Otherwise it copies
// the KV cache to another target: if there is no backup, if the backup's target
// leaves too, or if the backup may still be incomplete.
type segmentMigration struct {
	stream  *streamRequest
	segment *segment
	copy    atomic.Pointer[kvCopy]
	// copyUsed is set once the request may be resumed from the copy.
	copyUsed atomic.Bool
	// switchRequested is set once the stream should continue at the target that
	// holds the backup or the copy.
	switchRequested atomic.Bool
}

// run waits until the target leaves. It then requests a switch to the backup
// after switchDelay or, without a reliable backup, to a copy of the KV cache once
// the copy is complete. The stream switches after its next event: the pause that
// this causes between events is shorter than the pause when the target stops. A
// stream may have to put the switch off, so the copy is renewed before it expires.
// run returns when ctx ends at the latest.
func (m *segmentMigration) run(ctx context.Context) {
	select {
	case <-m.segment.target.Load.Leaving():
	case <-ctx.Done():
		return
	}
	leavingSince := time.Now()
	if m.hasReliableBackup() {
		m.prepareConn(ctx, m.segment.backup)
		if m.waitForSwitch(ctx, m.switchDelay(leavingSince)) {
			m.switchRequested.Store(true)
			m.awaitBackupLoss(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		telemetry.Info(m.stream.g.opts.Logger, "backup unavailable", "request", m.stream.req.ID, "target", m.segment.target.ID, "backup", m.segment.backup.ID)
	}
	defer m.freeUnusedCopy()
	for ctx.Err() == nil {
		wait := migrationRetryDelay
		if m.copyKVCache(ctx) == nil {
			m.prepareConn(ctx, m.copy.Load().target)
			m.switchRequested.Store(true)
			wait = copyRenewalAge
		}
		sleep(ctx, wait)
	}
}

// prepareConn opens a connection to the target at which the request will
// continue.
func (m *segmentMigration) prepareConn(ctx context.Context, t *registry.Target) {
	conn, err := m.stream.g.connPool.DialNew(ctx, t.Addr)
	if err != nil {
		telemetry.Info(m.stream.g.opts.Logger, "preparing a connection failed", "request", m.stream.req.ID, "target", t.ID, "err", err)
		return
	}
	m.stream.g.connPool.Put(conn, preparedConnTTL)
}

// switchDelay returns the time until a request with a backup switches to it. The
// switch is planned for a random moment before the target stops, so that not
// all requests switch at once.
func (m *segmentMigration) switchDelay(leavingSince time.Time) time.Duration {
	stopsAt := m.segment.target.Load.LeavesAt()
	if stopsAt.IsZero() {
		stopsAt = leavingSince.Add(defaultDrainNotice)
	}
	earliest, latest := time.Until(stopsAt)/2, time.Until(stopsAt)-switchMargin
	if latest <= earliest {
		return max(latest, 0)
	}
	return earliest + time.Duration(rand.Float64()*float64(latest-earliest))
}

// waitForSwitch waits for d and reports whether the backup can be used after
// it. It returns false early if the target that holds the backup leaves too or
// ctx ends.
func (m *segmentMigration) waitForSwitch(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return m.hasReliableBackup()
	case <-m.segment.backup.Load.Leaving():
		return false
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hasReliableBackup reports whether the segment has a backup that is old enough
// to be complete and whose target is eligible and not leaving.
func (m *segmentMigration) hasReliableBackup() bool {
	backup := m.segment.backup
	if backup == nil || backup.Load.IsLeaving() || time.Since(m.segment.startedAt) <= minBackupAge {
		return false
	}
	eligible := m.stream.g.eligibility(m.stream.req)
	return eligible.allows(backup)
}

// awaitBackupLoss waits until the stream has switched, which ends ctx, or its backup can no
// longer be used.
func (m *segmentMigration) awaitBackupLoss(ctx context.Context) {
	for sleep(ctx, migrationRetryDelay) && m.hasReliableBackup() {
	}
}

// copyKVCache copies the KV cache of the request to a target with enough
// headroom.
func (m *segmentMigration) copyKVCache(ctx context.Context) error {
	source := m.segment.target
	if !source.Load.HeldUntil(time.Now()).IsZero() {
		return errTargetHeld
	}
	destination := m.stream.g.chooseMigrationTarget(m.stream.req, source)
	if destination == nil {
		return errNoDestination
	}
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	startedAt := time.Now()
	destination.Load.RecordDispatch(registry.Dispatch{At: startedAt, KVTokens: m.stream.req.placementWork().KVTokens})
	migrated, err := m.stream.g.opts.Migrator.Migrate(ctx, source.Addr, MigrationRequest{RequestID: m.stream.req.ID, DestinationAddr: destination.Addr})
	m.stream.g.applyNotice(source, migrated.Notice, startedAt, m.stream.req.service)
	telemetry.Info(m.stream.g.opts.Logger, "copy", "request", m.stream.req.ID, "from", source.ID, "to", destination.ID, "err", err,
		"events", migrated.Events, "took_ms", time.Since(startedAt).Milliseconds())
	if err != nil {
		return err
	}
	m.copy.Store(&kvCopy{target: destination, handle: migrated.Handle, completedAt: time.Now()})
	return nil
}

// freeUnusedCopy deletes the copy if the request ended without using it.
func (m *segmentMigration) freeUnusedCopy() {
	c := m.copy.Load()
	if c == nil || m.copyUsed.Load() {
		return
	}
	m.stream.freeCopy(m.segment.target, c.handle)
}

// freeCopy deletes a copy of the request's KV cache that the source engine has made.
func (s *streamRequest) freeCopy(source *registry.Target, handle string) {
	// The engine deletes an unused copy itself after some time.
	if !source.Load.HeldUntil(time.Now()).IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), migrationTimeout)
	defer cancel()
	sentAt := time.Now()
	notice, err := s.g.opts.Migrator.Free(ctx, source.Addr, handle)
	s.g.applyNotice(source, notice, sentAt, s.req.service)
	if err != nil {
		telemetry.Info(s.g.opts.Logger, "freeing a KV cache copy failed", "request", s.req.ID, "at", source.ID, "err", err)
	}
}

// startMigration starts a goroutine that migrates the request if the segment's
// target leaves. It does nothing if the request cannot be migrated. The caller
// must call stop.
func (s *streamRequest) startMigration(ctx context.Context, seg *segment) (stop func()) {
	seg.startedAt = time.Now()
	e := s.req.service.Engine
	if e == nil || !e.CanMigrate || s.g.opts.Migrator == nil || s.req.expectedOutputTokens() < minBackupOutputTokens {
		return func() {}
	}
	seg.migration = &segmentMigration{stream: s, segment: seg}
	ctx, cancel := context.WithCancel(ctx)
	go seg.migration.run(ctx)
	return cancel
}

// failoverSegments returns the segments that can continue the stream after the
// given segment, best first. A copy that a migration made precedes the backup.
func (s *streamRequest) failoverSegments(seg *segment) []*segment {
	var segments []*segment
	eligible := s.g.eligibility(s.req)
	add := func(t *registry.Target, holderAddr, handle string) {
		segments = append(segments, &segment{target: t, resume: &Resume{HolderAddr: holderAddr, Handle: handle, LastEventID: s.lastEventID}})
	}
	// Before the segment's first event, nothing shows that its backup contains any KV
	// cache of the request. A target without it might start the request anew.
	if seg.backup != nil && !seg.firstEventAt.IsZero() && !seg.backup.Load.IsLeaving() && eligible.allows(seg.backup) {
		add(seg.backup, seg.backup.Addr, s.req.ID)
	}
	if seg.migration == nil {
		return segments
	}
	if c := seg.migration.copy.Load(); c != nil && !c.target.Load.IsLeaving() && time.Since(c.completedAt) < copyTTL && eligible.allows(c.target) {
		seg.migration.copyUsed.Store(true)
		add(c.target, seg.target.Addr, c.handle)
		if len(segments) == 2 {
			segments[0], segments[1] = segments[1], segments[0]
		}
	}
	return segments
}
