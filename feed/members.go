package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// MemberPrefix is the prefix of the store keys under which processes register.
const MemberPrefix = "quetzalglade/members/"

// Lease duration and delays of a registration.
const (
	// leaseTTL is how long a process that crashed stays registered after its last
	// renewal.
	leaseTTL = 9 * time.Second
	// renewPeriod is a third of leaseTTL, so that two renewals may fail before the
	// lease expires.
	renewPeriod = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed renewal.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// restoreSpread is the time over which the processes register again after a restore of
	// the store, so that their calls do not come at once.
	restoreSpread = 2 * time.Second
)

// MemberRegistry keeps this process registered in the store and lists the other
// registered processes. It implements kvstore.Follower, Members and
// suture.Service.
type MemberRegistry struct {
	self   Member
	store  kvstore.Store
	logger log.Logger

	mu sync.Mutex
	// members maps store keys to registered processes, this one included.
	members map[string]Member
	// keptUntil holds the times until which processes are kept whose registrations a restore
	// of the store has lost, by key.
	keptUntil map[string]time.Time
	// restoredUntil is the time until which a registration that ends may be of before the last
	// restore; its owner may not have registered again yet.
	restoredUntil time.Time
	restores      kvstore.RestoreDetector
	// restored wakes Serve after a restore of the store.
	restored chan struct{}
	// listedSince is when this process was first in members without a break, zero if it is
	// not. renewedAt is when the last successful renewal began.
	listedSince time.Time
	renewedAt   time.Time
}

// NewMemberRegistry returns a registry without other processes.
func NewMemberRegistry(self Member, store kvstore.Store, logger log.Logger) *MemberRegistry {
	return &MemberRegistry{
		self: self, store: store, logger: logger,
		members: map[string]Member{}, keptUntil: map[string]time.Time{}, restored: make(chan struct{}, 1),
	}
}

// Reset implements kvstore.Follower. After a restore of the store, the other processes whose
// registrations are missing are kept for as long as they may take to register again.
func (r *MemberRegistry) Reset(kvs []kvstore.KV, position kvstore.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expireKept(now)
	isRestored := r.restores.Reset(position)
	if isRestored {
		r.restoredUntil = now.Add(leaseTTL)
	}
	before := r.members
	r.members = map[string]Member{}
	for i := range kvs {
		r.put(&kvs[i])
	}
	for key, m := range before {
		if _, listed := r.members[key]; listed || m.Name == r.self.Name {
			continue
		}
		if isRestored {
			r.keptUntil[key] = r.restoredUntil
		}
		if _, kept := r.keptUntil[key]; kept {
			r.members[key] = m
		}
	}
	r.updateListed()
	if !isRestored {
		return
	}
	telemetry.Warn(r.logger, "store restored", "following", "members", "era", position.Era, "members", len(r.members), "kept", len(r.keptUntil))
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// expireKept removes the processes that have not registered again in time. Callers hold the
// lock.
func (r *MemberRegistry) expireKept(now time.Time) {
	for key, until := range r.keptUntil {
		if now.After(until) {
			delete(r.keptUntil, key)
			delete(r.members, key)
		}
	}
}

// Apply implements kvstore.Follower.
func (r *MemberRegistry) Apply(batch kvstore.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expireKept(now)
	for i := range batch.Events {
		e := &batch.Events[i]
		if e.Deleted {
			r.remove(e.KV.Key, now)
			continue
		}
		r.put(&e.KV)
	}
	r.updateListed()
}

// remove removes a process whose registration has ended. If it may have been of before a
// restore, another process is kept for as long as it may take to register again. Callers hold
// the lock.
func (r *MemberRegistry) remove(key string, now time.Time) {
	if m, ok := r.members[key]; ok && m.Name != r.self.Name && now.Before(r.restoredUntil) {
		r.keptUntil[key] = r.restoredUntil
		return
	}
	delete(r.members, key)
	delete(r.keptUntil, key)
}

// updateListed updates listedSince. Callers hold the lock.
func (r *MemberRegistry) updateListed() {
	if _, listed := r.members[MemberPrefix+r.self.Name]; !listed {
		r.listedSince = time.Time{}
	} else if r.listedSince.IsZero() {
		r.listedSince = time.Now()
	}
}

// Timing of a settled membership.
const (
	// settleTime is the time after the registration of a process until every other process
	// that reads recent state lists it, and until it lists those that registered with it.
	settleTime = 3 * time.Second
	// maxRenewalAge is the age of the last renewal up to which the other processes
	// certainly list this one. It is shorter than leaseTTL by a margin for clock rates.
	maxRenewalAge = leaseTTL - 2*time.Second
)

// Settled returns the names of the known processes, this one included. It returns false
// unless all other processes know this one.
func (r *MemberRegistry) Settled(now time.Time) ([]string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedSince.IsZero() || now.Sub(r.listedSince) < settleTime || now.Sub(r.renewedAt) > maxRenewalAge {
		return nil, false
	}
	r.expireKept(now)
	names := make([]string, 0, len(r.members))
	for _, m := range r.members {
		names = append(names, m.Name)
	}
	return names, true
}

func (r *MemberRegistry) markRenewed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewedAt = at
}

