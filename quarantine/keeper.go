package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/kvstore"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Prefix is where marks live in the store.
const Prefix = "/quetzalglade/quarantine/"

// Bounds of a keeper's calls to the store.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	maxUnwritten  = 1024
)

// Keeper is a suture service that keeps a table and the store's marks equal.
type Keeper struct {
	*Table
	store  kvstore.Store
	logger log.Logger
	watch  bool
	write  chan Mark
	// lost belongs to the goroutine that follows the store.
	lost bool
}

// NewKeeper returns a keeper with an empty table. It writes to the store and,
// if watch is set, also follows it.
func NewKeeper(store kvstore.Store, logger log.Logger, watch bool) *Keeper {
	return &Keeper{Table: NewTable(), store: store, logger: logger, watch: watch, write: make(chan Mark, maxUnwritten)}
}

// Keep writes marks to the store as soon as it answers. Over the bound marks
// are not written; they still travel on messages.
func (k *Keeper) Keep(marks []Mark) {
	for _, m := range marks {
		select {
		case k.write <- m:
		default:
			telemetry.Warn(k.logger, "mark not kept", "fingerprint", m.Fingerprint)
		}
	}
}

// Serve implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	if !k.watch {
		k.writeAll(ctx)
		return ctx.Err()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.writeAll(ctx)
	}()
	kvstore.Follow(ctx, k.store, Prefix, k)
	<-ended
	return ctx.Err()
}

// wait sleeps for a jittered delay that grows with the failures in a row.
func wait(ctx context.Context, failures int) {
	select {
	case <-time.After(minRetryDelay + kvstore.Backoff(failures, minRetryDelay, maxRetryDelay, rand.Float64())):
	case <-ctx.Done():
	}
}

func (k *Keeper) adopt(data []byte) {
	var m Mark
	if err := json.Unmarshal(data, &m); err != nil {
		telemetry.Warn(k.logger, "malformed mark", "err", err)
		return
	}
	k.Merge(m)
}

func (k *Keeper) writeAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.write:
			for failures := 1; ctx.Err() == nil; failures++ {
				if Put(ctx, k.store, m) == nil {
					break
				}
				wait(ctx, failures)
			}
		}
	}
}

// errContended is returned if another process changed the mark meanwhile.
var errContended = errors.New("mark was changed")

// Put merges a mark into the store.
func Put(ctx context.Context, store kvstore.Store, m Mark) error {
	kv, err := store.Get(ctx, Prefix+m.Fingerprint)
	if err != nil {
		return err
	}
	var revision int64
	if kv != nil {
		var old Mark
		if err := json.Unmarshal(kv.Value, &old); err != nil {
			return errors.Wrap(err, "decode mark")
		}
		merged := merge(m, old)
		if equal(merged, old) {
			return nil
		}
		m, revision = merged, kv.ModRevision
	}
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	lease, err := store.Grant(ctx, Life)
	if err != nil {
		return err
	}
	res, err := store.Commit(ctx, kvstore.Txn{
		Compares: []kvstore.Compare{{Key: Prefix + m.Fingerprint, ModRevision: revision}},
		Ops:      []kvstore.Op{{Key: Prefix + m.Fingerprint, Value: data, Lease: lease}},
	})
	if err == nil && !res.Applied {
		return errContended
	}
	return err
}

// List returns the marks in the store that count at the given time.
func List(ctx context.Context, store kvstore.Store, now time.Time) ([]Mark, error) {
	kvs, _, err := store.Range(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var out []Mark
	for _, kv := range kvs {
		var m Mark
		if err := json.Unmarshal(kv.Value, &m); err != nil {
			return nil, errors.Wrap(err, "decode mark")
		}
		if m.Status(now) != Clear {
			out = append(out, m)
		}
	}
	return out, nil
}

// Lift ends the quarantine of a content. Deaths up to now do not count any
// more, also where they arrive late.
func Lift(ctx context.Context, store kvstore.Store, fingerprint string, now time.Time) error {
	return Put(ctx, store, Mark{Fingerprint: fingerprint, LiftedMillis: now.UnixMilli()})
}
