package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// fakeFleet is a VM list and the agents at its addresses.
type fakeFleet struct {
	mu  sync.Mutex
	vms []vmlist.VM
	// agents maps addresses to the states of the agents that respond there.
	agents map[string]peer.State
	// streams and queries count the requests by address.
	streams,
	queries map[string]int
}

var errRefused = errors.New("connection refused")

func (f *fakeFleet) List(context.Context) ([]vmlist.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]vmlist.VM(nil), f.vms...), nil
}

func (f *fakeFleet) State(_ context.Context, addr string) (peer.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries[addr]++
	st, ok := f.agents[addr]
	if !ok {
		return st, errRefused
	}
	return st, nil
}

func (f *fakeFleet) Heartbeats(ctx context.Context, addr string, period, _ time.Duration, each func(peer.Heartbeat)) error {
	f.mu.Lock()
	f.streams[addr]++
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.mu.Lock()
		st, ok := f.agents[addr]
		f.mu.Unlock()
		if !ok {
			return errRefused
		}
		each(peer.Heartbeat{State: &st})
		sleep(ctx, min(period, 20*time.Millisecond))
	}
	return ctx.Err()
}

func (f *fakeFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFleet) streamCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

// newFakeFleet returns a fleet of n targets, whose models alternate, and the
// given number of entries.
func newFakeFleet(n, entries int, models ...string) *fakeFleet {
	f := &fakeFleet{agents: map[string]peer.State{}, streams: map[string]int{}, queries: map[string]int{}}
	for i := range n {
		vm := vmlist.VM{
			Name: fmt.Sprintf("target-%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Role: vmlist.RoleTarget, State: vmlist.VMLive,
			Datacentre: fmt.Sprintf("c%d", i%7), Region: fmt.Sprintf("r%d", i%7/4),
		}
		f.vms = append(f.vms, vm)
		f.agents[vm.Addr] = peer.State{VM: vm.Name, Incarnation: "first", Ready: true, Models: []string{models[i%len(models)]}}
	}
	for i := range entries {
		f.vms = append(f.vms, vmlist.VM{
			Name: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("10.0.1.%d:1", i), Role: vmlist.RoleEntry, State: vmlist.VMLive,
			Datacentre: fmt.Sprintf("c%d", i%7), Region: fmt.Sprintf("r%d", i%7/4),
		})
	}
	return f
}

// track starts a tracker in the process entry-0.
func (f *fakeFleet) track(t *testing.T) *Tracker {
	t.Helper()
	tr := New(Options{List: f, Peers: f, Self: decision.Location{VM: "entry-0", Datacentre: "c0", Region: "r0"}, ListPeriod: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tr.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return tr
}

const waitTimeout = 20 * time.Second

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func usableCount(tr *Tracker) int {
	n := 0
	snapshot := tr.Snapshot()
	for i := range snapshot.Members {
		if snapshot.Members[i].Usable(time.Now()) {
			n++
		}
	}
	return n
}

// TestReplacedTarget guards against state or load reports of one agent process
// being used for another, when a process restarts, when a VM changes its address and
// when another VM takes over the address.
func TestReplacedTarget(t *testing.T) {
	f := newFakeFleet(2, 1, "m")
	tr := f.track(t)
	waitUntil(t, "two usable targets", func() bool { return usableCount(tr) == 2 })
	incarnation := func() string { return tr.Snapshot().Find("target-0").State.Incarnation }

	// Another agent process starts on the same VM at the same address.
	f.update(func() {
		st := f.agents["10.0.0.0:1"]
		st.Incarnation = "second"
		f.agents["10.0.0.0:1"] = st
	})
	waitUntil(t, "second incarnation", func() bool { return incarnation() == "second" })
	if !tr.Snapshot().Find("target-0").Replaced("first", time.Now()) {
		t.Error("Replaced is false for the first incarnation")
	}
	tr.Report("target-0", "first", peer.Load{Running: 99})
	tr.Report("target-0", "second", peer.Load{Running: 1})
	time.Sleep(2 * publishPeriod)
	if n := tr.Snapshot().Find("target-0").State.Load.Running; n == 99 {
		t.Error("a load report of the first incarnation was applied to the second")
	}

	// The VM moves to another address that does not respond yet. State of the old
	// process must not be used, although that process still responds.
	f.update(func() { f.vms[0].Addr = "10.0.9.9:1" })
	waitUntil(t, "the old process becomes unusable", func() bool { return usableCount(tr) == 1 })
	f.update(func() {
		f.agents["10.0.9.9:1"] = peer.State{VM: "target-0", Incarnation: "third", Ready: true, Models: []string{"m"}}
	})
	waitUntil(t, "third incarnation", func() bool { return usableCount(tr) == 2 && incarnation() == "third" })

	// Another VM takes over the address.
	f.update(func() {
		f.agents["10.0.9.9:1"] = peer.State{VM: "target-9", Incarnation: "x", Ready: true, Models: []string{"m"}}
	})
	waitUntil(t, "the other VM is not usable", func() bool { return usableCount(tr) == 1 })
}

// TestAgentStateTakesPrecedenceOverList guards against work for targets that have
// crashed or are draining while the VM list, which lags behind, still shows them as
// live. Targets that the list shows as leaving or no longer contains get no work
// either.
func TestAgentStateTakesPrecedenceOverList(t *testing.T) {
	f := newFakeFleet(6, 1, "m")
	tr := f.track(t)
	waitUntil(t, "six usable targets", func() bool { return usableCount(tr) == 6 })
	f.update(func() { delete(f.agents, f.vms[0].Addr) })
	waitUntil(t, "one unusable, its agent has crashed but is listed", func() bool { return usableCount(tr) == 5 })
	f.update(func() {
		st := f.agents[f.vms[1].Addr]
		st.Draining = true
		f.agents[f.vms[1].Addr] = st
	})
	waitUntil(t, "two unusable, one is draining but listed as live", func() bool { return usableCount(tr) == 4 })
	f.update(func() { f.vms[2].State = vmlist.VMLeaving })
	waitUntil(t, "three unusable, one is listed as leaving", func() bool { return usableCount(tr) == 3 })
	delisted := f.vms[3]
	f.update(func() { f.vms = append(f.vms[:3], f.vms[4:]...) })
	waitUntil(t, "four unusable, one is no longer listed", func() bool { return usableCount(tr) == 2 })
	if tr.Snapshot().Find(delisted.Name) == nil {
		t.Error("Find returns nil for a delisted VM whose agent responds")
	}
}

// TestSubsetOfLargeFleet guards against heartbeat streams to all targets of a large
// fleet, and against a subset that misses a rare model or keeps failed targets.
func TestSubsetOfLargeFleet(t *testing.T) {
	Convey("An entry of a large fleet receives heartbeats from a subset of each group", t, func() {
		f := newFakeFleet(210, 24, "m1", "m2", "m3")
		f.vms[200].Datacentre = "c6"
		rareVM := f.vms[200]
		f.agents[rareVM.Addr] = peer.State{VM: rareVM.Name, Incarnation: "first", Ready: true, Models: []string{"rare"}}
		tr := f.track(t)
		waitUntil(t, "targets of each group", func() bool {
			groups := map[string]int{}
			snapshot := tr.Snapshot()
			for i := range snapshot.Members {
				groups[snapshot.Members[i].State.Models[0]]++
			}
			return groups["m1"] >= 8 && groups["m2"] >= 8 && groups["m3"] >= 8 && groups["rare"] == 1
		})
		So(f.streamCount(), ShouldBeLessThan, 120)
		So(len(tr.VMs()), ShouldEqual, 234)
		found := 0
		for _, vm := range f.vms {
			if vm.Role == vmlist.RoleTarget && tr.Snapshot().Find(vm.Name) != nil {
				found++
			}
		}
		So(found, ShouldEqual, 210)
		Convey("and selects other targets when these fail", func() {
			snapshot := tr.Snapshot()
			f.update(func() {
				for i := range snapshot.Members {
					delete(f.agents, snapshot.Members[i].VM.Addr)
				}
			})
			waitUntil(t, "16 other usable targets", func() bool { return usableCount(tr) >= 16 })
		})
	})
}
