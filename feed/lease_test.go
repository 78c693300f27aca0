package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/feed"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/platform"
)

// Times of the registrations.
const (
	// memberLease is the time after which the registration of a process that has ended ends.
	memberLease = 9 * time.Second
	// registerLimit is the time within which a live process registers again.
	registerLimit = 3 * time.Second
	waitLimit     = 20 * time.Second
)

// process is a registered process. Its stop ends it without a call to the store.
type process struct {
	registry *feed.MemberRegistry
	client   *platform.Store
	stop     func()
}

func memberOf(name string) feed.Member {
	return feed.Member{Name: name, Region: "north", Addr: "127.0.0.1:1"}
}

func newClient(store *platformtest.Store) *platform.Store {
	return platform.NewStore(store.Addr(), &http.Client{Transport: &http.Transport{}}, log.NewNopLogger(), time.Second, 500*time.Millisecond)
}

func startProcess(t *testing.T, store *platformtest.Store, name string) *process {
	t.Helper()
	client := newClient(store)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{registry: feed.NewMemberRegistry(memberOf(name), client, log.NewNopLogger()), client: client}
	var done sync.WaitGroup
	done.Go(func() { _ = p.registry.Serve(ctx) })
	done.Go(func() { kvstore.Follow(ctx, client, feed.MemberPrefix, p.registry) })
	p.stop = func() {
		cancel()
		done.Wait()
	}
	t.Cleanup(p.stop)
	return p
}

// knows reports whether the process counts another one as a member.
func (p *process) knows(name string) bool {
	return slices.ContainsFunc(p.registry.Others(), func(m feed.Member) bool { return m.Name == name })
}

// waitFor waits until cond holds and returns the time until then.
func waitFor(t *testing.T, description string, limit time.Duration, cond func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, description)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// watchMembers checks, until the returned function is called, that the process counts the
// others as members all the time.
func watchMembers(t *testing.T, p *process, names ...string) (end func()) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		for missing := map[string]bool{}; ; time.Sleep(2 * time.Millisecond) {
			for _, name := range names {
				if !missing[name] && !p.knows(name) {
					missing[name] = true
					t.Errorf("%s is not a member %v after the begin, though it is live", name, time.Since(start))
				}
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// isRegistered reports whether the process has an entry under a lease that exists.
func isRegistered(store *platformtest.Store, name string) bool {
	item, ok := store.Items(feed.MemberPrefix)[feed.MemberPrefix+name]
	return ok && store.HasLease(item.Lease)
}

// TestMembersThroughADrill guards against processes that have ended and stay members because the
// store has come back from a copy with their registrations, and against live ones that do not.
func TestMembersThroughADrill(t *testing.T) {
	t.Parallel()
	for _, paused := range []bool{false, true} {
		t.Run(fmt.Sprintf("leases paused while away: %v", paused), func(t *testing.T) {
			t.Parallel()
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			store.SetEra(1)
			processes := map[string]*process{}
			start := func(names ...string) {
				for _, name := range names {
					processes[name] = startProcess(t, store, name)
				}
			}
			start("self", "live", "gone")
			for _, name := range []string{"self", "live", "gone"} {
				waitFor(t, name+" is registered", waitLimit, func() bool { return isRegistered(store, name) })
			}
			earlier := store.Copy()
			// Processes that register in the lost span.
			start("late", "late-gone")
			self := processes["self"]
			for _, name := range []string{"live", "gone", "late", "late-gone"} {
				waitFor(t, name+" is a member", waitLimit, func() bool { return self.knows(name) })
			}
			processes["gone"].stop()
			processes["late-gone"].stop()
			endWatch := watchMembers(t, self, "live", "late")
			store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true, PauseLeases: paused})
			time.Sleep(250 * time.Millisecond)
			store.Restore(earlier)
			time.Sleep(250 * time.Millisecond)
			copied := store.Items(feed.MemberPrefix)
			store.SetFaults(platformtest.StoreFaults{})
			returnedAt := time.Now()
			for _, name := range []string{"self", "live", "late"} {
				waitFor(t, name+" is registered again under a new lease", registerLimit, func() bool {
					item := store.Items(feed.MemberPrefix)[feed.MemberPrefix+name]
					before, ok := copied[feed.MemberPrefix+name]
					return isRegistered(store, name) && (!ok || item.Lease != before.Lease)
				})
			}
			if !self.knows("gone") {
				t.Error("the process whose lease of the copy runs on is no member")
			}
			for _, name := range []string{"gone", "late-gone"} {
				waitFor(t, name+" is no member", memberLease+registerLimit-time.Since(returnedAt), func() bool { return !self.knows(name) })
			}
			if isRegistered(store, "gone") || isRegistered(store, "late-gone") {
				t.Error("a process that has ended is registered")
			}
			// The registrations of live processes outlast their leases of the copy.
			time.Sleep(time.Until(returnedAt.Add(memberLease + registerLimit)))
			endWatch()
			for _, name := range []string{"self", "live", "late"} {
				if !isRegistered(store, name) {
					t.Errorf("%s is not registered", name)
				}
			}
		})
	}
}

