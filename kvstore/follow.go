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

// MustList reports whether err ended a watch that can't be continued before the keys
// are listed again.
func MustList(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrBacklog)
}

// Follower receives the keys and changes that Follow reads from the store.
// Follow makes all calls from one goroutine.
type Follower interface {
	// Reset replaces the follower's state: kvs holds all keys under the prefix, read
	// at revision.
	Reset(kvs []KV, revision int64)
	// Apply applies changes. A batch without events means that no key changed up
	// to the batch's revision.
	Apply(batch WatchBatch)
	// Disconnected reports a failed call to the store or an ended watch. Follow
	// retries, and calls Reset or Apply when the store responds again.
	Disconnected(err error)
}

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
	var revision int64
	failures := 0
	for ctx.Err() == nil {
		responded, err := follow(ctx, store, prefix, f, &revision)
		if ctx.Err() != nil {
			return
		}
		if responded {
			failures = 0
		}
		if MustList(err) {
			revision = 0
			if responded {
				continue
			}
		}
		failures++
		f.Disconnected(err)
		sleep(ctx, Backoff(failures, retryBackoff, retryBackoffLimit, rand.Float64()))
	}
}

// follow lists the keys if revision is 0 and then watches until the watch fails.
// It reports whether the store responded at least once, and updates revision to
// the last one received.
func follow(ctx context.Context, store Store, prefix string, f Follower, revision *int64) (bool, error) {
	responded := false
	if *revision == 0 {
		kvs, rev, err := store.Range(ctx, prefix)
		if err != nil {
			return false, err
		}
		f.Reset(kvs, rev)
		*revision = rev
		responded = true
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range store.Watch(watchCtx, prefix, *revision+1) {
		if batch.Err != nil {
			return responded, batch.Err
		}
		responded = true
		*revision = max(*revision, batch.Revision)
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
