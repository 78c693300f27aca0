// Package soak runs gateways as real processes under signals, restarts and changes of the
// configuration, with clients that keep their connections open, and checks what clients
// received against what workers did.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/platform"
)

// Flags of a run by hand.
var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds")
	duration  = flag.Duration("soak.time", 20*time.Second, "duration of the load of one seed")
	gateways  = flag.Int("soak.gateways", 4, "number of gateways")
	clients   = flag.Int("soak.clients", 48, "number of clients")
	kinds     = flag.String("soak.faults", "term,hup,config,pause,kill,leave", "disturbances, of them and stall, store, limits, routes, break, shed, double")
	// Shares of clients and requests that are harder to serve.
	large  = flag.Float64("soak.large", 0, "share of calls with large bodies and responses")
	leaves = flag.Float64("soak.leaves", 0, "share of requests whose client leaves early")
	slow   = flag.Bool("soak.slow", false, "every fifth client reads slowly")
)

// fleet is the environment of one run.
type fleet struct {
	t        *testing.T
	store    *platformtest.Store
	log      *workerLog
	gateways []*gateway
	random   *rand.Rand
	version  int

	mu      sync.Mutex
	workers map[string]*plainWorker
	started int
	events  []string
	begin   time.Time
	// engines serve the streams, nil if plain workers do.
	engines *engineFleet
	drills  *drills
	// versionRoutes makes each configuration add a route.
	versionRoutes bool
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%8.3f ", time.Since(f.begin).Seconds())+fmt.Sprintf(format, args...))
}

func newFleet(t *testing.T, seed uint64, size int, options ...func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, store: platformtest.NewStore(), log: newWorkerLog(), random: rand.New(rand.NewPCG(seed, 0)),
		workers: map[string]*plainWorker{}, begin: time.Now(), drills: newDrills(),
	}
	t.Cleanup(f.store.Close)
	for _, option := range options {
		option(f)
	}
	f.configure(func(object) {})
	if f.drills.leased {
		// Before the gateways start, which may take longer than a lease.
		go f.keepEntries(t.Context())
	}
	for range 3 {
		f.addWorker(callService)
		if f.engines == nil {
			f.addWorker(streamService)
		}
	}
	for i := range size {
		f.gateways = append(f.gateways, startGateway(t, fmt.Sprintf("edge-%d", i+1), f.store.Addr()))
	}
	for _, g := range f.gateways {
		f.awaitReady(g)
	}
	return f
}

// startLimit is the time within which a gateway becomes ready.
const startLimit = 30 * time.Second

// awaitReady waits until the load balancer uses a gateway.
func (f *fleet) awaitReady(g *gateway) {
	for deadline := time.Now().Add(startLimit); !g.isInRotation(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Errorf("%s is not ready after %v", g.name, startLimit)
			return
		}
	}
}

type object = map[string]any

// configure writes the next version of the configuration.
func (f *fleet) configure(change func(object)) {
	f.version++
	route := func(name, kind, service string, timeout time.Duration, attempts int) object {
		return object{
			"name": name, "hostname": hostname, "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "gap_aim_ms": 180,
		}
	}
	config := object{
		"version": f.version,
		"routes": []object{
			route("stream", "streaming", streamService, streamDeadline, 1),
			route("book", "non_idempotent", callService, callDeadline, 1), route("look", "idempotent", callService, callDeadline, 2),
		},
		"services": []object{{"name": streamService, "max_connections": 400}, {"name": callService, "max_connections": 400}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "ws-1", "api_keys": []string{apiKey}, "priority": 2}},
	}
	if f.engines != nil {
		config["services"].([]object)[0]["engine"] = engineOptions()
	}
	change(config)
	if f.versionRoutes {
		for version := max(firstVersionRoute, f.version-maxVersionRoutes); version <= f.version; version++ {
			config["routes"] = append(config["routes"].([]object), route(versionRoute(version), "idempotent", callService, callDeadline, 2))
		}
	}
	data, err := json.Marshal(config)
	if err != nil {
		f.t.Error(err)
	}
	f.drills.mu.Lock()
	// Before the write, so that a drill in between counts as one that loses it.
	f.drills.configured[f.version] = time.Now()
	f.drills.mu.Unlock()
	f.put(platform.ConfigKey, data)
}

// maxVersionRoutes is the number of earlier configurations whose routes the next one keeps.
const maxVersionRoutes = 20

