package claim

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// BatchOptions limit the store writes of a Batcher. Zero values select the
// defaults.
type BatchOptions struct {
	// WritesPerSecond is the maximum number of transactions per second of this
	// process: its share of the write rate that the store sustains.
	WritesPerSecond int
	// MaxBatchSize is the largest number of writes in one transaction; 1 turns
	// batching off.
	MaxBatchSize int
}

// Defaults of BatchOptions. DefaultMaxBatchSize is below the usual limit of the store,
// 128 operations in one transaction.
const (
	DefaultWritesPerSecond = 20
	DefaultMaxBatchSize    = 100
)

// Limits on transactions, their rate and their retries. maxBatchBytes limits the sum
// of the values in a transaction of several writes. Up to writeBurst transactions may
// start at once before the rate limit delays them; maxInFlight limits the transactions
// in progress. The retry delays also apply to failed lease grants.
const (
	maxBatchBytes = 256 << 10
	writeBurst    = 4
	maxInFlight   = 4
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// update is a queued write that is applied if its key has the given revision of the given
// era, 0 for absent, with the given value.
type update struct {
	ctx      context.Context
	key      string
	era      int64
	revision int64
	value    []byte
	op       kvstore.Op
	result   chan updateResult
}

// updateResult is the result of an update. If it was not applied, current is
// the store's entry for the key, nil for none.
type updateResult struct {
	applied  bool
	revision int64
	current  *kvstore.KV
	err      error
}

// Batcher groups conditional writes of different keys into transactions. Every
// write compares the revision of its own key, so any number of batchers may
// write at the same time. It implements suture.Service.
type Batcher struct {
	store        kvstore.Store
	maxBatchSize int
	limiter      *rate.Limiter
	// slots holds an element for each transaction in progress.
	slots chan struct{}
	// wake has an element if the queue may have new updates.
	wake chan struct{}

	mu    sync.Mutex
	queue []*update
	// failures counts consecutive failed transactions.
	failures int
}

// NewBatcher returns a batcher for the store. Updates are written while Serve
// runs.
func NewBatcher(store kvstore.Store, o BatchOptions) *Batcher {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.MaxBatchSize == 0 {
		o.MaxBatchSize = DefaultMaxBatchSize
	}
	return &Batcher{
		store: store, maxBatchSize: o.MaxBatchSize,
		limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), writeBurst),
		slots:   make(chan struct{}, maxInFlight),
		wake:    make(chan struct{}, 1),
	}
}

// update writes a key if it has the given revision of the given era, 0 for absent, with
// the given value. It retries a failed write until ctx ends. After an error the write may
// or may not have taken effect.
func (b *Batcher) update(ctx context.Context, at kvstore.Position, value []byte, op kvstore.Op) (updateResult, error) {
	u := &update{ctx: ctx, key: op.Key, era: at.Era, revision: at.Revision, value: value, op: op, result: make(chan updateResult, 1)}
	b.enqueue(u)
	select {
	case res := <-u.result:
		return res, res.err
	case <-ctx.Done():
		return updateResult{}, errors.Wrap(ctx.Err(), "wait for store write")
	}
}

func (b *Batcher) enqueue(updates ...*update) {
	b.mu.Lock()
	b.queue = append(b.queue, updates...)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (b *Batcher) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		for b.hasQueued() {
			if err := b.acquireSlot(ctx); err != nil {
				return err
			}
			batch := b.nextBatch()
			go func() {
				defer func() { <-b.slots }()
				b.write(ctx, batch)
			}()
		}
	}
}

// acquireSlot waits for a free write slot, for the rate limit and, after
// failures, for a jittered backoff.
func (b *Batcher) acquireSlot(ctx context.Context) error {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := b.limiter.Wait(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(b.backoff()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backoff returns the delay before the next write: exponential in the number of
// consecutive failures, with full jitter.
func (b *Batcher) backoff() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0
	}
	return kvstore.Backoff(b.failures, minRetryDelay, maxRetryDelay, rand.Float64())
}

func (b *Batcher) hasQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// nextBatch removes the next batch from the queue: updates of different keys and of one
// era, oldest first. It drops updates whose context has ended.
func (b *Batcher) nextBatch() []*update {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*update
	keys := map[string]bool{}
	size := 0
	for _, u := range b.queue {
		switch {
		case u.ctx.Err() != nil:
			continue
		case len(batch) >= b.maxBatchSize || keys[u.key] || (len(batch) > 0 && u.era != batch[0].era) || (size > 0 && size+len(u.op.Value) > maxBatchBytes):
			remaining = append(remaining, u)
			continue
		}
		keys[u.key] = true
		size += len(u.op.Value)
		batch = append(batch, u)
	}
	b.queue = remaining
	return batch
}

func (b *Batcher) write(ctx context.Context, batch []*update) {
	if len(batch) == 0 {
		return
	}
	txn := kvstore.Txn{Era: batch[0].era}
	for _, u := range batch {
		txn.Compares = append(txn.Compares, kvstore.Compare{Key: u.key, ModRevision: u.revision, Value: u.value})
		txn.Ops = append(txn.Ops, u.op)
	}
	res, err := b.store.Commit(ctx, txn)
	b.countFailures(err)
	switch {
	case errors.IsAny(err, kvstore.ErrLeaseNotFound, kvstore.ErrRestored):
		for _, u := range batch {
			u.result <- updateResult{err: err}
		}
	case err != nil:
		b.enqueue(batch...)
	case res.Applied:
		for _, u := range batch {
			u.result <- updateResult{applied: true, revision: res.Revision}
		}
	default:
		b.resolveConflict(batch, res.Current)
	}
}

// countFailures updates the number of consecutive failures after a transaction.
func (b *Batcher) countFailures(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if err == nil {
		b.failures = 0
	}
}

// matches reports whether the store's entry for the key, nil for none, is the one on which
// the update rests.
func (u *update) matches(kv *kvstore.KV) bool {
	switch {
	case kv == nil:
		return u.revision == 0
	case u.value != nil:
		return bytes.Equal(kv.Value, u.value)
	}
	return kv.ModRevision == u.revision
}

// resolveConflict handles a transaction that was rejected because a comparison
// failed. It returns the current entries to the updates that conflict with them
// and queues the other updates again.
func (b *Batcher) resolveConflict(batch []*update, current []kvstore.KV) {
	currentByKey := map[string]*kvstore.KV{}
	for i := range current {
		currentByKey[current[i].Key] = &current[i]
	}
	var retries []*update
	for _, u := range batch {
		kv := currentByKey[u.key]
		if u.matches(kv) {
			retries = append(retries, u)
			continue
		}
		u.result <- updateResult{current: kv}
	}
	b.enqueue(retries...)
}
