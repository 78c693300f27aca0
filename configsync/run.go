package configsync

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Periods and timeouts of the follower.
const (
	// planPeriod is the time between two checks whether a watcher still has to watch
	// the store.
	planPeriod = time.Second
	// rereadPeriod is the time between two reads of the manifest by a watcher. It
	// bounds how long a watch that stalls without an error delays a new version.
	rereadPeriod = 3 * time.Second
	// followWait is the maximum long-poll time of a follower's request to a
	// watcher.
	followWait = 2 * time.Second
	// peerTimeout bounds a request to a peer, in addition to its long-poll time.
	peerTimeout = 1500 * time.Millisecond
	// watcherAvoidPeriod is how long a watcher is not followed after a request to
	// it failed.
	watcherAvoidPeriod = 10 * time.Second
	// peerAvoidPeriod is how long no requests are sent to a process that announced
	// a version but did not provide it.
	peerAvoidPeriod = time.Second
	// retryDelay is the delay after reading from the store or a watcher failed.
	retryDelay = 500 * time.Millisecond
	// announcementWait is how long a process without a VM list waits for an
	// announced version before it first reads the store itself. Until a
	// configuration is in force, it is also the interval between further reads.
	announcementWait = 5 * time.Second
	// listWait bounds the wait for the first VM list at startup. listPoll is the
	// poll interval during that wait.
	listWait = time.Second
	listPoll = 20 * time.Millisecond
	// bootstrapTimeout bounds the requests to other processes at startup.
	bootstrapTimeout = 750 * time.Millisecond
	// bootstrapPeers is the number of processes that are queried at once at
	// startup.
	bootstrapPeers = 5
)

// plan is how a process obtains new configuration versions.
type plan struct {
	// watch is true if this process is one of the watchers. Otherwise it watches the
	// store only if there are no watchers to follow.
	watch bool
	// watcherAddrs are the addresses of the watchers to follow, in the order of
	// decision.Watchers; for a watcher, only those that precede it in this order.
	watcherAddrs []string
}

// run watches the store or follows the watchers in turn until ctx ends. Without a
// configuration it first requests one from other processes.
func (f *Follower) run(ctx context.Context) {
	for deadline := time.Now().Add(listWait); len(f.opts.VMs()) == 0 && time.Now().Before(deadline); {
		sleep(ctx, listPoll)
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		p := f.plan()
		var err error
		switch {
		case f.current.Load() == nil && f.bootstrap(ctx, turn):
		case p.watch || len(p.watcherAddrs) == 0:
			err = f.watch(ctx, p)
		default:
			err = f.follow(ctx, p.watcherAddrs[turn%len(p.watcherAddrs)])
		}
		if err != nil && ctx.Err() == nil {
			telemetry.Warn(f.opts.Logger, "configuration source interrupted", "watching", p.watch, "err", err)
			sleep(ctx, jittered(retryDelay))
		}
	}
}

// plan decides from the current VM list whether to watch the store or to follow
// watchers. It leaves out entries that are leaving or in failedWatchers.
func (f *Follower) plan() plan {
	var entries []decision.Location
	var addrs []string
	now := time.Now()
	for _, vm := range f.opts.VMs() {
		isSelf := vm.Name == f.opts.VM
		if vm.Role != vmlist.RoleEntry || (!isSelf && (vm.State != vmlist.VMLive || f.failedWatchers.has(vm.Addr, now))) {
			continue
		}
		entries = append(entries, decision.Location{VM: vm.Name, Datacentre: vm.Datacentre, Region: vm.Region})
		addrs = append(addrs, vm.Addr)
	}
	var p plan
	for _, i := range decision.Watchers(f.opts.Region, entries) {
		if entries[i].VM == f.opts.VM {
			p.watch = true
			return p
		}
		p.watcherAddrs = append(p.watcherAddrs, addrs[i])
	}
	return p
}

// follow requests a version higher than the current one from a watcher, which
// delays its response until it has one, up to followWait.
func (f *Follower) follow(ctx context.Context, addr string) error {
	err := f.fetchFrom(ctx, addr, followWait)
	if err != nil && ctx.Err() == nil {
		f.failedWatchers.add(addr, time.Now())
	}
	return err
}

// watch watches the manifest in the store until a new plan makes this process
// follow other watchers, until an error occurs or until ctx ends. It also reads the
// manifest periodically, since a watch can stall without an error.
func (f *Follower) watch(ctx context.Context, p plan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	position, err := f.reread(ctx, p.watcherAddrs)
	if err != nil {
		return err
	}
	events := f.opts.Store.Watch(ctx, ManifestKey, position)
	replan := time.NewTicker(planPeriod)
	defer replan.Stop()
	reread := time.NewTicker(jittered(rereadPeriod))
	defer reread.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch, ok := <-events:
			if !ok {
				return errors.New("configuration watch closed")
			}
			if err := f.apply(ctx, batch, p.watcherAddrs); err != nil {
				return err
			}
			if f.isBehindAfterRestore(batch.Events) {
				if _, err := f.reread(ctx, p.watcherAddrs); err != nil {
					return err
				}
			}
		case <-reread.C:
			if _, err := f.reread(ctx, p.watcherAddrs); err != nil {
				return err
			}
		case <-replan.C:
			next := f.plan()
			if !next.watch && len(next.watcherAddrs) > 0 {
				return nil
			}
			p = next
		}
	}
}