func (f *fleet) addWorker(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	id := fmt.Sprintf("i-%d", f.started)
	w, err := startWorker(id, service, f.log)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.t.Cleanup(func() { _ = w.server.Close() })
	f.workers[id] = w
	f.put(platform.TargetPrefix+id, w.entry("ready"))
}

// drainNotice is the time between the entry that says that a worker leaves and the removal
// of the entry. The worker then serves on until the run ends.
const drainNotice = 3 * time.Second

// replaceWorker lets one worker leave and starts another one in its place.
func (f *fleet) replaceWorker() {
	f.mu.Lock()
	var leaving *plainWorker
	for _, w := range f.workers {
		leaving = w
		break
	}
	delete(f.workers, leaving.id)
	f.mu.Unlock()
	f.note("worker %s leaves", leaving.id)
	f.addWorker(leaving.service)
	f.drills.mu.Lock()
	f.drills.left[leaving.id] = time.Now()
	f.drills.mu.Unlock()
	f.put(platform.TargetPrefix+leaving.id, leaving.entry("draining"))
	time.AfterFunc(drainNotice, func() { f.remove(platform.TargetPrefix + leaving.id) })
}

// maxStall is the longest time for which a stalled process gets no processor time.
const maxStall = 400 * time.Millisecond

// disturb applies one disturbance of the given kind.
func (f *fleet) disturb(kind string) {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	switch kind {
	case "term":
		f.note("%s SIGTERM", g.name)
		g.signal(syscall.SIGTERM)
	case "hup":
		texts := []string{g.settings, g.settings, g.settings + "\nbad line\n", g.settings[:f.random.IntN(len(g.settings))], strings.Replace(g.settings, "reserve = 54", "reserve = 20", 1)}
		text := texts[f.random.IntN(len(texts))]
		g.settingsMu.Lock()
		defer g.settingsMu.Unlock()
		if !g.hasReadSettings() {
			text = g.settings
		}
		g.writeSettings(text)
		f.note("%s SIGHUP", g.name)
		g.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(f.random.IntN(60)) * time.Millisecond)
		g.writeSettings(g.settings)
	case "config":
		idle := 3000 + 3000*f.random.IntN(5)
		f.note("configuration %d", f.version+1)
		f.configure(func(c object) { c["limits"].(object)["idle_timeout_ms"] = idle })
	case "pause":
		d := time.Duration(50+f.random.IntN(900)) * time.Millisecond
		f.note("%s pauses for %v", g.name, d)
		g.signal(syscall.SIGSTOP)
		time.Sleep(d)
		g.signal(syscall.SIGCONT)
	case "stall":
		d := maxStall/4 + time.Duration(f.random.Float64()*float64(maxStall*3/4))
		f.note("%s gets no processor time for %v", g.name, d)
		g.stall(d)
	case "kill":
		f.note("%s SIGKILL", g.name)
		g.signal(syscall.SIGKILL)
	case "leave":
		f.replaceWorker()
	case "silence":
		f.silenceWorker()
	case "store":
		f.failStore()
	case "limits":
		f.configureLimits()
	case "routes":
		f.configureRoutes()
	case faultBreak, faultShed, faultDouble:
		f.failWorker(kind)
	default:
		f.t.Fatalf("unknown disturbance %q", kind)
	}
}

// maxFaultTime is the longest time for which the store or a worker fails.
const maxFaultTime = 3 * time.Second

func (f *fleet) faultTime() time.Duration { return time.Duration(f.random.Int64N(int64(maxFaultTime))) }

// failStore lets the store fail for some time.
func (f *fleet) failStore() {
	faults := []platformtest.StoreFaults{{ServiceUnavailable: true}, {Unresponsive: true}, {DropResponses: true}}[f.random.IntN(3)]
	d := f.faultTime()
	f.note("store fails for %v: %+v", d, faults)
	f.store.SetFaults(faults)
	from := time.Now()
	time.AfterFunc(d, func() {
		f.store.SetFaults(platformtest.StoreFaults{})
		f.drills.mu.Lock()
		defer f.drills.mu.Unlock()
		f.drills.outages = append(f.drills.outages, outage{from: from, to: time.Now()})
	})
}

// failWorker lets the calls of one worker fail for some time.
func (f *fleet) failWorker(fault string) {
	f.mu.Lock()
	var w *plainWorker
	for _, w = range f.workers {
		if w.service == callService {
			break
		}
	}
	f.mu.Unlock()
	d := f.faultTime()
	f.note("worker %s: %s for %v", w.id, fault, d)
	w.fail(fault, d)
}

