package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// TestCapacityAgentControl measures the overhead of heartbeats at an idle agent
// for an increasing number of subscribed entries.
func TestCapacityAgentControl(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Setenv("GOMAXPROCS", "2")
	f := startFleet(t, fleetOptions{plainServices: 1, entries: 1})
	p := f.targets[0].agent
	var cpuFit, trafficFit, memoryFit linearFit
	client := peer.NewClient(&http.Client{}, peer.Keys{fleetKey})
	subscribers := 1
	for _, entries := range []int{1, 4, 8, 16, 32} {
		for ; subscribers < entries; subscribers++ {
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go func() {
				_ = client.Heartbeats(ctx, p.addr, time.Second, decision.MaxHeartbeatTimeout, func(peer.Heartbeat) {})
			}()
		}
		time.Sleep(time.Second)
		cpuPercent, kilobytesPerSecond, residentMB := measureIdle(t, p)
		t.Logf("POINT entries %d: CPU %.2f %%, %.2f KB/s, %.0f MB resident", entries, cpuPercent, kilobytesPerSecond, residentMB)
		cpuFit.add(float64(entries), cpuPercent)
		trafficFit.add(float64(entries), kilobytesPerSecond)
		memoryFit.add(float64(entries), residentMB)
	}
	cpuFit.report(t, "agent control CPU % by subscribed entries", 6, 12)
	trafficFit.report(t, "agent control KB/s by subscribed entries", 6, 12)
	memoryFit.report(t, "agent resident MB by subscribed entries", 6, 12)
}

// TestCapacityConfiguration measures the cost of one configuration change at an
// entry for an increasing number of workspaces, each in a file of its own.
func TestCapacityConfiguration(t *testing.T) {
	skipUnlessMeasuring(t)
	const changes = 10
	var cpuFit, trafficFit, memoryFit, delayFit linearFit
	for _, workspaces := range []int{175, 350, 700, 1400} {
		f := newStubFleet(t, workspaces)
		f.addStubAgents(5)
		f.addStubEntries(5)
		p := f.startEntry("entry-x", f.storeURL)
		writesBefore := f.store.Counts().Writes
		before := readUsage(t, p.pid())
		start := time.Now()
		var totalDelay time.Duration
		for i := range changes {
			f.publish(workspaces, i+1)
			published := time.Now()
			eventually(t, startTimeout, "the configuration is in force", func() bool { return len(p.grepLog("in force", fmt.Sprintf(`"config_version":%d`, f.version))) > 0 })
			totalDelay += time.Since(published)
		}
		after := readUsage(t, p.pid())
		// Subtract what an entry uses without changes, 0.012 (1.2 %) of one CPU.
		cpuMillis := (after.cpu - before.cpu - time.Duration(0.012*float64(time.Since(start)))).Seconds() * 1000 / changes
		kilobytes := float64(after.ioBytes-before.ioBytes) / 1000 / changes
		t.Logf("POINT workspaces %d: %.1f ms CPU and %.1f KB per change, in force after %v, %d store writes per change, %.0f MB resident",
			workspaces, cpuMillis, kilobytes, (totalDelay / changes).Round(time.Millisecond), (f.store.Counts().Writes-writesBefore)/changes, float64(after.residentBytes)/(1<<20))
		cpuFit.add(float64(workspaces), cpuMillis)
		trafficFit.add(float64(workspaces), kilobytes)
		memoryFit.add(float64(workspaces), float64(after.residentBytes)/(1<<20))
		delayFit.add(float64(workspaces), (totalDelay / changes).Seconds())
		p.kill()
	}
	cpuFit.report(t, "CPU ms per change by workspaces", 1400, 14000)
	trafficFit.report(t, "KB per change by workspaces", 1400, 14000)
	memoryFit.report(t, "entry resident MB by workspaces", 1400, 14000)
	delayFit.report(t, "seconds until in force by workspaces", 1400, 14000)
}

