package faulttest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// measureCapacity enables the measurements for docs/CAPACITY.md. They check no
// result and are skipped by default.
var measureCapacity = flag.Bool("capacity", false, "measure the slopes of docs/CAPACITY.md")

// subsetSettleTime is how long an entry may take after its start to choose the
// subset of targets that it uses.
const subsetSettleTime = 25 * time.Second

// measurementWindow is the time over which a daemon's resource use is measured.
const measurementWindow = 10 * time.Second

// skipUnlessMeasuring skips the test unless the flag -capacity is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measureCapacity {
		t.Skip("capacity measurements need the flag -capacity")
	}
}

// processUsage holds the CPU time and I/O of a process since its start, and its
// current resident memory.
type processUsage struct {
	cpu           time.Duration
	residentBytes int64
	// ioBytes counts the bytes of read and write system calls.
	ioBytes int64
}

// readUsage reads the usage of a process from /proc.
func readUsage(t *testing.T, pid int) processUsage {
	t.Helper()
	var u processUsage
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		t.Fatalf("no /proc/%d/task/*/schedstat: process ended or system without /proc", pid)
	}
	for _, file := range threads {
		content, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		ns, _ := strconv.ParseInt(strings.Fields(string(content))[0], 10, 64)
		u.cpu += time.Duration(ns)
	}
	u.residentBytes = procNumber(t, pid, "status", "VmRSS:") << 10
	u.ioBytes = procNumber(t, pid, "io", "rchar:") + procNumber(t, pid, "io", "wchar:")
	return u
}

// procNumber returns the number that follows the label in /proc/<pid>/<file>, 0 if
// the label is missing.
func procNumber(t *testing.T, pid int, file, label string) int64 {
	t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) > 1 && fields[0] == label {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n
		}
	}
	return 0
}

// linearFit collects points and fits a line through them.
type linearFit struct{ x, y []float64 }

func (f *linearFit) add(x, y float64) {
	f.x = append(f.x, x)
	f.y = append(f.y, y)
}