// configureLimits changes the limits for which a gateway starts a new HTTP server.
func (f *fleet) configureLimits() {
	header, idle := 8192*(1+f.random.IntN(4)), 500+1000*f.random.IntN(10)
	f.note("configuration %d: max_header_bytes %d, idle_timeout_ms %d", f.version+1, header, idle)
	f.configure(func(c object) {
		limits := c["limits"].(object)
		limits["max_header_bytes"], limits["idle_timeout_ms"] = header, idle
	})
}

// configureRoutes adds routes, services and keys that no client uses, or removes them.
func (f *fleet) configureRoutes() {
	count := f.random.IntN(4)
	f.note("configuration %d: %d more routes and keys", f.version+1, count)
	f.configure(func(c object) {
		for i := range count {
			route := maps.Clone(c["routes"].([]object)[1])
			name := fmt.Sprintf("more%d", i)
			route["name"], route["prefix"] = name, "/"+name+"/"
			c["routes"] = append(c["routes"].([]object), route)
			tenant := object{"name": "ws-" + name, "api_keys": []string{"k-" + name}, "priority": 1 + i}
			c["tenants"] = append(c["tenants"].([]object), tenant)
		}
	})
}

func TestSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed, *kinds, drillMode{}) })
	}
}

// maxQuietTime is the longest pause between two disturbances.
const maxQuietTime = 1500 * time.Millisecond

// runSoak runs one seed with the given kinds of disturbances, and with drills of the store
// if they are asked for.
func runSoak(t *testing.T, seed uint64, kinds string, mode drillMode) {
	f := newFleet(t, seed, *gateways, func(f *fleet) { f.drills.leased = mode.leased })
	f.versionRoutes = true
	end := time.Now().Add(*duration)
	if mode.drills {
		f.store.SetEra(1)
		go f.keepCopies(end)
		go f.runDrills(rand.New(rand.NewPCG(seed, 1<<32)), end)
	}
	var mu sync.Mutex
	var exchanges []exchange
	var wg sync.WaitGroup
	for n := range *clients {
		random := rand.New(rand.NewPCG(seed, uint64(n)+1))
		c := &client{number: n, gateways: f.gateways, random: random, streams: 0.2, splits: n%4 == 0, large: *large, leaves: *leaves, slow: *slow && n%5 == 0, maxThink: []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[n%3], newestRoute: f.newestRoute}
		wg.Go(func() {
			c.run(end, func(e exchange) {
				mu.Lock()
				defer mu.Unlock()
				exchanges = append(exchanges, e)
			})
		})
	}
	list := strings.Split(kinds, ",")
	for time.Now().Before(end.Add(-2 * time.Second)) {
		// A third of the disturbances follow each other at once.
		if f.random.IntN(3) > 0 {
			time.Sleep(time.Duration(f.random.Float64() * float64(maxQuietTime)))
		} else {
			time.Sleep(time.Duration(f.random.IntN(50)) * time.Millisecond)
		}
		f.disturb(list[f.random.IntN(len(list))])
	}
	wg.Wait()
	report(t, f, exchanges)
}

func report(t *testing.T, f *fleet, exchanges []exchange) {
	t.Helper()
	complete, byStatus := 0, map[int]int{}
	for i := range exchanges {
		if exchanges[i].complete {
			complete++
		}
		byStatus[exchanges[i].status]++
	}
	findings := slices.Concat(judge(exchanges, f.log), f.judgeChanges(exchanges))
	for _, g := range f.gateways {
		h := g.history()
		if len(h.ownEnds) > 0 || len(h.overdue) > 0 {
			findings = append(findings, finding{rule: "FAULT", text: fmt.Sprintf("%s: %d processes ended by themselves, %d after the grace time", g.name, len(h.ownEnds), len(h.overdue))})
		}
	}
	t.Logf("requests %d, complete %d, by status %v, findings %d", len(exchanges), complete, byStatus, len(findings))
	var lines []string
	for _, finding := range findings {
		at := 0.0
		if finding.exchange != nil {
			at = finding.exchange.endedAt.Sub(f.begin).Seconds()
		}
		lines = append(lines, fmt.Sprintf("%8.3f %v", at, finding))
		t.Errorf("%8.3f %v", at, finding)
	}
	if len(findings) > 0 {
		t.Logf("disturbances:\n%s", strings.Join(f.events, "\n"))
	}
	if dir := os.Getenv(logDirVariable); dir != "" {
		_ = os.WriteFile(filepath.Join(logDir(t), "findings.txt"), []byte(strings.Join(append(lines, f.events...), "\n")+"\n"), 0o644)
	}
}
