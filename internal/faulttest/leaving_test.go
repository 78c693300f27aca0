package faulttest

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Longest times for which a target that is out of service may still get new work.
const (
	// notifiedLimit applies from the time at which an agent receives a stop signal or
	// a drain request, after which it reports that its target is leaving.
	notifiedLimit = 3 * time.Second
	// vmListLimit applies from the time at which the platform marks the VM as leaving
	// or removes it, while the agent does not report that its target is leaving.
	vmListLimit = 5 * time.Second
	// unreachableLimit applies from the time at which a target becomes unreachable.
	unreachableLimit = decision.MaxHeartbeatTimeout + time.Second
)

// lookupTraffic counts, by outcome, the idempotent calls that callers send
// continuously through all entries.
type lookupTraffic struct {
	failed, succeeded atomic.Int64
	// stopAndWait stops the callers and waits until they have ended.
	stopAndWait func()
}

func (f *fleet) startLookups(callers int) *lookupTraffic { return f.startPacedLookups(callers, 0) }

// startPacedLookups starts callers that pause after each call.
func (f *fleet) startPacedLookups(callers int, pause time.Duration) *lookupTraffic {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &lookupTraffic{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				addr := f.entries[i%len(f.entries)].addr
				status, _, _, err := invokeWithKey(ctx, addr, http.MethodGet, "/s/booking/visits/1", "", "")
				switch {
				case ctx.Err() != nil:
				case err != nil || status != http.StatusOK:
					traffic.failed.Add(1)
				default:
					traffic.succeeded.Add(1)
				}
				time.Sleep(pause)
			}
		}()
	}
	traffic.stopAndWait = func() {
		cancel()
		wg.Wait()
	}
	f.t.Cleanup(traffic.stopAndWait)
	return traffic
}

// lastIncrease polls a stand-in's count of the calls that ran for the given duration
// and returns the time from the start of polling to the last change of the count.
func lastIncrease(count func() int, duration time.Duration) time.Duration {
	start := time.Now()
	var last time.Duration
	previous := count()
	for time.Since(start) < duration {
		time.Sleep(2 * time.Millisecond)
		if current := count(); current != previous {
			previous = current
			last = time.Since(start)
		}
	}
	return last
}

// TestLeavingTargetGetsNoNewWork guards against work sent to a target that is leaving.
// It takes a target out of service under load: by a graceful stop, by a drain and
// through the VM list. The entries must route work elsewhere in time and no call may
// fail. The number of calls that the target's
// service ran shows when the target received its last call.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	client := peer.NewClient(http.DefaultClient, peer.Keys{fleetKey})
	for _, tc := range []struct {
		name  string
		leave func(f *fleet, tg *target)
		limit time.Duration
	}{
		{"stop", func(_ *fleet, tg *target) { tg.agent.stop() }, notifiedLimit},
		{"drain by the operator", func(f *fleet, tg *target) {
			if err := client.Drain(context.Background(), tg.agent.addr, true); err != nil {
				f.t.Error(err)
			}
		}, notifiedLimit},
		{"VM list only, leaving", func(f *fleet, tg *target) {
			listed := tg.listedVM
			listed.State = vmlist.VMLeaving
			f.vmList.Put(listed)
		}, vmListLimit},
		{"VM list only, removed", func(f *fleet, tg *target) { f.vmList.Remove(tg.listedVM.Name) }, vmListLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{plainServices: 3, entries: 2, plainDelay: 2 * time.Millisecond, vmListLag: 500 * time.Millisecond})
			traffic := f.startLookups(6)
			tg := f.targets[0]
			eventually(t, startTimeout, "the target receives work", func() bool { return tg.plainService.Lookups() > 20 })
			tc.leave(f, tg)
			lastNewWork := lastIncrease(tg.plainService.Lookups, tc.limit+time.Second)
			traffic.stopAndWait()
			t.Logf("last new work after %v; %d calls succeeded, %d failed", lastNewWork.Round(time.Millisecond), traffic.succeeded.Load(), traffic.failed.Load())
			if lastNewWork > tc.limit {
				t.Errorf("new work started %v after the target left, limit %v", lastNewWork, tc.limit)
			}
			if traffic.failed.Load() > 0 {
				t.Errorf("%d calls failed", traffic.failed.Load())
			}
		})
	}
}

// lastRouted returns the time from start to the last routing decision of an
// entry for the target.
func (f *fleet) lastRouted(vmName string, start time.Time) time.Duration {
	var last time.Duration
	for _, e := range f.entries {
		for _, line := range e.grepLog(`"kind":"route"`, `"target":"`+vmName+`"`) {
			var record struct {
				Time time.Time `json:"ts"`
			}
			if json.Unmarshal([]byte(line), &record) == nil {
				last = max(last, record.Time.Sub(start))
			}
		}
	}
	return last
}

