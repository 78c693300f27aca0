// Package kvstore defines the interface to the platform's key-value store and
// provides a client for the HTTP/JSON gateway of etcd v3, a loop that follows
// the changes under a prefix, and the backoff between retries.
package kvstore

import (
	"context"
	"slices"
	"time"
)

// KV is a key-value pair with the revisions of its creation and its last
// modification. Lease is the ID of the lease that the key is attached to, 0 if
// none.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Compare is a condition of a transaction: the key's modification revision must
// equal ModRevision. 0 means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
	// Value, if it is not nil, is the value at ModRevision, which the key has at no other one.
	// A store that does not check the era of a transaction compares it instead of the revision:
	// a restored etcd gives revisions out again, and does not state that it was restored.
	Value []byte
}

// Op is a write of a transaction: a put, or a deletion if Delete is set. A put
// with a Lease other than 0 attaches the key to that lease.
type Op struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Txn is a transaction. It applies Ops if all Compares hold; otherwise it reads
// the keys of Compares.
type Txn struct {
	// Era is the era, as Store.Era returned it, in which the revisions of Compares were
	// read and the leases of Ops granted. Without either it has no effect.
	Era      int64
	Compares []Compare
	Ops      []Op
}

// RestsOnEra reports whether the transaction holds revisions or leases, which are valid in
// one era only.
func (t *Txn) RestsOnEra() bool {
	return len(t.Compares) > 0 || slices.ContainsFunc(t.Ops, func(op Op) bool { return op.Lease != 0 })
}

// TxnResult is the result of a transaction: whether it was applied, and at
// which revision. If it was not applied, Current holds the compared keys that
// exist.
type TxnResult struct {
	Applied  bool
	Revision int64
	Current  []KV
}

// Event is a change of a key that a watch reports.
type Event struct {
	KV      KV
	Deleted bool
}

// WatchBatch holds the changes since the previous batch up to and including
// Revision of Era, in order. A batch with Err set holds no changes and ends the watch.
type WatchBatch struct {
	Era      int64
	Revision int64
	Events   []Event
	// Age is the time since the store, or the process that passes its changes on,
	// read the state at Revision.
	Age time.Duration
	Err error
}

// Position returns the position of the state after the batch.
func (b *WatchBatch) Position() Position { return Position{Era: b.Era, Revision: b.Revision} }

// Store is the part of a key-value store's interface that this project uses. All
// methods may be called from any goroutine. A transaction whose Commit returns
// an error may have taken effect; callers must read the keys to find out.
type Store interface {
	// Get returns the key with its value, or nil if the key does not exist.
	Get(ctx context.Context, key string) (*KV, error)
	// Range returns all keys with the prefix and the store's position; a watch
	// that starts after that position misses no change.
	Range(ctx context.Context, prefix string) ([]KV, Position, error)
	// Era returns the latest era known from responses, 0 before the first one. A caller that
	// reads revisions or obtains leases for a transaction asks for the era first.
	Era() int64
	// Commit executes a transaction. It returns ErrRestored if the store is not, or is no
	// longer, of the transaction's era; the transaction may then have been applied.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease and returns its ID. The granted time may be shorter than
	// ttl.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its remaining time, 0 if the lease does
	// not exist.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch reports the changes under a prefix after a position. It ends with ErrRestored
	// if the store is of a later era. The channel is closed after a batch with Err, or when
	// ctx ends.
	Watch(ctx context.Context, prefix string, after Position) <-chan WatchBatch
}
