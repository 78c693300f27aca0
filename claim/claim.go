// Package claim makes a non-idempotent call run at most once: its key is
// claimed in the platform's store before the call is dispatched, and the
// outcome is written back for callers that repeat it.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/platform"
)

// Prefix is where claims live in the store.
const Prefix = "/quetzalglade/claims/"

// Outcome is the answer that a claimed call received.
type Outcome struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
}

// Key identifies a non-idempotent call.
type Key struct {
	Workspace string
	Service   string
	// Value is the caller's Idempotency-Key.
	Value string
	// Fingerprint is the digest of the call's content.
	Fingerprint string
}

// Status tells what a claim found.
type Status int

// The results of a claim.
const (
	// Won means that this caller may dispatch the call, and nobody else.
	Won Status = iota
	// Held means that another claim exists without an outcome.
	Held
	// Settled means that the call ran; the outcome is known.
	Settled
	// Mismatch means that the key was used with other content.
	Mismatch
)

// Record is the stored form of a claim.
type Record struct {
	Nonce       string    `json:"nonce"`
	Fingerprint string    `json:"fingerprint"`
	Claimed     time.Time `json:"claimed"`
	Outcome     *Outcome  `json:"outcome,omitempty"`
}

// Claim is the result of Acquire.
type Claim struct {
	Status  Status
	Outcome *Outcome
	key     string
	record  Record
	rev     int64
}

// Registry claims keys in the store. It may be used from any goroutine.
type Registry struct{ store platform.Store }

// NewRegistry returns a registry over the store.
func NewRegistry(store platform.Store) *Registry { return &Registry{store: store} }

// storeKey hashes the caller's key, which may hold any text.
func (k Key) storeKey() string {
	sum := sha256.Sum256([]byte(k.Workspace + "\x00" + k.Service + "\x00" + k.Value))
	return Prefix + hex.EncodeToString(sum[:])
}

// ErrUncertain is returned if the store did not answer, so that nothing may be
// dispatched. The claim may have been written.
var ErrUncertain = errors.New("store did not settle the claim")

const nonceBytes = 12

// Acquire claims the key. A lost reply of the store is settled by reading the
// claim back and comparing its nonce.
func (r *Registry) Acquire(ctx context.Context, k Key, now time.Time) (*Claim, error) {
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw)
	c := &Claim{key: k.storeKey(), record: Record{Nonce: hex.EncodeToString(raw), Fingerprint: k.Fingerprint, Claimed: now}}
	data, err := json.Marshal(c.record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	res, err := r.store.Commit(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: c.key}},
		Ops:      []platform.Op{{Key: c.key, Value: data}},
	})
	if err == nil && res.Applied {
		c.rev = res.Revision
		return c, nil
	}
	if err == nil && len(res.Current) == 1 {
		return c.compare(&res.Current[0])
	}
	return r.readBack(ctx, c)
}

func (r *Registry) readBack(ctx context.Context, c *Claim) (*Claim, error) {
	kv, err := r.store.Get(ctx, c.key)
	if err != nil || kv == nil {
		return nil, ErrUncertain
	}
	return c.compare(kv)
}

// compare decides by the stored record who holds the claim.
func (c *Claim) compare(kv *platform.KV) (*Claim, error) {
	var stored Record
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	switch {
	case stored.Nonce == c.record.Nonce:
		c.rev = kv.ModRevision
	case stored.Fingerprint != c.record.Fingerprint:
		c.Status = Mismatch
	case stored.Outcome != nil:
		c.Status, c.Outcome = Settled, stored.Outcome
	default:
		c.Status = Held
	}
	return c, nil
}

// Settle writes the outcome of a won claim.
func (r *Registry) Settle(ctx context.Context, c *Claim, out Outcome) error {
	c.record.Outcome = &out
	data, err := json.Marshal(c.record)
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	_, err = r.store.Commit(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: c.key, ModRevision: c.rev}},
		Ops:      []platform.Op{{Key: c.key, Value: data}},
	})
	return err
}

// Release withdraws a won claim of a call that certainly did not run.
func (r *Registry) Release(ctx context.Context, c *Claim) error {
	_, err := r.store.Commit(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: c.key, ModRevision: c.rev}},
		Ops:      []platform.Op{{Key: c.key, Delete: true}},
	})
	return err
}
