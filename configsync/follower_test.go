package configsync

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

const waitTimeout = 20 * time.Second

// fixture is a fake store and the processes that follow the configuration in it.
type fixture struct {
	t      *testing.T
	server *standin.Store
	store  kvstore.Store
	vms    atomic.Pointer[[]vmlist.VM]
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{t: t, server: standin.NewStore()}
	server := httptest.NewServer(fx.server.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	fx.store = kvstore.NewEtcdStore(server.URL, server.Client(), time.Second)
	fx.vms.Store(&[]vmlist.VM{})
	return fx
}

// put writes the documents and a manifest with the given version, which need not
// be higher than the previous one.
func (fx *fixture) put(version int64, docs ...config.Document) []byte {
	fx.t.Helper()
	m := config.Manifest{Version: version}
	for i := range docs {
		data, digest, err := docs[i].Encode()
		if err != nil {
			fx.t.Fatal(err)
		}
		m.Documents = append(m.Documents, config.DocumentRef{Name: docs[i].Name, Digest: digest})
		fx.write(DocumentPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.write(ManifestKey, data)
	return data
}

func (fx *fixture) write(key string, value []byte) {
	fx.t.Helper()
	if _, err := fx.store.Commit(context.Background(), kvstore.Txn{Ops: []kvstore.Op{{Key: key, Value: value}}}); err != nil {
		fx.t.Fatal(err)
	}
}

// countingStore counts the document reads and the watches of a process.
type countingStore struct {
	kvstore.Store
	documentReads, watches atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (*kvstore.KV, error) {
	s.documentReads.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after kvstore.Position) <-chan kvstore.WatchBatch {
	s.watches.Add(1)
	return s.Store.Watch(ctx, prefix, after)
}

// start starts a process that follows the configuration. It returns its follower
// and the store that counts its requests.
func (fx *fixture) start(vm, datacentre, region string) (*Follower, *countingStore) {
	fx.t.Helper()
	keys := peer.Keys{"k"}
	store := &countingStore{Store: fx.store}
	client := peer.NewClient(&http.Client{}, keys)
	f := New(Options{Store: store, Peers: client, VMs: func() []vmlist.VM { return *fx.vms.Load() }, VM: vm, Region: region})
	mux := http.NewServeMux()
	f.Register(mux)
	server := httptest.NewServer(keys.Require(peer.WithVersionExchange(f, mux)))
	client.EnableVersionExchange(f, server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Serve(ctx)
	}()
	fx.t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	vms := append([]vmlist.VM{}, *fx.vms.Load()...)
	vms = append(vms, vmlist.VM{
		Name: vm, Addr: server.Listener.Addr().String(), Role: vmlist.RoleEntry, State: vmlist.VMLive,
		Datacentre: datacentre, Region: region,
	})
	fx.vms.Store(&vms)
	return f, store
}

// waitForVersion waits until the version is in force in the process.
func waitForVersion(t *testing.T, f *Follower, version int64) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for f.Version() != version {
		if time.Now().After(deadline) {
			t.Fatalf("version %d is in force, want %d", f.Version(), version)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func document(name, workspace string) config.Document {
	return config.Document{Name: name, Workspaces: []config.Workspace{{Name: workspace, Weight: 1}}}
}

// TestInvalidManifestIsRefused guards against a process that stops following the
// store after an invalid version. Two documents that declare the same workspace
// make a version invalid.
func TestInvalidManifestIsRefused(t *testing.T) {
	Convey("An invalid manifest is refused once, the next one is adopted", t, func() {
		fx := newFixture(t)
		fx.put(1, document("a", "w"))
		f, store := fx.start("e1", "c1", "r1")
		waitForVersion(t, f, 1)
		fx.put(2, document("a", "w"), document("b", "w"))
		fx.put(3, document("a", "w"), document("b", "w2"))
		waitForVersion(t, f, 3)
		fx.put(4, document("a", "w"), document("b", "w"))
		for f.refusedVersion() != 4 {
			time.Sleep(5 * time.Millisecond)
		}
		So(f.Version(), ShouldEqual, 3)
		So(store.watches.Load(), ShouldEqual, 1)
		fx.put(2, document("a", "w"))
		fx.put(5, document("a", "w"))
		waitForVersion(t, f, 5)
	})
}

// TestOneFetchPerRegion guards against store requests that grow with the number of
// processes in a region.
func TestOneFetchPerRegion(t *testing.T) {
	Convey("A document is read from the store once per region and few processes watch the store", t, func() {
		fx := newFixture(t)
		fx.put(1, document("a", "w"))
		var processes []*Follower
		var stores []*countingStore
		for _, vm := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
			datacentre := "c2"
			if vm == "e1" {
				datacentre = "c1"
			}
			f, s := fx.start(vm, datacentre, "r1")
			processes = append(processes, f)
			stores = append(stores, s)
		}
		for _, f := range processes {
			waitForVersion(t, f, 1)
		}
		time.Sleep(2 * planPeriod)
		before := documentReads(stores)
		fx.put(2, document("a", "w2"))
		for _, f := range processes {
			waitForVersion(t, f, 2)
		}
		So(documentReads(stores)-before, ShouldEqual, 1)
		watching := 0
		for _, f := range processes {
			if f.plan().watch {
				watching++
			}
		}
		So(watching, ShouldEqual, 2)
	})
}

func documentReads(stores []*countingStore) int64 {
	var n int64
	for _, s := range stores {
		n += s.documentReads.Load()
	}
	return n
}

// TestStartDuringOutage guards against processes that get no configuration because
// they start while the store is unavailable.
func TestStartDuringOutage(t *testing.T) {
	Convey("A process that starts during a store outage gets the configuration from other processes", t, func() {
		fx := newFixture(t)
		fx.put(1, document("a", "w"))
		first, _ := fx.start("e1", "c1", "r1")
		waitForVersion(t, first, 1)
		fx.server.SetFaults(standin.StoreFaults{AbortCalls: true})
		second, _ := fx.start("e2", "c1", "r1")
		waitForVersion(t, second, 1)
		Convey("and adopts the next version after the outage", func() {
			fx.server.SetFaults(standin.StoreFaults{})
			fx.put(2, document("a", "w2"))
			waitForVersion(t, first, 2)
			waitForVersion(t, second, 2)
		})
	})
}

// forgingPeers returns documents that do not match their digests.
type forgingPeers struct{ manifest []byte }

func (p forgingPeers) Config(context.Context, string, int64, time.Duration) (peer.Manifest, error) {
	return peer.Manifest{Version: 7, Data: p.manifest}, nil
}

func (p forgingPeers) Documents(_ context.Context, _ string, digests []string) ([][]byte, error) {
	out := make([][]byte, len(digests))
	for i := range out {
		out[i] = []byte(`{"name":"forged"}`)
	}
	return out, nil
}

// TestDocumentsAreVerified guards against adopting documents from a peer that are
// not those of the manifest.
func TestDocumentsAreVerified(t *testing.T) {
	Convey("A document that does not match its digest is ignored", t, func() {
		fx := newFixture(t)
		data := fx.put(7, document("a", "w"))
		f := New(Options{Peers: forgingPeers{data}})
		So(f.fetchFrom(context.Background(), "127.0.0.1:1", 0), ShouldNotBeNil)
		So(f.Version(), ShouldEqual, 0)
		So(f.adopt(context.Background(), data, peerSource{forgingPeers{data}, ""}, storeSource{fx.store}), ShouldBeNil)
		So(f.Current().Workspace("w"), ShouldNotBeNil)
	})
}

// emptyPeers announces a version with every response but never provides it.
type emptyPeers struct {
	follower *Follower
	requests atomic.Int64
}

func (p *emptyPeers) Config(_ context.Context, addr string, _ int64, _ time.Duration) (peer.Manifest, error) {
	p.requests.Add(1)
	p.follower.ReportVersion(9, addr)
	return peer.Manifest{Version: 9}, nil
}

func (p *emptyPeers) Documents(context.Context, string, []string) ([][]byte, error) { return nil, nil }

// TestAnnouncedVersionNotProvided guards against a request loop: the response to a
// failed fetch announces the same version again.
func TestAnnouncedVersionNotProvided(t *testing.T) {
	Convey("A process that announces a version without providing it does not receive constant requests", t, func() {
		peers := &emptyPeers{}
		peers.follower = New(Options{Peers: peers})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go peers.follower.fetchAnnounced(ctx)
		peers.follower.ReportVersion(9, "10.0.0.1:1")
		for peers.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(peerAvoidPeriod / 2)
		So(peers.requests.Load(), ShouldEqual, 1)
	})
}

// stalledStore has a watch that never reports anything.
type stalledStore struct{ kvstore.Store }

func (stalledStore) Watch(context.Context, string, kvstore.Position) <-chan kvstore.WatchBatch {
	return make(chan kvstore.WatchBatch)
}

// TestStalledWatch guards against a watcher that misses new versions because its
// watch reports neither changes nor an error.
func TestStalledWatch(t *testing.T) {
	Convey("A watch that stalls without an error does not prevent new versions", t, func() {
		fx := newFixture(t)
		fx.put(1, document("a", "w"))
		f := New(Options{Store: stalledStore{fx.store}, VMs: func() []vmlist.VM { return nil }})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = f.Serve(ctx) }()
		waitForVersion(t, f, 1)
		fx.put(2, document("a", "w2"))
		waitForVersion(t, f, 2)
	})
}