// solve returns the least-squares line and its root mean square error.
func (f *linearFit) solve() (intercept, gradient, rmse float64) {
	count := float64(len(f.x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range f.x {
		sumX += f.x[i]
		sumY += f.y[i]
		sumXX += f.x[i] * f.x[i]
		sumXY += f.x[i] * f.y[i]
	}
	gradient = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	intercept = (sumY - gradient*sumX) / count
	for i := range f.x {
		residual := f.y[i] - intercept - gradient*f.x[i]
		rmse += residual * residual / count
	}
	return intercept, gradient, math.Sqrt(rmse)
}

// report logs the fitted line of a quantity and its value at each x in predictAt.
func (f *linearFit) report(t *testing.T, quantity string, predictAt ...float64) {
	t.Helper()
	intercept, gradient, rmse := f.solve()
	line := fmt.Sprintf("FIT %s = %.4g + %.4g x, RMS error %.2g;", quantity, intercept, gradient, rmse)
	for _, x := range predictAt {
		line += fmt.Sprintf(" at %g: %.4g;", x, intercept+gradient*x)
	}
	t.Log(line)
}

// stubAgent answers like an agent, but runs within the test process, so that a test
// can start hundreds of them. Its first heartbeat on a connection carries its state,
// each later one a different random load.
type stubAgent struct{ state peer.State }

func (s *stubAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(peer.HeaderConfigVersion, strconv.FormatInt(s.state.ConfigVersion, 10))
	if r.URL.Path != peer.PathHeartbeats {
		_ = json.NewEncoder(w).Encode(s.state)
		return
	}
	periodMillis, _ := strconv.Atoi(r.URL.Query().Get("period_ms"))
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	heartbeat := peer.Heartbeat{State: &s.state}
	for {
		if encoder.Encode(heartbeat) != nil || controller.Flush() != nil {
			return
		}
		load := peer.Load{
			Running: rand.IntN(64), Queued: rand.IntN(64), QueuedPromptTokens: rand.IntN(100000), KVTokens: rand.IntN(1000000),
			KVCapacityTokens: 1000000, Slots: 64, LatencyMicros: rand.Int64N(50000),
		}
		heartbeat = peer.Heartbeat{Load: &load}
		select {
		case <-time.After(time.Duration(periodMillis) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// stubFleet is a large fleet of stub agents and stub entries with a few real
// processes.
type stubFleet struct {
	t           *testing.T
	store       *standin.Store
	storeClient kvstore.Store
	vmList      *standin.VMList
	// storeURL and vmListURL are the addresses in the settings of the real processes.
	storeURL, vmListURL string
	// version is the configuration version published last.
	version int64
}

// locationOf spreads processes over 7 data centres in 2 regions.
func locationOf(i int) (datacentre, region string) {
	return fmt.Sprintf("c%d", i%7), fmt.Sprintf("r%d", i%7/4)
}

// newStubFleet starts the stand-ins of the store and the VM list and publishes a
// configuration with the given number of workspaces.
func newStubFleet(t *testing.T, workspaces int) *stubFleet {
	t.Helper()
	f := &stubFleet{t: t, store: standin.NewStore(), vmList: standin.NewVMList(0)}
	f.storeURL = "http://" + serve(t, f.store.Handler())
	f.vmListURL = "http://" + serve(t, f.vmList.Handler())
	f.storeClient = kvstore.NewEtcdStore(f.storeURL, &http.Client{}, 5*time.Second)
	f.publish(workspaces, 0)
	return f
}

// publish publishes a configuration with the given number of workspaces, each in
// a file of its own. extraWeight is added to the weight of the first workspace, so
// that different values yield different configurations.
func (f *stubFleet) publish(workspaces, extraWeight int) {
	f.t.Helper()
	docs := testDocuments()
	for i := range workspaces {
		name := fmt.Sprintf("customers/customer-%04d/quetzalglade.ini", i)
		weight := 1
		if i == 0 {
			weight += extraWeight
		}
		docs = append(docs, config.Document{Name: name, Workspaces: []config.Workspace{{
			Name: fmt.Sprintf("customer-%04d", i), Weight: weight, KeyHashes: []string{config.HashKey(name)}, Services: []string{"guide", "triage"},
		}}})
	}
	manifest, err := operator.Publish(context.Background(), f.storeClient, docs, "capacity", time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	f.version = manifest.Version
}

// addStubAgents adds n stub agents, each of which serves one of five models.
func (f *stubFleet) addStubAgents(n int) {
	for i := range n {
		state := peer.State{
			VM: fmt.Sprintf("target-%03d", i), Incarnation: fmt.Sprintf("%012x", i), Ready: true, ConfigVersion: f.version,
			Role: "model", Models: []string{fmt.Sprintf("model-%d", i%5)},
		}
		state.Datacentre, state.Region = locationOf(i)
		addr := serve(f.t, &stubAgent{state})
		f.vmList.Put(vmlist.VM{Name: state.VM, Addr: addr, Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: state.Datacentre, Region: state.Region})
	}
}

// addStubEntries starts n stub entries and adds them to the VM list. They serve only
// the configuration and the VM list.
func (f *stubFleet) addStubEntries(n int) {
	syncer := configsync.New(configsync.Options{Store: f.storeClient, VMs: func() []vmlist.VM { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = syncer.Serve(ctx) }()
	f.t.Cleanup(cancel)
	mux := http.NewServeMux()
	syncer.Register(mux)
	list := vmlist.NewClient(f.vmListURL, &http.Client{})
	mux.HandleFunc("GET "+peer.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, _ := list.List(r.Context())
		reply := peer.VMs{Digest: peer.DigestVMs(vms)}
		if r.URL.Query().Get("digest") != reply.Digest {
			reply.VMs = vms
		}
		_ = json.NewEncoder(w).Encode(reply)
	})
	for i := range n {
		server := httptest.NewServer(peer.WithVersionExchange(syncer, mux))
		f.t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		datacentre, region := locationOf(i)
		f.vmList.Put(vmlist.VM{Name: fmt.Sprintf("stub-entry-%02d", i), Addr: server.Listener.Addr().String(), Role: vmlist.RoleEntry, State: vmlist.VMLive, Datacentre: datacentre, Region: region})
	}
}

// startEntry starts a real entry and waits until it is ready.
func (f *stubFleet) startEntry(vmName, storeURL string) *process {
	addr := freeAddr(f.t)
	settingsText := fmt.Sprintf("[process]\nvm = %s\nlisten = %s\ndatacentre = c0\nregion = r0\nkeys = %s\nbalancer_grace = 50ms\n[platform]\nstore = %s\nvm_list = %s\n",
		vmName, addr, fleetKey, storeURL, f.vmListURL)
	// The daemons run on small VMs: limit the entry to 2 CPUs.
	f.t.Setenv("GOMAXPROCS", "2")
	entry := startDaemon(f.t, "quetzalglade-entry", vmName, addr, settingsText)
	f.vmList.Put(vmlist.VM{Name: vmName, Addr: addr, Role: vmlist.RoleEntry, State: vmlist.VMLive, Datacentre: "c0", Region: "r0"})
	eventually(f.t, startTimeout, vmName+" is ready", entry.ready)
	return entry
}

// measureIdle returns the CPU use (100 is one CPU) and the I/O rate of a process
// over measurementWindow, and its resident memory at the end.
func measureIdle(t *testing.T, p *process) (cpuPercent, kilobytesPerSecond, residentMB float64) {
	t.Helper()
	before := readUsage(t, p.pid())
	time.Sleep(measurementWindow)
	after := readUsage(t, p.pid())
	seconds := measurementWindow.Seconds()
	return 100 * (after.cpu - before.cpu).Seconds() / seconds, float64(after.ioBytes-before.ioBytes) / 1000 / seconds, float64(after.residentBytes) / (1 << 20)
}

// TestCapacityEntryControl measures the overhead of heartbeats, configuration and
// VM list requests at an idle entry for fleets of increasing size, with one other
// entry for every nine targets, but at least five.
func TestCapacityEntryControl(t *testing.T) {
	skipUnlessMeasuring(t)
	var cpuFit, trafficFit, memoryFit linearFit
	for _, targets := range []int{45, 90, 180, 350} {
		f := newStubFleet(t, 1400)
		f.addStubAgents(targets)
		f.addStubEntries(max(targets/9, 5))
		p := f.startEntry("entry-x", f.storeURL)
		time.Sleep(subsetSettleTime)
		state, err := peer.NewClient(http.DefaultClient, peer.Keys{fleetKey}).State(context.Background(), p.addr)
		if err != nil {
			t.Fatal(err)
		}
		cpuPercent, kilobytesPerSecond, residentMB := measureIdle(t, p)
		t.Logf("POINT targets %d: subset of %d, CPU %.2f %%, %.1f KB/s, %.0f MB resident", targets, state.UsableTargets, cpuPercent, kilobytesPerSecond, residentMB)
		cpuFit.add(float64(targets), cpuPercent)
		trafficFit.add(float64(targets), kilobytesPerSecond)
		memoryFit.add(float64(targets), residentMB)
		p.kill()
	}
	cpuFit.report(t, "entry control CPU %", 350, 700, 3500)
	trafficFit.report(t, "entry control KB/s", 350, 700, 3500)
	memoryFit.report(t, "entry resident MB", 350, 700, 3500)
}
