package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/feed"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/platform"
)

// Times of the runs with a disrupted store.
const (
	// changeLimit is the time within which a change is in force at every gateway.
	changeLimit = 5 * time.Second
	// quietTime is the time without a request to a removed worker after which its removal
	// counts as in force.
	quietTime = time.Second
	// probePeriod is the time between two requests to one gateway, probeTimeout the limit
	// of a request.
	probePeriod  = 40 * time.Millisecond
	probeTimeout = 2500 * time.Millisecond
	// minServedShare is the least share of requests that are served in a run.
	minServedShare = 0.98
	// parallelRuns is the number of runs at the same time.
	parallelRuns = 5
)

// longRuns reports whether the tests were started by hand for a long time.
func longRuns() bool { return *duration >= time.Minute }

// runSlots limits the runs at the same time, so that the processes get processor time.
var runSlots = make(chan struct{}, parallelRuns)

// disruption is one disturbance of the store or of its readers. begin returns when the
// changes are due; end removes the cause.
type disruption struct {
	name       string
	begin, end func(*disrupted)
	// byHand is set for a disruption that is run by hand only.
	byHand bool
}

// probe is one request to one gateway.
type probe struct {
	id, kind        string
	sentAt, endedAt time.Time
	status          int
}

// disrupted is a fleet whose gateways reach the store over links of their own.
type disrupted struct {
	*fleet
	links map[string]*link
	// added is the name of the route that the last changes added.
	added atomic.Value

	mu     sync.Mutex
	probes map[string][]probe
	// since is the end of a gateway's freeze or restart, from which its times count.
	since map[string]time.Time
	// excused holds the times in which a gateway was frozen or restarted.
	excused map[string][]outage
}

// newDisrupted starts a fleet and waits until every gateway uses every worker.
func newDisrupted(t *testing.T, size int) *disrupted {
	t.Helper()
	f := &disrupted{fleet: newFleet(t, 1, 0), links: map[string]*link{}, probes: map[string][]probe{}, since: map[string]time.Time{}, excused: map[string][]outage{}}
	f.store.SetEra(1)
	f.added.Store("")
	for i := range size {
		name := fmt.Sprintf("edge-%d", i+1)
		f.links[name] = newLink(t, f.store.Addr())
		f.gateways = append(f.gateways, startGateway(t, name, f.links[name].addr()))
	}
	for _, g := range f.gateways {
		f.awaitReady(g)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		wg.Go(func() { f.load(ctx, g) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for deadline := time.Now().Add(startLimit); !f.usesAll(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gateways do not use all workers")
		}
	}
	return f
}

// load sends requests to a gateway until ctx ends: calls of both kinds, and those of the
// added route.
func (f *disrupted) load(ctx context.Context, g *gateway) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		kinds := []string{"look", "book"}
		if added := f.added.Load().(string); added != "" {
			kinds = append(kinds, added)
		}
		p := probe{id: fmt.Sprintf("%s.%d", g.name, n), kind: kinds[n%len(kinds)], sentAt: time.Now()}
		wg.Go(func() {
			p.status = send(ctx, client, g, p)
			p.endedAt = time.Now()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probes[g.name] = append(f.probes[g.name], p)
		})
	}
}