// TestCapacityStartAndOutage starts all processes of a fleet at once and then
// makes the store unavailable for 10 s, for fleets of increasing size. It
// measures the time until the configuration is in force everywhere, and the store
// calls of the start and of the first 2 s after the outage.
func TestCapacityStartAndOutage(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Setenv("GOMAXPROCS", "2")
	var startTimeFit, startCallsFit, recoveryCallsFit linearFit
	for _, fleetSize := range []int{10, 20, 40, 80} {
		f := newStubFleet(t, 1400)
		serviceURL := "http://" + serve(t, standin.NewPlain(0).Handler())
		callsBefore := totalCalls(f.store.Counts())
		start := time.Now()
		var processes []*process
		for i := range fleetSize {
			processes = append(processes, f.startProcess(i, fleetSize, serviceURL))
		}
		eventually(t, time.Minute, "the configuration is in force at all processes", func() bool {
			for _, p := range processes {
				if configVersion(context.Background(), p) != f.version {
					return false
				}
			}
			return true
		})
		elapsed := time.Since(start)
		startCalls := totalCalls(f.store.Counts()) - callsBefore
		time.Sleep(5 * time.Second)
		f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
		time.Sleep(10 * time.Second)
		callsBefore = totalCalls(f.store.Counts())
		f.store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * time.Second)
		recoveryCalls := totalCalls(f.store.Counts()) - callsBefore
		t.Logf("POINT processes %d: in force everywhere after %v with %d store calls; %d store calls in the 2 s after an outage of 10 s",
			fleetSize, elapsed.Round(10*time.Millisecond), startCalls, recoveryCalls)
		startTimeFit.add(float64(fleetSize), elapsed.Seconds())
		startCallsFit.add(float64(fleetSize), float64(startCalls))
		recoveryCallsFit.add(float64(fleetSize), float64(recoveryCalls))
		for _, p := range processes {
			p.kill()
		}
	}
	startTimeFit.report(t, "seconds from start to in force by processes", 390)
	startCallsFit.report(t, "store calls during start by processes", 390)
	recoveryCallsFit.report(t, "store calls in 2 s after an outage by processes", 390)
}

// totalCalls returns the number of store calls of all kinds.
func totalCalls(c standin.StoreCounts) int64 { return c.Reads + c.Writes + c.Leases + c.Watches }

// startProcess starts process i, counted from 0, of a fleet of fleetSize processes.
// Every fifth process is an entry, the others are agents. All agents use the plain
// service at serviceURL.
func (f *stubFleet) startProcess(i, fleetSize int, serviceURL string) *process {
	addr := freeAddr(f.t)
	datacentre, region := locationOf(i / 5)
	vm := vmlist.VM{Addr: addr, State: vmlist.VMLive, Datacentre: datacentre, Region: region}
	processSection := func(name string) string {
		return fmt.Sprintf("[process]\nvm = %s\nlisten = %s\ndatacentre = %s\nregion = %s\nkeys = %s\n", name, addr, datacentre, region, fleetKey)
	}
	if i%5 == 0 {
		vm.Name, vm.Role = fmt.Sprintf("entry-%d-%d", fleetSize, i), vmlist.RoleEntry
		f.vmList.Put(vm)
		settingsText := processSection(vm.Name) + fmt.Sprintf("balancer_grace = 50ms\n[platform]\nstore = %s\nvm_list = %s\n", f.storeURL, f.vmListURL)
		return startDaemon(f.t, "quetzalglade-entry", vm.Name, addr, settingsText)
	}
	vm.Name, vm.Role = fmt.Sprintf("target-%d-%d", fleetSize, i), vmlist.RoleTarget
	f.vmList.Put(vm)
	settingsText := processSection(vm.Name) + fmt.Sprintf("[target]\nplain = %s\nrole = booking\n[platform]\nstore = %s\n", serviceURL, f.storeURL)
	return startDaemon(f.t, "quetzalglade-agent", vm.Name, addr, settingsText)
}