// TestUnreachableTargetGetsNoNewWork guards against work sent to a target whose agent
// no longer answers. It pauses one agent and, after that one has recovered, blocks the
// replies of another. The VM list shows both as live throughout, so that the entries
// must detect the missing heartbeats. They must stop using each target within
// unreachableLimit and use it again after it recovers.
func TestUnreachableTargetGetsNoNewWork(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 4, entries: 2, plainDelay: 2 * time.Millisecond})
	traffic := f.startLookups(6)
	for i, makeUnreachable := range []func(*target) (recoverTarget func()){
		func(tg *target) func() {
			tg.agent.pause()
			return func() {
				tg.agent.requirePaused()
				tg.agent.resume()
			}
		},
		func(tg *target) func() { return tg.inbound.addToxic("timeout", "downstream", `"timeout":0`) },
	} {
		tg := f.targets[i]
		eventually(t, startTimeout, "the target receives work", func() bool { return len(f.entries[0].grepLog(`"target":"`+tg.listedVM.Name+`"`)) > 20 })
		start := time.Now()
		recoverTarget := makeUnreachable(tg)
		time.Sleep(unreachableLimit + time.Second)
		lastRouted := f.lastRouted(tg.listedVM.Name, start)
		t.Logf("last routed to after %v; %d calls succeeded, %d failed", lastRouted.Round(time.Millisecond), traffic.succeeded.Load(), traffic.failed.Load())
		if lastRouted > unreachableLimit {
			t.Errorf("the unreachable target was routed to after %v, limit %v", lastRouted, unreachableLimit)
		}
		lookupsBefore := tg.plainService.Lookups()
		recoverTarget()
		eventually(t, startTimeout, "the target receives work again", func() bool { return tg.plainService.Lookups() > lookupsBefore+20 })
	}
}

// TestEmptyVMListDoesNotStopWork guards against a faulty, empty VM list that takes live
// targets out of service. It removes all targets from the VM list while every agent
// sends heartbeats. The entry must keep using the targets.
func TestEmptyVMListDoesNotStopWork(t *testing.T) {
	f := startFleet(t, fleetOptions{plainServices: 5, entries: 1, plainDelay: time.Millisecond})
	traffic := f.startLookups(2)
	for _, tg := range f.targets {
		f.vmList.Remove(tg.listedVM.Name)
	}
	time.Sleep(3 * time.Second)
	succeededBefore := traffic.succeeded.Load()
	eventually(t, startTimeout, "calls still succeed", func() bool { return traffic.succeeded.Load() > succeededBefore+100 })
	traffic.stopAndWait()
	if failed := traffic.failed.Load(); failed > 0 {
		t.Errorf("%d calls failed while the VM list was empty", failed)
	}
	// While the VM list shows no targets, one without heartbeats must still become
	// unavailable.
	f.targets[0].agent.kill()
	eventually(t, startTimeout, "the entry has four usable targets", func() bool { return f.hasUsableTargets(f.entries[0], 4) })
}

// TestSlowLinkDoesNotMarkTargetUnreachable slows the link between the entries and
// a live target, so that heartbeats arrive late, and counts how often an entry marks
// the target unreachable. No call may fail.
func TestSlowLinkDoesNotMarkTargetUnreachable(t *testing.T) {
	const observationTime = 6 * time.Second
	for _, tc := range []struct {
		name, kind, attributes string
		// falsePositivesAllowed is true for a link that is too slow to guarantee that a
		// live target is not marked unreachable.
		falsePositivesAllowed bool
	}{
		{"between regions", "latency", `"latency":30,"jitter":20`, false},
		{"congested", "latency", `"latency":400,"jitter":400`, false},
		{"30 KB/s", "bandwidth", `"rate":30`, false},
		{"1 KB/s", "bandwidth", `"rate":1`, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{plainServices: 2, entries: 2, plainDelay: 2 * time.Millisecond})
			f.targets[0].inbound.addToxic(tc.kind, "downstream", tc.attributes)
			f.targets[0].inbound.addToxic(tc.kind, "upstream", tc.attributes)
			traffic := f.startLookups(4)
			time.Sleep(observationTime)
			traffic.stopAndWait()
			falsePositives := 0
			for _, e := range f.entries {
				falsePositives += len(e.grepLog(`"msg":"target gone"`))
			}
			t.Logf("%d false positives in %v at 2 entries; %d calls succeeded, %d failed", falsePositives, observationTime, traffic.succeeded.Load(), traffic.failed.Load())
			if falsePositives > 0 && !tc.falsePositivesAllowed {
				t.Errorf("a live target was marked unreachable %d times", falsePositives)
			}
			if failed := traffic.failed.Load(); failed > 0 {
				t.Errorf("%d calls failed", failed)
			}
		})
	}
}
