package feed_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/feed"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Size of a large deployment, and the limits of the store of a small one.
const (
	simulatedProcesses = 300
	maxWritesPerSecond = 400
	// renewals is the time over which the processes' renewals are spread.
	renewals = 10 * time.Second
	// registeredAgainLimit is the time after a restore within which all processes are registered.
	registeredAgainLimit = 4 * time.Second
)

var errTooManyWrites = errors.New("simulated store: more writes than it takes in a second")

// simulatedStore is a store in memory that takes maxWritesPerSecond writes. Its methods take no
// time.
type simulatedStore struct {
	kvstore.Store
	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]kvstore.KV
	// leases maps each lease to its time. The processes renew them in time.
	leases map[int64]time.Duration
	// writes are the times of the writes, also of those that it refused.
	writes []time.Time
}

// write counts a write. Callers hold the lock.
func (s *simulatedStore) write(now time.Time) error {
	s.writes = append(s.writes, now)
	if s.writesSince(now.Add(-time.Second)) > maxWritesPerSecond {
		return errTooManyWrites
	}
	s.revision++
	return nil
}

func (s *simulatedStore) writesSince(from time.Time) int {
	i, _ := slices.BinarySearchFunc(s.writes, from, time.Time.Compare)
	return len(s.writes) - i
}

func (s *simulatedStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *simulatedStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.write(time.Now()); err != nil {
		return 0, err
	}
	s.leases[s.revision] = ttl
	return s.revision, nil
}

func (s *simulatedStore) KeepAlive(_ context.Context, lease int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[lease], nil
}

func (s *simulatedStore) Commit(_ context.Context, txn kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.write(time.Now()); err != nil {
		return kvstore.TxnResult{}, err
	}
	if txn.Era != s.era {
		return kvstore.TxnResult{}, kvstore.ErrRestored
	}
	for _, op := range txn.Ops {
		s.items[op.Key] = kvstore.KV{Key: op.Key, Value: op.Value, Lease: op.Lease, ModRevision: s.revision}
	}
	return kvstore.TxnResult{Applied: true, Revision: s.revision}, nil
}

// restore returns the store to a state without registrations and leases.
func (s *simulatedStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = 1
	s.items, s.leases = map[string]kvstore.KV{}, map[int64]time.Duration{}
	s.writes = nil
}

func (s *simulatedStore) state() ([]kvstore.KV, kvstore.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kvs []kvstore.KV
	for _, kv := range s.items {
		kvs = append(kvs, kv)
	}
	slices.SortFunc(kvs, func(a, b kvstore.KV) int { return cmp.Compare(a.Key, b.Key) })
	return kvs, kvstore.Position{Era: s.era, Revision: s.revision}
}

// awaitRegistrations waits until all processes are registered.
func (s *simulatedStore) awaitRegistrations() {
	for kvs, _ := s.state(); len(kvs) < simulatedProcesses; kvs, _ = s.state() {
		time.Sleep(10 * time.Millisecond)
	}
}

// mostWrites returns the most writes in a second.
func (s *simulatedStore) mostWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, 0
	for to, at := range s.writes {
		for at.Sub(s.writes[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestRegistrationsAfterARestoreKeepTheStoresRate guards against a large deployment whose processes all
// register again at once, so that the store refuses their calls and those of others.
func TestRegistrationsAfterARestoreKeepTheStoresRate(t *testing.T) {
	// Processes learn of a restore until knownAfter.
	for _, knownAfter := range []time.Duration{0, time.Second} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("known after %v, seed %d", knownAfter, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { restoreRegistrations(t, knownAfter, rand.New(rand.NewPCG(seed, 0))) })
			})
		}
	}
}

func restoreRegistrations(t *testing.T, knownAfter time.Duration, random *rand.Rand) {
	store := &simulatedStore{era: 1, revision: 1, items: map[string]kvstore.KV{}, leases: map[int64]time.Duration{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var registries []*feed.MemberRegistry
	for n := range simulatedProcesses {
		r := feed.NewMemberRegistry(memberOf(fmt.Sprintf("vm-%d", n)), store, log.NewNopLogger())
		registries = append(registries, r)
		startDelay := time.Duration(random.Int64N(int64(renewals)))
		go func() {
			time.Sleep(startDelay)
			_ = r.Serve(ctx)
		}()
	}
	store.awaitRegistrations()
	for _, r := range registries {
		r.Reset(store.state())
	}
	time.Sleep(renewals)
	store.restore()
	restoredAt := time.Now()
	for _, r := range registries {
		delay := time.Duration(random.Float64() * float64(knownAfter))
		time.AfterFunc(delay, func() { r.Reset(store.state()) })
	}
	store.awaitRegistrations()
	if took := time.Since(restoredAt); took > registeredAgainLimit {
		t.Errorf("registered again after %v, limit %v", took, registeredAgainLimit)
	}
	if most := store.mostWrites(); most > maxWritesPerSecond {
		t.Errorf("%d writes in a second, limit %d", most, maxWritesPerSecond)
	}
	cancel()
	synctest.Wait()
}