// apply adopts the manifests of a watch batch. preceding are the addresses of the
// watchers that precede this one, as in plan.watcherAddrs.
func (f *Follower) apply(ctx context.Context, batch kvstore.WatchBatch, preceding []string) error {
	if batch.Err != nil {
		return batch.Err
	}
	for _, e := range batch.Events {
		if e.Deleted || e.KV.Key != ManifestKey {
			continue
		}
		if err := f.adopt(ctx, e.KV.Value, f.sources(preceding)...); err != nil {
			return err
		}
	}
	return nil
}

// isBehindAfterRestore reports whether a change after a restore of the store has a manifest that
// is not above the one in force.
func (f *Follower) isBehindAfterRestore(events []kvstore.Event) bool {
	if f.opts.Store.Era() == 0 {
		return false
	}
	own := f.current.Load()
	return own != nil && slices.ContainsFunc(events, func(e kvstore.Event) bool {
		return e.KV.Key == ManifestKey && !bytes.Equal(e.KV.Value, own.manifest)
	})
}

// reread reads and adopts the manifest in the store. If the store has an older one, reread
// writes the one in force again. It returns the store's position.
func (f *Follower) reread(ctx context.Context, preceding []string) (kvstore.Position, error) {
	own := f.current.Load()
	kvs, position, err := f.opts.Store.Range(ctx, ManifestKey)
	if err != nil {
		return kvstore.Position{}, err
	}
	var stored *kvstore.KV
	for i := range kvs {
		if kvs[i].Key != ManifestKey {
			continue
		}
		stored = &kvs[i]
		if err := f.adopt(ctx, stored.Value, f.sources(preceding)...); err != nil {
			return kvstore.Position{}, err
		}
	}
	if own != nil {
		err = f.reconcile(ctx, own, stored, position.Era)
	}
	return position, err
}

// sources returns the sources of a watcher's documents: the region's first
// watcher, unless that is this process, then the store. So the store sends a
// document only once to each region.
func (f *Follower) sources(preceding []string) []source {
	var out []source
	if len(preceding) > 0 && f.opts.Peers != nil {
		out = append(out, waitingSource{f, preceding[0]})
	}
	return append(out, storeSource{f.opts.Store})
}

// waitingSource fetches documents from the region's first watcher after waiting
// up to peerTimeout until that watcher has a higher version than this process.
type waitingSource struct {
	follower *Follower
	addr     string
}

func (s waitingSource) documents(ctx context.Context, digests []string) (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := s.follower.opts.Peers
	if _, err := peers.Config(ctx, s.addr, s.follower.Version(), peerTimeout); err != nil {
		return nil, err
	}
	return peerSource{peers, s.addr}.documents(ctx, digests)
}

// bootstrap requests the configuration from several processes and adopts the
// highest version received. It reports whether a configuration is in force.
// Successive turns query different processes.
func (f *Follower) bootstrap(ctx context.Context, turn int) bool {
	var addrs []string
	for _, vm := range f.opts.VMs() {
		if vm.Name != f.opts.VM {
			addrs = append(addrs, vm.Addr)
		}
	}
	if len(addrs) == 0 || f.opts.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range min(bootstrapPeers, len(addrs)) {
		addr := addrs[(turn*bootstrapPeers+i)%len(addrs)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = f.fetchFrom(ctx, addr, 0)
		}()
	}
	wg.Wait()
	return f.current.Load() != nil
}

// awaitAnnouncements is the loop of a process without a VM list, which receives new
// versions through announcements in messages. Until it has a configuration, it
// also reads the store periodically.
func (f *Follower) awaitAnnouncements(ctx context.Context) {
	sleep(ctx, jittered(announcementWait))
	for ctx.Err() == nil && f.current.Load() == nil {
		if _, err := f.reread(ctx, nil); err != nil && ctx.Err() == nil {
			telemetry.Warn(f.opts.Logger, "configuration read failed", "err", err)
		}
		sleep(ctx, jittered(announcementWait))
	}
	<-ctx.Done()
}

// failedAddrs is a set of addresses that are to be avoided because requests to
// them failed. Entries expire after period.
type failedAddrs struct {
	period   time.Duration
	mu       sync.Mutex
	failedAt map[string]time.Time
}

func newFailedAddrs(period time.Duration) *failedAddrs {
	return &failedAddrs{period: period, failedAt: map[string]time.Time{}}
}

func (s *failedAddrs) add(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[addr] = now
}

func (s *failedAddrs) has(addr string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.failedAt[addr]
	if ok && now.Sub(at) > s.period {
		delete(s.failedAt, addr)
		return false
	}
	return ok
}

// jittered returns a random duration within 25% of d.
func jittered(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
