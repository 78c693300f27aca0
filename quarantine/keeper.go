package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/kvstore"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Prefix is the prefix of the store keys of marks.
const Prefix = "/quetzalglade/quarantine/"

// Retry delays and queue size of a keeper's writes to the store.
const (
	// minRetryDelay and maxRetryDelay are the bounds that backOff uses.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// maxPendingWrites is the size of the queue of marks to be written.
	maxPendingWrites = 1024
	// rewriteSpread is the time over which processes write again what a restore of the store
	// may have lost, so that their calls do not come at once.
	rewriteSpread = 2 * time.Second
)

// Keeper is a table that is synchronized with the marks in the store. It is a
// suture service and a kvstore.Follower of the keys under Prefix.
type Keeper struct {
	*Table
	store  kvstore.Store
	logger log.Logger
	// watch is true if Serve also follows the store.
	watch   bool
	pending chan Mark
	// storeUnavailable and restores are used only by the goroutine that follows the store.
	storeUnavailable bool
	restores         kvstore.RestoreDetector

	writtenMu sync.Mutex
	// written holds the fingerprints of the marks that this process has written.
	written map[string]bool
}

// NewKeeper returns a keeper with an empty table. Its Serve method writes the
// enqueued marks to the store and, if watch is true, also follows the marks in the
// store. If watch is false, another reader of the store may call the keeper's
// kvstore.Follower methods.
func NewKeeper(store kvstore.Store, logger log.Logger, watch bool) *Keeper {
	return &Keeper{Table: NewTable(), store: store, logger: logger, watch: watch, pending: make(chan Mark, maxPendingWrites), written: map[string]bool{}}
}

// Enqueue queues marks to be written to the store, with retries until the store
// accepts them. If the queue is full, a mark is dropped; other processes then
// receive it only in messages that carry MarksToSend. Enqueue does not block.
func (k *Keeper) Enqueue(marks []Mark) {
	for _, m := range marks {
		select {
		case k.pending <- m:
		default:
			telemetry.Warn(k.logger, "mark dropped, write queue full", "fingerprint", m.Fingerprint)
		}
	}
}

// Serve implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	if !k.watch {
		k.writePending(ctx)
		return ctx.Err()
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		k.writePending(ctx)
	}()
	kvstore.Follow(ctx, k.store, Prefix, k)
	<-writerDone
	return ctx.Err()
}

// backOff sleeps for minRetryDelay plus a random delay, whose upper bound doubles
// from minRetryDelay to maxRetryDelay with consecutive failures.
func backOff(ctx context.Context, failures int) {
	select {
	case <-time.After(minRetryDelay + kvstore.Backoff(failures, minRetryDelay, maxRetryDelay, rand.Float64())):
	case <-ctx.Done():
	}
}

func (k *Keeper) mergeEncoded(data []byte) {
	var m Mark
	if err := json.Unmarshal(data, &m); err != nil {
		telemetry.Warn(k.logger, "malformed mark", "err", err)
		return
	}
	k.Merge(m)
}

// writePending writes the queued marks to the store, one after another, until ctx
// ends.
func (k *Keeper) writePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.pending:
			// Before the write, so that a restore during it does not miss the mark.
			k.markWritten(m.Fingerprint)
			for failures := 1; ctx.Err() == nil; failures++ {
				if Put(ctx, k.store, m) == nil {
					break
				}
				backOff(ctx, failures)
			}
		}
	}
}

// markWritten remembers that this process has written a mark.
func (k *Keeper) markWritten(fingerprint string) {
	k.writtenMu.Lock()
	defer k.writtenMu.Unlock()
	if len(k.written) >= maxPendingWrites {
		maps.DeleteFunc(k.written, func(f string, _ bool) bool { _, ok := k.find(f); return !ok })
	}
	k.written[fingerprint] = true
}

// writtenMarks returns the marks that this process has written and that have not expired.
func (k *Keeper) writtenMarks() []Mark {
	k.writtenMu.Lock()
	defer k.writtenMu.Unlock()
	var marks []Mark
	for f := range k.written {
		if m, ok := k.find(f); ok {
			marks = append(marks, m)
		}
	}
	return marks
}

// errWriteConflict means that another process changed the mark between the read
// and the write.
var errWriteConflict = errors.New("write mark: concurrently changed by another process")

// Put merges a mark into the stored mark of its content. It fails if another
// process changes the stored mark at the same time; the caller may retry.
func Put(ctx context.Context, store kvstore.Store, m Mark) error {
	era := store.Era()
	kv, err := store.Get(ctx, Prefix+m.Fingerprint)
	if err != nil {
		return err
	}
	var revision int64
	if kv != nil {
		// A value that is no mark is replaced: it would block all later writes.
		var stored Mark
		if json.Unmarshal(kv.Value, &stored) != nil {
			stored = Mark{Fingerprint: m.Fingerprint}
		}
		merged := merge(m, stored)
		if equal(merged, stored) {
			return nil
		}
		m, revision = merged, kv.ModRevision
	}
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	lease, err := store.Grant(ctx, MarkTTL)
	if err != nil {
		return err
	}
	resp, err := store.Commit(ctx, kvstore.Txn{
		Era:      era,
		Compares: []kvstore.Compare{{Key: Prefix + m.Fingerprint, ModRevision: revision}},
		Ops:      []kvstore.Op{{Key: Prefix + m.Fingerprint, Value: data, Lease: lease}},
	})
	if err == nil && !resp.Applied {
		return errWriteConflict
	}
	return err
}

// List returns the marks in the store whose status is not Clear at the given
// time. It leaves out values that are no marks.
func List(ctx context.Context, store kvstore.Store, now time.Time) ([]Mark, error) {
	kvs, _, err := store.Range(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var out []Mark
	for _, kv := range kvs {
		var m Mark
		if json.Unmarshal(kv.Value, &m) != nil {
			continue
		}
		if m.Status(now) != Clear {
			out = append(out, m)
		}
	}
	return out, nil
}

// Lift ends the quarantine of a content. Crashes up to now no longer count, even
// if a process writes them to the store later.
func Lift(ctx context.Context, store kvstore.Store, fingerprint string, now time.Time) error {
	return Put(ctx, store, Mark{Fingerprint: fingerprint, LiftedMillis: now.UnixMilli()})
}