// TestLeaseOfTheCopyEndsBeforeItsOwnerRegisters guards against processes that take a larger share
// because the lease that another one had in the copy has ended before it has registered again.
func TestLeaseOfTheCopyEndsBeforeItsOwnerRegisters(t *testing.T) {
	t.Parallel()
	const leftInCopy, registersAfter = 700 * time.Millisecond, 2 * time.Second
	for _, isLive := range []bool{true, false} {
		t.Run(fmt.Sprintf("live: %v", isLive), func(t *testing.T) {
			t.Parallel()
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			store.SetEra(1)
			value, err := json.Marshal(memberOf("other"))
			if err != nil {
				t.Fatal(err)
			}
			key := feed.MemberPrefix + "other"
			store.PutForTime(key, value, leftInCopy)
			earlier := store.Copy()
			self := startProcess(t, store, "self")
			renewed := time.NewTicker(leftInCopy / 10)
			defer renewed.Stop()
			for !isRegistered(store, "self") || !self.knows("other") {
				<-renewed.C
				store.PutForTime(key, value, leftInCopy)
			}
			store.Restore(earlier)
			restoredAt := time.Now()
			waitFor(t, "self knows the restore", registerLimit, func() bool { return self.client.Era() == 2 })
			waitFor(t, "the lease has ended", waitLimit, func() bool { return !isRegistered(store, "other") })
			if isLive {
				endWatch := watchMembers(t, self, "other")
				time.Sleep(time.Until(restoredAt.Add(registersAfter)))
				store.PutForTime(key, value, time.Hour)
				time.Sleep(time.Until(restoredAt.Add(memberLease + registerLimit)))
				endWatch()
				return
			}
			waitFor(t, "the process is no member", memberLease+registerLimit-time.Since(restoredAt), func() bool { return !self.knows("other") })
		})
	}
}

// TestLeaseEndsAfterARestore guards against processes that stay members once their lease of after
// the restore has ended.
func TestLeaseEndsAfterARestore(t *testing.T) {
	t.Parallel()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.SetEra(1)
	self, other := startProcess(t, store, "self"), startProcess(t, store, "other")
	waitFor(t, "the other is a member", waitLimit, func() bool { return self.knows("other") })
	lease := store.Items(feed.MemberPrefix)[feed.MemberPrefix+"other"].Lease
	store.Restore(store.Copy())
	waitFor(t, "the other is registered again", registerLimit, func() bool {
		item := store.Items(feed.MemberPrefix)[feed.MemberPrefix+"other"]
		return item.Lease != 0 && item.Lease != lease
	})
	other.stop()
	waitFor(t, "the lease has ended", waitLimit, func() bool { return !isRegistered(store, "other") })
	waitFor(t, "the other is no member", time.Second, func() bool { return !self.knows("other") })
}

// restoringStore is a client whose first granted lease is lost by a restore before the client
// can use it, and granted to another process.
type restoringStore struct {
	*platform.Store
	server  *platformtest.Store
	earlier *platformtest.StoreCopy
	// lost is the lost lease, 0 before.
	lost int64
}

// Grant implements kvstore.Store.
func (s *restoringStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	id, err := s.Store.Grant(ctx, ttl)
	if err != nil || s.lost != 0 {
		return id, err
	}
	s.lost = id
	s.server.Restore(s.earlier)
	for other := newClient(s.server); !s.server.HasLease(id); {
		if _, err := other.Grant(ctx, time.Hour); err != nil {
			return 0, err
		}
	}
	// The restore shows in another response before the lease is used.
	_, err = s.Get(ctx, "k")
	return id, err
}

// TestFirstRegistrationThroughARestore guards against a process that registers for the first time
// while the store is restored, under a lease that belongs to another process.
func TestFirstRegistrationThroughARestore(t *testing.T) {
	t.Parallel()
	server := platformtest.NewStore()
	t.Cleanup(server.Close)
	server.SetEra(1)
	client := &restoringStore{Store: newClient(server), server: server, earlier: server.Copy()}
	registry := feed.NewMemberRegistry(memberOf("self"), client, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	done.Go(func() { _ = registry.Serve(ctx) })
	waitFor(t, "the process is registered", registerLimit, func() bool { return isRegistered(server, "self") })
	if lease := server.Items(feed.MemberPrefix)[feed.MemberPrefix+"self"].Lease; lease == client.lost {
		t.Fatalf("registered under lease %d of another process", lease)
	}
}
