package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/routing"
)

const (
	testTablePrefix      = "table"
	testEvacuationPrefix = "evacuate/"
)

var testRegions = map[string]string{"a": "north", "b": "north", "c": "south", "d": "east"}

// testAddr returns the address of a target, at which nothing listens: another one of the
// loopback addresses for each ID.
func testAddr(id string) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	n := sum.Sum32()
	return fmt.Sprintf("127.%d.%d.%d:1", byte(n>>16), byte(n>>8), byte(n))
}

// newEligibilityGateway returns a gateway that does not serve, with two engines in each data
// centre and two in one that the settings do not name.
func newEligibilityGateway(t *testing.T) *Gateway {
	t.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	g, err := New(Options{
		VM: "edge-1", Datacentre: "a", Regions: testRegions, TableKey: testTablePrefix, EvacuationPrefix: testEvacuationPrefix, TargetPrefix: "targets/",
		ClientListener: listen(), ReadinessListener: listen(), PeerListener: listen(), Logger: log.NewNopLogger(),
		DecodeTarget: func(key string, value []byte) (registry.Record, error) {
			return registry.Record{ID: key, Addr: testAddr(key), Service: "engines", Datacentre: string(value), Slots: 8, StartMillis: 1}, nil
		},
		DecodeTable: func(data []byte) (*routing.Table, error) {
			var limits struct {
				Version          int64
				Route, Workspace []string
			}
			if err := json.Unmarshal(data, &limits); err != nil {
				return nil, err
			}
			route := routing.Route{Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream, AllowedRegions: routing.LimitedTo(limits.Route)}
			workspace := routing.Workspace{Name: "w", APIKeys: []string{"k"}, AllowedRegions: routing.LimitedTo(limits.Workspace)}
			return routing.NewTable(limits.Version, []routing.Route{route}, nil, routing.Access{KeysRequired: true, Workspaces: []routing.Workspace{workspace}}, routing.Limits{}), nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.targets.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	var kvs []kvstore.KV
	for _, datacentre := range append(slices.Sorted(maps.Keys(testRegions)), "unnamed") {
		for i := range 2 {
			kvs = append(kvs, kvstore.KV{Key: fmt.Sprintf("targets/%s-%d", datacentre, i), Value: []byte(datacentre), ModRevision: 1})
		}
	}
	g.targets.Reset(kvs, kvstore.Position{Revision: 1})
	for deadline := time.Now().Add(hangLimit); len(g.targets.Snapshot().All()) < len(kvs); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the targets were not registered in time")
		}
	}
	return g
}

// newEligibilityRequest returns a stream that the configuration in force admits.
func newEligibilityRequest(g *Gateway) *request {
	table := g.table.Load()
	req := &request{
		route: table.Match("h", "/x"), service: &routing.Service{Name: "engines", Engine: &routing.Engine{Slots: 8, KVCapacityTokens: 1 << 20, CanMigrate: true, CanBackUp: true}},
		workspace: "w", configVersion: table.Version, path: "/x", regions: table.RegionsFor("h", "/x", "w"), triedTargets: map[string]bool{},
	}
	req.upstream.Host = "h"
	req.ID, req.PromptTokens, req.MaxOutput = "r", 100, 400
	return req
}

// evacuate applies the evacuation of a data centre.
func evacuate(g *Gateway, datacentre string, revision int64) {
	kv := kvstore.KV{Key: testEvacuationPrefix + datacentre, ModRevision: revision}
	g.feedHub.Apply(kvstore.WatchBatch{Revision: revision, Events: []kvstore.Event{{KV: kv}}})
}

// targetIn returns a target in a data centre.
func targetIn(g *Gateway, datacentre string) *registry.Target {
	return g.targets.Snapshot().Target("targets/" + datacentre + "-0")
}

// Guards against a stream that is cut because it relies on a backup in an evacuated data
// centre when its own target leaves: it needs a copy elsewhere.
func TestBackupInEvacuatedDatacentreIsNotReliable(t *testing.T) {
	g := newEligibilityGateway(t)
	g.table.Store(routing.NewTable(1, []routing.Route{{Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream}}, nil, routing.Access{}, routing.Limits{}))
	s := &streamRequest{g: g, req: newEligibilityRequest(g)}
	seg := &segment{target: targetIn(g, "a"), backup: targetIn(g, "b"), startedAt: time.Now().Add(-2 * minBackupAge), firstEventAt: time.Now()}
	seg.migration = &segmentMigration{stream: s, segment: seg}
	if !seg.migration.hasReliableBackup() || len(s.failoverSegments(seg)) != 1 {
		t.Fatal("the backup is not used before the evacuation")
	}
	evacuate(g, "b", 2)
	if seg.migration.hasReliableBackup() || len(s.failoverSegments(seg)) != 0 {
		t.Fatal("the backup is used although its data centre is evacuated")
	}
}

// Guards against a request that is sent to a target which has become ineligible after its
// choice, while the connection was opened, and against a trial after a hold that is used up
// by a request which is not sent.
func TestLastCheckBeforeTheSend(t *testing.T) {
	g := newEligibilityGateway(t)
	g.table.Store(routing.NewTable(1, []routing.Route{{Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream}}, nil, routing.Access{}, routing.Limits{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := *targetIn(g, "b")
	target.Addr = listener.Addr().String()
	target.Load.Shed(time.Now(), time.Nanosecond)
	evacuate(g, "b", 2)
	at, err := g.startAttempt(context.Background(), newEligibilityRequest(g), &target, AttemptMeta{})
	g.release(at, false)
	if at.sent || !errors.Is(err, errTargetNotEligible) {
		t.Fatalf("sent %v, error %v", at.sent, err)
	}
	for deadline := time.Now().Add(hangLimit); !target.Load.TryStart(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the trial after the hold was used up")
		}
	}
}

// Guards against a route whose weighted services are all refused although one of them has an
// eligible target.
func TestServiceWithoutEligibleTargetIsNotPicked(t *testing.T) {
	g := newEligibilityGateway(t)
	route := routing.Route{Name: "r", Host: "h", Prefix: "/", Backends: []routing.Backend{{Service: "elsewhere", Weight: 99}, {Service: "engines", Weight: 1}}}
	g.table.Store(routing.NewTable(1, []routing.Route{route}, nil, routing.Access{}, routing.Limits{}))
	req := newEligibilityRequest(g)
	evacuate(g, "d", 2)
	for range 20 {
		if service := g.pickService(req); service != "engines" {
			t.Fatalf("picked %q, which has no eligible target", service)
		}
	}
}

// Guards against one workspace entry that widens the limit of another one with its name.
func TestWorkspacesOfOneNameKeepTheirLimits(t *testing.T) {
	limited := routing.Workspace{Name: "w", APIKeys: []string{"k1"}, AllowedRegions: routing.LimitedTo([]string{"south"})}
	open := routing.Workspace{Name: "w", APIKeys: []string{"k2"}}
	table := routing.NewTable(1, []routing.Route{{Name: "r", Host: "h", Prefix: "/"}}, nil, routing.Access{KeysRequired: true, Workspaces: []routing.Workspace{limited, open}}, routing.Limits{})
	for key, allowed := range map[string]bool{"k1": false, "k2": true} {
		req := &request{route: table.Match("h", "/x")}
		req.Key = key
		if failure := authenticate(table, req); failure != nil {
			t.Fatal(failure)
		}
		if req.regions.Allows("north") != allowed {
			t.Fatalf("key %s: north allowed %v, want %v", key, !allowed, allowed)
		}
	}
	if table.RegionsFor("h", "/x", "w").Allows("north") {
		t.Fatal("the limit of a request in progress was dropped")
	}
}

// eligibilityModel states which targets a request may use, independently of the gateway's
// code: those that the configuration at its arrival and the one in force allow, outside of
// the evacuated data centres.
type eligibilityModel struct {
	g                  *Gateway
	version, revision  int64
	atArrival, inForce [][]string
	evacuatedNow       map[string]bool
}

func (m *eligibilityModel) allows(target *registry.Target) bool {
	region := testRegions[target.Datacentre]
	for _, limit := range append(slices.Clone(m.atArrival), m.inForce...) {
		if len(limit) > 0 && !slices.Contains(limit, region) {
			return false
		}
	}
	return !m.evacuatedNow[target.Datacentre]
}

func (m *eligibilityModel) check(t *rapid.T, choice string, target *registry.Target) {
	if target != nil && !m.allows(target) {
		t.Fatalf("%s: target in %q, limits %v and %v, evacuated %v", choice, target.Datacentre, m.atArrival, m.inForce, m.evacuatedNow)
	}
}

// configure puts a random configuration into force.
func (m *eligibilityModel) configure(t *rapid.T) {
	m.version++
	regionNames := rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", "east", "nowhere"}), 0, 3)
	route, workspace := regionNames.Draw(t, "route"), regionNames.Draw(t, "workspace")
	data, err := json.Marshal(map[string]any{"Version": m.version, "Route": route, "Workspace": workspace})
	if err != nil {
		t.Fatal(err)
	}
	kv := kvstore.KV{Key: testTablePrefix, Value: data, ModRevision: m.version}
	m.g.feedHub.Apply(kvstore.WatchBatch{Revision: m.version, Events: []kvstore.Event{{KV: kv}}})
	m.inForce = [][]string{route, workspace}
}

// step changes the configuration or the evacuations.
func (m *eligibilityModel) step(t *rapid.T) {
	m.revision++
	datacentre := rapid.SampledFrom([]string{"a", "b", "c", "d", "unnamed"}).Draw(t, "datacentre")
	kv := kvstore.KV{Key: testEvacuationPrefix + datacentre, ModRevision: m.revision}
	switch rapid.SampledFrom([]string{"configure", "evacuate", "end", "forget"}).Draw(t, "step") {
	case "configure":
		m.configure(t)
	case "evacuate":
		m.g.evacuations.Apply(kvstore.WatchBatch{Revision: m.revision, Events: []kvstore.Event{{KV: kv}}})
		m.evacuatedNow[datacentre] = true
	case "end":
		m.g.evacuations.Apply(kvstore.WatchBatch{Revision: m.revision, Events: []kvstore.Event{{KV: kv, Deleted: true}}})
		delete(m.evacuatedNow, datacentre)
	case "forget":
		m.g.evacuations.Reset([]kvstore.KV{kv}, kvstore.Position{Revision: m.revision})
		m.evacuatedNow = map[string]bool{datacentre: true}
	}
}

// checkChoices checks every choice of a target for a request.
func (m *eligibilityModel) checkChoices(t *rapid.T, req *request) {
	g := m.g
	all := slices.Collect(maps.Values(g.targets.Snapshot().All()))
	chosen := g.chooseTarget(req, nil)
	m.check(t, "placement", chosen)
	if chosen == nil && slices.ContainsFunc(all, m.allows) {
		t.Fatal("placement: no target chosen although one is eligible")
	}
	for i, primary := range all {
		m.check(t, "backup", g.chooseBackupTarget(req, primary))
		m.check(t, "migration", g.chooseMigrationTarget(req, primary))
		other := all[(i+2)%len(all)]
		s := &streamRequest{g: g, req: req, kept: &keptCache{source: primary}}
		seg := &segment{target: primary, backup: other, firstEventAt: time.Now(), migration: &segmentMigration{stream: s}}
		seg.migration.copy.Store(&kvCopy{target: other, completedAt: time.Now()})
		for _, next := range s.failoverSegments(seg) {
			m.check(t, "continuation", next.target)
		}
		if s.canReturnToSource() {
			m.check(t, "return to the source", primary)
		}
		if e := g.eligibility(req); e.allows(primary) != m.allows(primary) {
			t.Fatalf("last check: got %v for %q", e.allows(primary), primary.Datacentre)
		}
	}
	if eligible := slices.ContainsFunc(all, m.allows); eligible != (g.ineligibleError(req) == nil) {
		t.Fatalf("refusal: %v with eligible targets %v", g.ineligibleError(req), eligible)
	}
}

// Guards against a choice of a target, for a new request, a copy, a backup, a migration, a
// continuation or the return to a source, outside the allowed regions or in an evacuated
// data centre, after any sequence of configurations and evacuations.
func TestNoChoiceLeavesTheConstraints(t *testing.T) {
	m := &eligibilityModel{g: newEligibilityGateway(t), revision: 1}
	rapid.Check(t, func(t *rapid.T) {
		m.g.evacuations.Reset(nil, kvstore.Position{Revision: m.revision})
		m.evacuatedNow = map[string]bool{}
		m.configure(t)
		m.atArrival = m.inForce
		req := newEligibilityRequest(m.g)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			m.step(t)
			m.checkChoices(t, req)
		}
	})
}