// send sends a request and returns the status of the answer, 0 if none was received whole.
func send(ctx context.Context, client *http.Client, g *gateway, p probe) int {
	method := http.MethodGet
	if p.kind == "book" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+"/"+p.kind+"/"+p.id, nil)
	if err != nil {
		return 0
	}
	req.Host = hostname
	req.Header.Set("X-Request-Id", p.id)
	req.Header.Set("X-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(probeTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// arrivalsOf returns the times at which requests of a gateway reached a worker.
func (f *disrupted) arrivalsOf(gateway, worker string) []time.Time {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	var out []time.Time
	for id, arrivals := range f.log.arrivals {
		if !strings.HasPrefix(id, gateway+".") {
			continue
		}
		for _, a := range arrivals {
			if a.worker == worker {
				out = append(out, a.at)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// callWorkers returns the workers of calls whose entries exist, by ID.
func (f *disrupted) callWorkers() []string {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	ids := slices.Sorted(maps.Keys(f.workers))
	return slices.DeleteFunc(ids, func(id string) bool { return f.workers[id].service != callService })
}

func (f *disrupted) usesAll() bool {
	for _, g := range f.gateways {
		for _, id := range f.callWorkers() {
			if len(f.arrivalsOf(g.name, id)) == 0 {
				return false
			}
		}
	}
	return true
}

// leader returns the gateway that the others read, and another one.
func (f *disrupted) leader() (leader, reader *gateway) {
	members := feed.NewMemberRegistry(feed.Member{Name: "test", Region: "north", LinkMbps: -1}, nil, log.NewNopLogger())
	var kvs []kvstore.KV
	for key, item := range f.store.Items(feed.MemberPrefix) {
		kvs = append(kvs, kvstore.KV{Key: key, Value: item.Value})
	}
	members.Reset(kvs, kvstore.Position{Revision: 1})
	m := members.Leader()
	if m == nil {
		f.t.Fatal("no gateway is registered")
	}
	for _, g := range f.gateways {
		if g.name == m.Name {
			leader = g
		} else {
			reader = g
		}
	}
	return leader, reader
}

// excuse records that a gateway was frozen or restarted up to now and that its times count
// from now on.
func (f *disrupted) excuse(g *gateway, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since[g.name] = time.Now()
	f.excused[g.name] = append(f.excused[g.name], outage{from: from, to: time.Now()})
}

// freeze stops a gateway for some time without waiting for it.
func (f *disrupted) freeze(g *gateway, d time.Duration) {
	from := time.Now()
	g.signal(syscall.SIGSTOP)
	f.mu.Lock()
	f.since[g.name] = from.Add(d)
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		g.signal(syscall.SIGCONT)
		f.excuse(g, from)
	})
}

// restart kills a gateway, which is started again, without waiting for it.
func (f *disrupted) restart(g *gateway) {
	from := time.Now()
	f.mu.Lock()
	f.since[g.name] = from.Add(startLimit)
	f.mu.Unlock()
	g.signal(syscall.SIGKILL)
	go func() {
		time.Sleep(restartDelay)
		client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			resp, err := client.Get("http://" + g.ready + platform.ReadyPath)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.excuse(g, from)
				return
			}
		}
	}()
}

// changes are a configuration with a new route, a worker that joined and one whose entry was
// removed, all written at the same time.
type changes struct {
	route, joined, removed string
	at                     time.Time
}

// change writes the changes.
func (f *disrupted) change(number int) changes {
	c := changes{route: fmt.Sprintf("added%d", number), removed: f.callWorkers()[0]}
	f.configure(func(config object) {
		for i := 1; i <= number; i++ {
			route := maps.Clone(config["routes"].([]object)[2])
			route["name"], route["prefix"] = fmt.Sprintf("added%d", i), fmt.Sprintf("/added%d/", i)
			config["routes"] = append(config["routes"].([]object), route)
		}
	})
	f.addWorker(callService)
	c.joined = fmt.Sprintf("i-%d", f.started)
	f.remove(platform.TargetPrefix + c.removed)
	f.fleet.mu.Lock()
	delete(f.workers, c.removed)
	f.fleet.mu.Unlock()
	c.at = time.Now()
	f.added.Store(c.route)
	return c
}

// never is the time until a change that was not in force when the run ended.
const never = time.Hour

// outcome holds the times until the changes were in force at one gateway.
type outcome struct{ route, joined, removed time.Duration }

func (o outcome) worst() time.Duration { return max(o.route, o.joined, o.removed) }

func (o outcome) String() string {
	text := func(d time.Duration) string {
		if d == never {
			return "never"
		}
		return fmt.Sprintf("%.2f", d.Seconds())
	}
	return text(o.route) + " / " + text(o.joined) + " / " + text(o.removed)
}

// outcomeAt returns the times until the changes were in force at a gateway. Requests that
// were sent before do not count.
func (f *disrupted) outcomeAt(g *gateway, c changes) outcome {
	f.mu.Lock()
	from := c.at
	if f.since[g.name].After(from) {
		from = f.since[g.name]
	}
	var refusedAt, servedAt time.Time
	for _, p := range f.probes[g.name] {
		if p.kind == c.route && p.status == http.StatusNotFound && p.sentAt.After(refusedAt) {
			refusedAt = p.sentAt
		}
	}
	for _, p := range f.probes[g.name] {
		if p.kind == c.route && p.status == http.StatusOK && p.sentAt.After(refusedAt) && (servedAt.IsZero() || p.endedAt.Before(servedAt)) {
			servedAt = p.endedAt
		}
	}
	f.mu.Unlock()
	o := outcome{route: never, joined: never, removed: never}
	if !servedAt.IsZero() {
		o.route = max(0, servedAt.Sub(from))
	}
	if joined := f.arrivalsOf(g.name, c.joined); len(joined) > 0 {
		o.joined = max(0, joined[0].Sub(from))
	}
	last := from
	if removed := f.arrivalsOf(g.name, c.removed); len(removed) > 0 && removed[len(removed)-1].After(from) {
		last = removed[len(removed)-1]
	}
	if time.Since(last) >= quietTime {
		o.removed = last.Sub(from)
	}
	return o
}

// await waits until the changes are in force at every gateway, at most a little longer than
// the limit, and returns the times until then.
func (f *disrupted) await(c changes) map[string]outcome {
	for {
		out := map[string]outcome{}
		inForce, over := true, true
		for _, g := range f.gateways {
			out[g.name] = f.outcomeAt(g, c)
			f.mu.Lock()
			over = over && time.Since(c.at) > changeLimit+quietTime && time.Since(f.since[g.name]) > changeLimit+quietTime
			f.mu.Unlock()
			inForce = inForce && out[g.name].worst() < never
		}
		if inForce || over {
			return out
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// served returns the number of requests of the routes that always exist, without those to a
// gateway that is frozen or restarts, those of them that were served, and the IDs of requests
// of a non-idempotent kind that ran more than once.
func (f *disrupted) served() (all, served int, twice []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, probes := range f.probes {
		for _, p := range probes {
			if p.kind != "look" && p.kind != "book" {
				continue
			}
			if !slices.ContainsFunc(f.excused[name], func(o outage) bool { return p.sentAt.Before(o.to) && p.endedAt.After(o.from) }) {
				all++
				if p.status == http.StatusOK {
					served++
				}
			}
			ran := 0
			for _, a := range f.log.of(p.id) {
				if a.ran {
					ran++
				}
			}
			if p.kind == "book" && ran > 1 {
				twice = append(twice, p.id)
			}
		}
	}
	return all, served, twice
}

// resultsVariable is the environment variable with a file to which runs append their times.
const resultsVariable = "SOAK_RESULTS"

// run applies a disruption and checks that changes during it and after it are in force in
// time at every gateway.
func (d *disruption) run(t *testing.T) {
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	size := 2
	if longRuns() {
		size = 3
	}
	f := newDisrupted(t, size)
	d.begin(f)
	during := f.await(f.change(1))
	if d.end != nil {
		d.end(f)
	}
	after := f.await(f.change(2))
	leader, _ := f.leader()
	all, served, twice := f.served()
	var lines []string
	for _, g := range f.gateways {
		role := "reader"
		if g == leader {
			role = "leader"
		}
		lines = append(lines, fmt.Sprintf("| %s | %s %s | %s | %s | %d of %d |", d.name, g.name, role, during[g.name], after[g.name], served, all))
		for phase, o := range map[string]outcome{"during": during[g.name], "after": after[g.name]} {
			if o.worst() > changeLimit {
				t.Errorf("%s, %s the disruption: seconds until a route, a worker and a removal are in force: %v, limit %v", g.name, phase, o, changeLimit)
			}
		}
	}
	if float64(served) < minServedShare*float64(all) {
		t.Errorf("%d of %d requests served, at least %.0f of 100 are due", served, all, minServedShare*100)
	}
	if len(twice) > 0 {
		t.Errorf("requests of a non-idempotent kind that ran twice: %v", twice)
	}
	t.Log("\n" + strings.Join(lines, "\n"))
	if path := os.Getenv(resultsVariable); path != "" {
		if err := appendLines(filepath.Clean(path), lines); err != nil {
			t.Error(err)
		}
	}
}

func appendLines(path string, lines []string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := file.WriteString(strings.Join(lines, "\n") + "\n"); err != nil {
		return err
	}
	return file.Close()
}

// setLinks sets the state of all links.
func (f *disrupted) setLinks(s linkState) {
	for _, l := range f.links {
		l.set(s)
	}
}

// onLeader, onReader and onAll return a disruption whose links have the given state until
// its end.
func onLeader(s linkState) func(*disrupted) {
	return func(f *disrupted) {
		leader, _ := f.leader()
		f.links[leader.name].set(s)
		time.Sleep(time.Second)
	}
}

func onReader(s linkState) func(*disrupted) {
	return func(f *disrupted) {
		_, reader := f.leader()
		f.links[reader.name].set(s)
		time.Sleep(time.Second)
	}
}

func onAll(s linkState) func(*disrupted) {
	return func(f *disrupted) {
		f.setLinks(s)
		time.Sleep(time.Second)
	}
}

func reconnect(f *disrupted) { f.setLinks(linkState{}) }

// compactAndReconnect drops the history before the links answer again.
func compactAndReconnect(f *disrupted) {
	f.store.Compact()
	f.setLinks(linkState{})
}

func frozenLeader(d time.Duration) func(*disrupted) {
	return func(f *disrupted) {
		leader, _ := f.leader()
		f.freeze(leader, d)
		time.Sleep(time.Second)
	}
}

// commit writes a key with a call of the store's protocol and reports whether it was
// answered.
func (f *disrupted) commit(key string, value []byte) bool {
	data, err := json.Marshal(object{"expected": []object{}, "puts": []object{{"key": key, "value": value}}, "remove": []string{}})
	if err != nil {
		f.t.Error(err)
		return false
	}
	resp, err := http.Post("http://"+f.store.Addr()+"/v1/kv-txn", "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var rivals = []disruption{
	{name: "none", begin: func(*disrupted) {}},
	{name: "H2 leader frozen for 2 s", begin: frozenLeader(2 * time.Second)},
	{name: "H2 leader frozen for 6 s", begin: frozenLeader(6 * time.Second)},
	{name: "H2 leader cut off, connections closed", begin: onLeader(linkState{refused: true}), end: reconnect},
	{name: "H2 leader cut off, no answers", begin: onLeader(linkState{silent: true}), end: reconnect},
	{name: "H2 reader cut off, connections closed", begin: onReader(linkState{refused: true}), end: reconnect, byHand: true},
	{name: "H2 reader cut off, no answers", begin: onReader(linkState{silent: true}), end: reconnect},
	{name: "H2 answers to the leader 2 s late", begin: onLeader(linkState{delay: 2 * time.Second}), end: reconnect},
	{name: "H2 answers to the leader 0.9 s late", begin: onLeader(linkState{delay: 900 * time.Millisecond}), end: reconnect, byHand: true},
	{name: "H2 answers to the reader 2 s late", begin: onReader(linkState{delay: 2 * time.Second}), end: reconnect, byHand: true},
	{name: "H2 only one gateway reaches the store", begin: func(f *disrupted) {
		_, reader := f.leader()
		for name, l := range f.links {
			if name != reader.name {
				l.set(linkState{silent: true})
			}
		}
		time.Sleep(time.Second)
	}, end: reconnect, byHand: true},
	{name: "H2 leader frozen five times for 1.2 s", begin: func(f *disrupted) {
		leader, _ := f.leader()
		go func() {
			for range 5 {
				f.freeze(leader, 1200*time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
	}, byHand: true},
	{name: "H3 no answers to the leader's watches", begin: onLeader(linkState{heldWatches: true}), end: compactAndReconnect},
	{name: "H3 history dropped while the leader's watches are not answered", begin: func(f *disrupted) {
		onLeader(linkState{heldWatches: true})(f)
		f.store.Put(platform.TargetPrefix+"i-other", []byte("{}"))
		f.store.Compact()
	}, end: reconnect},
	{name: "H4 writes of the gateways not answered", begin: func(f *disrupted) {
		f.store.SetFaults(platformtest.StoreFaults{DropResponses: true})
		time.Sleep(time.Second)
	}, end: func(f *disrupted) { f.store.SetFaults(platformtest.StoreFaults{}) }},
	{name: "H4 writes of the gateways done 2 s late", begin: onAll(linkState{late: 2 * time.Second}), end: reconnect},
	{name: "H4 writes of the operator and a worker repeated", begin: func(f *disrupted) {
		f.store.SetFaults(platformtest.StoreFaults{DropResponses: true})
		for key, item := range f.store.Items("") {
			if key == platform.ConfigKey || strings.HasPrefix(key, platform.TargetPrefix) {
				f.commit(key, item.Value)
			}
		}
		f.store.SetFaults(platformtest.StoreFaults{})
	}},
	{name: "H4 old configuration of the operator done late", begin: func(f *disrupted) {
		old := f.store.Items(platform.ConfigKey)[platform.ConfigKey]
		time.AfterFunc(400*time.Millisecond, func() { f.commit(platform.ConfigKey, old.Value) })
	}},
	{name: "H5 restart beside a frozen leader", begin: func(f *disrupted) {
		leader, reader := f.leader()
		f.freeze(leader, 6*time.Second)
		time.Sleep(time.Second)
		f.restart(reader)
	}},
	{name: "H5 restart beside a leader cut off", begin: func(f *disrupted) {
		leader, reader := f.leader()
		f.links[leader.name].set(linkState{silent: true})
		time.Sleep(time.Second)
		f.restart(reader)
	}, end: reconnect},
	{name: "H5 restart without the store, leader cut off too", begin: func(f *disrupted) {
		_, reader := f.leader()
		f.setLinks(linkState{refused: true})
		f.restart(reader)
		time.Sleep(2 * time.Second)
		f.links[reader.name].set(linkState{})
	}, end: reconnect},
	{name: "H5 restart after the disruption", begin: func(f *disrupted) {
		leader, reader := f.leader()
		f.store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true})
		time.Sleep(2 * time.Second)
		f.store.SetFaults(platformtest.StoreFaults{})
		f.restart(reader)
		f.restart(leader)
	}, byHand: true},
}

// TestChangesDuringDisruptions guards against gateways that stay on an old state because of
// a frozen or old reader, a watch that misses changes, unanswered writes or a restart.
func TestChangesDuringDisruptions(t *testing.T) { runDisruptions(t, rivals) }

// TestChangesWithoutWatches guards against gateways that stay on an old state while the store
// answers reads, but no watch, or watches of the leader with an old state.
func TestChangesWithoutWatches(t *testing.T) {
	runDisruptions(t, []disruption{
		{name: "H3 no answers to any watch", begin: onAll(linkState{heldWatches: true}), end: compactAndReconnect},
		{name: "H3 the leader's watches answered without the changes", begin: onLeader(linkState{mutedWatches: true}), end: compactAndReconnect},
	})
}

// lose writes the entry of a worker a number of times. The writes are lost if the store then
// comes back from a copy taken before.
func (f *disrupted) lose(writes int) {
	ids := f.callWorkers()
	w := f.workers[ids[len(ids)-1]]
	for range writes {
		f.store.Put(platform.TargetPrefix+w.id, w.entry("ready"))
	}
}

// away makes the store be away for half a second and come back from a copy.
func (f *disrupted) away(earlier *platformtest.StoreCopy) {
	f.store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true})
	time.Sleep(250 * time.Millisecond)
	f.store.Restore(earlier)
	time.Sleep(250 * time.Millisecond)
	f.store.SetFaults(platformtest.StoreFaults{})
}

// restored makes the store lose writes that were made in the given time.
func restored(lost int, age time.Duration) func(*disrupted) {
	return func(f *disrupted) {
		earlier := f.store.Copy()
		time.Sleep(age)
		f.lose(lost)
		time.Sleep(500 * time.Millisecond)
		f.away(earlier)
	}
}

// overLease is a time after which the registration of a gateway has ended.
const overLease = 12 * time.Second

// restoredWhileFrozen makes the store lose writes while a gateway is frozen for some time.
func restoredWhileFrozen(leads bool, d time.Duration) func(*disrupted) {
	return func(f *disrupted) {
		earlier := f.store.Copy()
		f.lose(11)
		time.Sleep(500 * time.Millisecond)
		frozen, reader := f.leader()
		if !leads {
			frozen = reader
		}
		f.freeze(frozen, d)
		time.Sleep(250 * time.Millisecond)
		f.away(earlier)
	}
}

// restoredWhileConfigured makes the store lose a configuration that is just being applied,
// which the operator writes again.
func restoredWhileConfigured(f *disrupted) {
	earlier := f.store.Copy()
	f.lose(11)
	time.Sleep(500 * time.Millisecond)
	f.configure(func(config object) { config["limits"].(object)["idle_timeout_ms"] = 12000 })
	f.away(earlier)
	time.Sleep(time.Second)
	f.putAgain(platform.ConfigKey)
}

// restores are the cases of a store that comes back from an older copy.
func restores() []disruption {
	var out []disruption
	for _, lost := range []int{0, 2, 11, 199, 2000} {
		out = append(out, disruption{name: fmt.Sprintf("H1 %d writes lost", lost), begin: restored(lost, 0)})
	}
	return append(out,
		disruption{name: "H1 copy 20 s old", begin: restored(40, 20*time.Second), byHand: true},
		disruption{name: "H1 leader frozen meanwhile", begin: restoredWhileFrozen(true, 2*time.Second)},
		disruption{name: "H1 reader frozen meanwhile", begin: restoredWhileFrozen(false, 2*time.Second)},
		disruption{name: "H1 leader frozen until its registration has ended", begin: restoredWhileFrozen(true, overLease)},
		disruption{name: "H1 reader frozen until its registration has ended", begin: restoredWhileFrozen(false, overLease)},
		disruption{name: "H1 during a change of the configuration", begin: restoredWhileConfigured},
	)
}

// TestRestoredStoreWithProcesses guards against gateways that stay on their state for ever
// once the store has returned from an older copy.
func TestRestoredStoreWithProcesses(t *testing.T) { runDisruptions(t, restores()) }

// runDisruptions runs each disruption, those by hand only in long runs.
func runDisruptions(t *testing.T, list []disruption) {
	for i := range list {
		d := &list[i]
		if d.byHand && !longRuns() {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			d.run(t)
		})
	}
}
