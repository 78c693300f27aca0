// Package claim ensures that a non-idempotent call runs at most once. The key
// of the call is claimed in the platform's store before the call is dispatched,
// and the outcome is stored with the claim for callers that repeat the call. A
// claim names the only agent process that may run the call. That process
// remembers which calls it started, so it can be asked when the outcome is
// uncertain.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Prefix is the prefix of the store keys of claims.
const Prefix = "/quetzalglade/claims/"

// maxOutcomeBytes limits the answer body that is stored with a claim.
const maxOutcomeBytes = 64 << 10

// Outcome is the answer to a claimed call.
type Outcome struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Dropped is set if the body was too large to store.
	Dropped bool `json:"dropped,omitempty"`
}

// Key identifies a non-idempotent call.
type Key struct {
	Workspace string
	Service   string
	// Value is the caller's Idempotency-Key.
	Value string
}

// Digest returns the hex SHA-256 digest that names the key in the store. It does
// not contain the caller's Idempotency-Key.
func (k Key) Digest() string {
	sum := sha256.Sum256([]byte(k.Workspace + "\x00" + k.Service + "\x00" + k.Value))
	return hex.EncodeToString(sum[:])
}

// Record is the stored form of a claim.
type Record struct {
	// CallID is the unique id of the call. Only the process that wrote the claim
	// may send the call, and only to the agent process that Target and
	// Incarnation name.
	CallID      string `json:"call"`
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// AgentUptimeMillis is the uptime of the agent process when the target was chosen.
	AgentUptimeMillis int64 `json:"seen_ms"`
	// Fingerprint is the digest of the call's content.
	Fingerprint string   `json:"fingerprint"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Claim is a record with its key, revision and lease in the store.
type Claim struct {
	Record
	key      string
	revision int64
	// era is that of the store in which revision was read or written.
	era   int64
	lease int64
	// value is the encoded record in the store.
	value []byte
}

// basis is what a write that replaces a claim rests on: the claim's position, revision 0 for
// none, and its value. The value shows a restore that gave the revision to another claim.
type basis struct {
	kvstore.Position
	value []byte
}

func (c *Claim) basis() basis {
	return basis{kvstore.Position{Era: c.era, Revision: c.revision}, c.value}
}

// absent returns the basis of a write for a key without a claim.
func (r *Registry) absent() basis { return basis{Position: kvstore.Position{Era: r.store.Era()}} }

// Registry claims keys in the store. Its methods may be called from any
// goroutine.
type Registry struct {
	store   kvstore.Store
	batcher *Batcher
	leases  *leaseRotation
	// remembered holds the claims that WriteAgain writes.
	remembered remembered
}

// NewRegistry returns a registry whose claims expire when the retention has passed, or
// up to 1/leasesPerRetention of the retention later. It writes through the batcher, whose Serve must run.
func NewRegistry(store kvstore.Store, batcher *Batcher, retention time.Duration) *Registry {
	return &Registry{store: store, batcher: batcher, leases: newLeaseRotation(store, retention), remembered: remembered{claims: map[string]rememberedClaim{}}}
}

// ErrUncertain marks every error of Put: the claim may or may not have been written,
// for example because the store did not answer. A process that later reads the claim
// asks the agent that the claim names.
var ErrUncertain = errors.New("the claim may or may not have been written")

// Put claims the key, or replaces the claim that the caller last read. It
// returns the claim that the key now has, nil for none. The caller holds the
// claim if the CallID of the returned claim equals rec.CallID; this also detects a
// write that succeeded although its reply was lost.
func (r *Registry) Put(ctx context.Context, k Key, lastRead *Claim, rec Record) (*Claim, error) {
	next := &Claim{Record: rec, key: Prefix + k.Digest()}
	at := r.absent()
	if lastRead != nil {
		at = lastRead.basis()
	}
	current, err := r.put(ctx, next, at)
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		r.leases.discard(next.lease)
		next.lease = 0
		current, err = r.put(ctx, next, at)
	}
	if errors.Is(err, kvstore.ErrRestored) {
		current, err = r.putAfterRestore(ctx, next, lastRead == nil)
	}
	if err != nil {
		return nil, errors.Mark(err, ErrUncertain)
	}
	if current != nil && current.CallID == rec.CallID {
		r.remembered.add(current, time.Now())
	}
	return current, nil
}

// putAfterRestore returns the claim that a restored store has for the key. If there is none and
// isFirst is set, it writes the claim.
func (r *Registry) putAfterRestore(ctx context.Context, next *Claim, isFirst bool) (*Claim, error) {
	current, at, err := r.get(ctx, next.key)
	if err != nil || current != nil || !isFirst {
		return current, err
	}
	next.lease = 0
	return r.put(ctx, next, at)
}

// put writes the claim if its key has the claim that the write rests on. It
// returns the claim that the key has afterwards, nil for none.
func (r *Registry) put(ctx context.Context, c *Claim, at basis) (*Claim, error) {
	if c.lease == 0 {
		lease, err := r.leases.current(ctx, time.Now())
		if err != nil {
			return nil, err
		}
		c.lease = lease
	}
	data, err := json.Marshal(c.Record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	res, err := r.batcher.update(ctx, at.Position, at.value, kvstore.Op{Key: c.key, Value: data, Lease: c.lease})
	if err != nil {
		return nil, err
	}
	if res.applied {
		c.revision, c.era, c.value = res.revision, at.Era, data
		return c, nil
	}
	return decode(res.current, at.Era)
}

// decode returns the claim that a store entry of the given era holds, nil for no entry.
func decode(kv *kvstore.KV, era int64) (*Claim, error) {
	if kv == nil {
		return nil, nil
	}
	c := &Claim{key: kv.Key, revision: kv.ModRevision, era: era, lease: kv.Lease, value: kv.Value}
	if err := json.Unmarshal(kv.Value, &c.Record); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	return c, nil
}

// Get returns the claim of a key, or nil if the key is not claimed.
func (r *Registry) Get(ctx context.Context, k Key) (*Claim, error) {
	c, _, err := r.get(ctx, Prefix+k.Digest())
	return c, err
}

// get returns the claim at a store key, nil for none, and the basis of a write that replaces
// it.
func (r *Registry) get(ctx context.Context, key string) (*Claim, basis, error) {
	at := r.absent()
	kv, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, at, err
	}
	if kv != nil {
		at.Revision, at.value = kv.ModRevision, kv.Value
	}
	c, err := decode(kv, at.Era)
	return c, at, err
}

// maxOutcomeWrites limits the attempts to write an outcome. Further ones follow only if the
// store was restored or the lease has ended.
const maxOutcomeWrites = 6

// RecordOutcome stores the outcome of the call in its claim, without the body if that
// is too large. A restored store may have lost the claim or have an older state of it:
// RecordOutcome then writes the whole claim again. It does nothing if another call has
// the claim.
func (r *Registry) RecordOutcome(ctx context.Context, c *Claim, outcome Outcome) error {
	next := *c
	if len(outcome.Body) > maxOutcomeBytes {
		outcome.Body, outcome.Dropped = nil, true
	}
	next.Outcome = &outcome
	at := c.basis()
	var err error
	for range maxOutcomeWrites {
		var current *Claim
		current, err = r.put(ctx, &next, at)
		switch {
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			r.leases.discard(next.lease)
			next.lease = 0
			continue
		case errors.Is(err, kvstore.ErrRestored):
			if current, at, err = r.get(ctx, next.key); err != nil {
				return err
			}
		case err != nil:
			return err
		case current != nil:
			at = current.basis()
		default:
			at = r.absent()
		}
		if current != nil && (current.CallID != next.CallID || current.Outcome != nil) {
			return nil
		}
		next.lease = 0
		if current != nil {
			next.lease = current.lease
		}
	}
	return errors.Wrap(err, "write the outcome after a restore of the store")
}

// Release deletes a claim. The caller must be certain that the claimed call did
// not run.
func (r *Registry) Release(ctx context.Context, c *Claim) error {
	r.remembered.forget(c)
	_, err := r.batcher.update(ctx, c.basis().Position, c.value, kvstore.Op{Key: c.key, Delete: true})
	return err
}
