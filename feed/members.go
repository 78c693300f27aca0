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
	// listedSince is when this process was first in members without a break, zero if it is
	// not. renewedAt is when the last successful renewal began.
	listedSince time.Time
	renewedAt   time.Time
}

// NewMemberRegistry returns a registry without other processes.
func NewMemberRegistry(self Member, store kvstore.Store, logger log.Logger) *MemberRegistry {
	return &MemberRegistry{self: self, store: store, logger: logger, members: map[string]Member{}}
}

// Reset implements kvstore.Follower.
func (r *MemberRegistry) Reset(kvs []kvstore.KV, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = map[string]Member{}
	for i := range kvs {
		r.put(&kvs[i])
	}
	r.updateListed()
}

// Apply implements kvstore.Follower.
func (r *MemberRegistry) Apply(batch kvstore.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range batch.Events {
		e := &batch.Events[i]
		if e.Deleted {
			delete(r.members, e.KV.Key)
			continue
		}
		r.put(&e.KV)
	}
	r.updateListed()
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
	var lease int64
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
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String returns the name of the service in the supervisor's log.
func (r *MemberRegistry) String() string { return "registration" }

// renew extends the lease. Without a lease, or if it has expired, it registers
// this process under a new one.
func (r *MemberRegistry) renew(ctx context.Context, lease *int64) error {
	startedAt := time.Now()
	if *lease != 0 {
		remaining, err := r.store.KeepAlive(ctx, *lease)
		if err == nil && remaining > 0 {
			r.markRenewed(startedAt)
		}
		if err != nil || remaining > 0 {
			return err
		}
		*lease = 0
	}
	granted, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	put := kvstore.Op{Key: MemberPrefix + r.self.Name, Value: value, Lease: granted}
	if _, err := r.store.Commit(ctx, kvstore.Txn{Ops: []kvstore.Op{put}}); err != nil {
		return err
	}
	*lease = granted
	r.markRenewed(startedAt)
	telemetry.Info(r.logger, "registered", "member", r.self.Name, "lease", granted)
	return nil
}