// TestCapacityTraffic measures the cost of tokens and calls at an entry and an
// agent for increasing concurrency.
func TestCapacityTraffic(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Setenv("GOMAXPROCS", "2")
	engine := fastEngineOptions()
	engine.StepBase = 10 * time.Millisecond
	engine.Blocks = 1 << 20
	engine.MaxBatch = 256
	f := startFleet(t, fleetOptions{engines: 1, plainServices: 1, entries: 1, engineOptions: engine})
	entry, modelAgent, plainAgent := f.entries[0], f.targets[0].agent, f.targets[1].agent
	var entryCPUFit, agentCPUFit, entryTrafficFit linearFit
	for _, streams := range []int{4, 8, 16, 32} {
		tokensPerSecond, entryUsage, agentUsage := f.measureStreams(t, streams, entry, modelAgent)
		t.Logf("POINT streams %d: %.0f tokens/s, entry CPU %.1f %%, agent CPU %.1f %%, entry %.0f KB/s", streams, tokensPerSecond, 100*entryUsage.cpu.Seconds(), 100*agentUsage.cpu.Seconds(), float64(entryUsage.ioBytes)/1000)
		entryCPUFit.add(tokensPerSecond, 100*entryUsage.cpu.Seconds())
		agentCPUFit.add(tokensPerSecond, 100*agentUsage.cpu.Seconds())
		entryTrafficFit.add(tokensPerSecond, float64(entryUsage.ioBytes)/1000)
	}
	entryCPUFit.report(t, "entry CPU % by tokens/s", 37500)
	agentCPUFit.report(t, "agent CPU % by tokens/s", 2500, 4300)
	entryTrafficFit.report(t, "entry KB/s by tokens/s", 37500)
	var entryCallFit, agentCallFit linearFit
	for _, callers := range []int{1, 2, 4, 8} {
		entryBefore, agentBefore := readUsage(t, entry.pid()), readUsage(t, plainAgent.pid())
		// The calls are measured for 5 s; a factor of 20 turns CPU seconds in this time
		// into percent of one CPU.
		traffic := f.startPacedLookups(callers, 20*time.Millisecond)
		time.Sleep(5 * time.Second)
		traffic.stopAndWait()
		callsPerSecond := float64(traffic.succeeded.Load()) / 5
		entryUsage, agentUsage := readUsage(t, entry.pid()), readUsage(t, plainAgent.pid())
		t.Logf("POINT callers %d: %.0f calls/s, entry CPU %.1f %%, agent CPU %.1f %%", callers, callsPerSecond, 20*(entryUsage.cpu-entryBefore.cpu).Seconds(), 20*(agentUsage.cpu-agentBefore.cpu).Seconds())
		entryCallFit.add(callsPerSecond, 20*(entryUsage.cpu-entryBefore.cpu).Seconds())
		agentCallFit.add(callsPerSecond, 20*(agentUsage.cpu-agentBefore.cpu).Seconds())
	}
	entryCallFit.report(t, "entry CPU % by calls/s", 148)
	agentCallFit.report(t, "agent CPU % by calls/s", 17)
}

// measureStreams runs concurrent streams and, from one second after their start,
// measures for five seconds. It returns the tokens per second and the CPU time and
// I/O per second of the entry and the agent.
func (f *fleet) measureStreams(t *testing.T, streams int, entry, modelAgent *process) (tokensPerSecond float64, entryUsage, agentUsage processUsage) {
	t.Helper()
	const window = 5 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			generate(ctx, entry.addr, "guide", prompt(fmt.Sprintf("stream %d", i), 5000), nil, nil)
		}()
	}
	time.Sleep(time.Second)
	tokensBefore := f.targets[0].engine.Stats().OutputTokens
	entryBefore, agentBefore := readUsage(t, entry.pid()), readUsage(t, modelAgent.pid())
	time.Sleep(window)
	entryUsage, agentUsage = readUsage(t, entry.pid()), readUsage(t, modelAgent.pid())
	tokensPerSecond = float64(f.targets[0].engine.Stats().OutputTokens-tokensBefore) / window.Seconds()
	cancel()
	wg.Wait()
	perSecond := func(after, before processUsage) processUsage {
		return processUsage{cpu: (after.cpu - before.cpu) / 5, ioBytes: (after.ioBytes - before.ioBytes) / 5}
	}
	return tokensPerSecond, perSecond(entryUsage, entryBefore), perSecond(agentUsage, agentBefore)
}
