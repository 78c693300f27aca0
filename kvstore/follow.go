package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted ends a watch whose start revision is no longer in the store's
// history. The caller must list the keys again.
var ErrCompacted = errors.New("store: history compacted")

// ErrBacklog ends a watch whose changes exceed the size limit of a response. The
// current state is smaller; the caller must list the keys.
var ErrBacklog = errors.New("store: backlog of changes exceeds the size limit")

// ErrMissedChanges ends a watch that does not return changes that a read has shown.
var ErrMissedChanges = errors.New("store: the watch misses changes")

// MustList reports whether err ended a watch that can't be continued before the keys
// are listed again.
func MustList(err error) bool {
	return errors.IsAny(err, ErrCompacted, ErrBacklog, ErrRestored, ErrMissedChanges)
}

// Follower receives the keys and changes that Follow reads from the store.
// Follow makes all calls from one goroutine.
type Follower interface {
	// Reset replaces the follower's state: kvs holds all keys under the prefix, read
	// at the given position. Its era may be later than that of the earlier state: what
	// the follower knows may then be newer than what the store has.
	Reset(kvs []KV, position Position)
	// Apply applies changes. A batch without events means that no key changed up
	// to the batch's revision.
	Apply(batch WatchBatch)
	// Disconnected reports a failed call to the store or an ended watch. Follow
	// retries, and calls Reset or Apply when the store responds again.
	Disconnected(err error)
}

// RecoveryGrace is the time after an outage or a restore of the store within which lost
// entries are written again by those who own them. Until then, a missing entry does not show
// that its owner has ended.
const RecoveryGrace = 2200 * time.Millisecond

// Bounds of the backoff between attempts to reach the store.
// retryBackoffLimit is far below the 5 s within which a new configuration must be
// in force.
const (
	retryBackoff      = 100 * time.Millisecond
	retryBackoffLimit = 800 * time.Millisecond
)

// Follow keeps a follower up to date with all keys under a prefix until ctx
// ends. It lists the keys first and then watches for changes.
func Follow(ctx context.Context, store Store, prefix string, f Follower) {
	// position is that of the follower's state, nil if the keys must be listed.
	var position *Position
	failures := 0
	for ctx.Err() == nil {
		responded, err := follow(ctx, store, prefix, f, &position)
		if ctx.Err() != nil {
			return
		}
		if responded {
			failures = 0
		}
		if MustList(err) {
			position = nil
			if responded {
				continue
			}
		}
		failures++
		f.Disconnected(err)
		sleep(ctx, Backoff(failures, retryBackoff, retryBackoffLimit, rand.Float64()))
	}
}

// follow lists the keys if position is nil and then watches until the watch fails.
// It reports whether the store responded at least once, and updates position to
// the last one received.
func follow(ctx context.Context, store Store, prefix string, f Follower, position **Position) (bool, error) {
	responded := false
	if *position == nil {
		kvs, listed, err := store.Range(ctx, prefix)
		if err != nil {
			return false, err
		}
		f.Reset(kvs, listed)
		*position = &listed
		responded = true
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range store.Watch(watchCtx, prefix, **position) {
		if batch.Err != nil {
			return responded, batch.Err
		}
		if err := CheckEra(batch.Era, (*position).Era); err != nil {
			return responded, err
		}
		responded = true
		(*position).Revision = max((*position).Revision, batch.Revision)
		f.Apply(batch)
	}
	return responded, errors.New("store: watch ended")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