// Disconnected implements kvstore.Follower. The registry keeps its members while
// the store is unavailable.
func (r *MemberRegistry) Disconnected(error) {}

func (r *MemberRegistry) put(kv *kvstore.KV) {
	var m Member
	err := json.Unmarshal(kv.Value, &m)
	if err == nil {
		err = m.check()
	}
	if err != nil {
		telemetry.Warn(r.logger, "invalid member entry ignored", "key", kv.Key, "err", err)
		return
	}
	r.members[kv.Key] = m
	delete(r.keptUntil, kv.Key)
}

// maxNameBytes limits the names of a process and its region.
const maxNameBytes = 200

// check returns an error if the entry of a process cannot be used.
func (m *Member) check() error {
	if m.Name == "" || len(m.Name) > maxNameBytes || len(m.Region) > maxNameBytes {
		return errors.Newf("member %.40q: name or region exceeds 1 to %d bytes", m.Name, maxNameBytes)
	}
	addr, err := netip.ParseAddrPort(m.Addr)
	if err != nil || addr.Port() == 0 {
		return errors.Newf("member %q: address %.60q is not ip:port", m.Name, m.Addr)
	}
	return nil
}

// HasHost reports whether another process listens on the host.
func (r *MemberRegistry) HasHost(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireKept(time.Now())
	for _, m := range r.members {
		if memberHost, _, err := net.SplitHostPort(m.Addr); err == nil && memberHost == host && m.Name != r.self.Name {
			return true
		}
	}
	return false
}

// Count returns the number of known processes, including this one.
func (r *MemberRegistry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireKept(time.Now())
	if _, ok := r.members[MemberPrefix+r.self.Name]; ok {
		return len(r.members)
	}
	return len(r.members) + 1
}

// Name implements Members.
func (r *MemberRegistry) Name() string { return r.self.Name }

// Leader implements Members. The leader is one of the processes of the region with the
// fastest link, since it serves all others. Among them, its name has the highest hash,
// so that all processes with the same members agree.
func (r *MemberRegistry) Leader() *Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireKept(time.Now())
	leader := r.self
	for _, m := range r.members {
		if m.Region == r.self.Region && m.precedes(&leader) {
			leader = m
		}
	}
	if leader.Name == r.self.Name {
		return nil
	}
	return &leader
}

// precedes reports whether m is preferred to other as the leader of a region.
func (m *Member) precedes(other *Member) bool {
	if m.LinkMbps != other.LinkMbps {
		return m.LinkMbps > other.LinkMbps
	}
	return nameHash(m.Name) > nameHash(other.Name)
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// Others implements Members.
func (r *MemberRegistry) Others() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireKept(time.Now())
	var out []Member
	for _, m := range r.members {
		if m.Name != r.self.Name {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Serve implements suture.Service: it registers this process and renews its
// lease.
func (r *MemberRegistry) Serve(ctx context.Context) error {
	failures := 0
	var lease grantedLease
	for {
		delay := renewPeriod
		err := r.renew(ctx, &lease)
		if err != nil {
			failures++
			delay = max(minRetryDelay, kvstore.Backoff(failures, minRetryDelay, maxRetryDelay, rand.Float64()))
		} else {
			failures = 0
		}
		if failures == 1 {
			telemetry.Warn(r.logger, "registration renewal failed", "err", err)
		}
		select {
		case <-time.After(delay):
		case <-r.restored:
			sleep(ctx, rand.N(restoreSpread))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// String returns the name of the service in the supervisor's log.
func (r *MemberRegistry) String() string { return "registration" }

// grantedLease is a lease and the era of the store in which it was granted; id is 0 for none.
type grantedLease struct{ id, era int64 }

// renew extends the lease. Without a lease, or if it has expired, it registers
// this process under a new one. A lease of an earlier era may have been lost with the
// registration, and its ID granted to another process.
func (r *MemberRegistry) renew(ctx context.Context, lease *grantedLease) error {
	startedAt := time.Now()
	if lease.id != 0 && lease.era == r.store.Era() {
		remaining, err := r.store.KeepAlive(ctx, lease.id)
		if err != nil {
			return err
		}
		if remaining > 0 && lease.era == r.store.Era() {
			r.markRenewed(startedAt)
			return nil
		}
	}
	*lease = grantedLease{}
	key, era := MemberPrefix+r.self.Name, r.store.Era()
	if era == 0 {
		// The first response states the era. It must be known before the grant: the store
		// may be restored between the grant and the write.
		if _, err := r.store.Get(ctx, key); err != nil {
			return err
		}
		era = r.store.Era()
	}
	granted, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	put := kvstore.Op{Key: key, Value: value, Lease: granted}
	if _, err := r.store.Commit(ctx, kvstore.Txn{Era: era, Ops: []kvstore.Op{put}}); err != nil {
		return err
	}
	*lease = grantedLease{id: granted, era: era}
	r.markRenewed(startedAt)
	telemetry.Info(r.logger, "registered", "member", r.self.Name, "lease", granted, "era", era)
	return nil
}
