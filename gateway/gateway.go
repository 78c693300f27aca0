package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/feed"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Options configure a Gateway.
type Options struct {
	VM         string
	Datacentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Front and Ready are the listeners for clients and the balancer, Peer that
	// for other gateways and the metrics page.
	Front net.Listener
	Ready net.Listener
	Peer  net.Listener
	// ReadyPath is asked by the balancer.
	ReadyPath string
	Store     kvstore.Store
	// TableKey is the key of the configuration, TargetPrefix that of the keys
	// of targets.
	TableKey     string
	TargetPrefix string
	DecodeTable  func(data []byte) (*routing.Table, error)
	DecodeTarget registry.Decode
	Codec        Codec
	Logger       log.Logger
	// Sidecars reads the streams of sidecars, nil for none; they listen on
	// SidecarPort of the targets' machines.
	Sidecars    Watcher
	SidecarPort int
	// Mover moves runs between engines; nil for none.
	Mover Mover
	// Peers reads the feeds of other gateways.
	Peers *http.Client
	// RetryRatio and RetryReserve are the retry budget of a service, the reserve
	// that of all gateways together.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// BalancerGrace is how long requests are accepted after a stop signal,
	// DrainLimit how long a stop may take in all.
	BalancerGrace time.Duration
	DrainLimit    time.Duration
}

// Bounds of connections to targets.
const (
	// dialTimeout covers a round trip between regions and one lost packet less
	// than the retransmission of a second.
	dialTimeout = 700 * time.Millisecond
	// unacknowledged is how long a target may leave data unacknowledged; below
	// the two seconds of silence at which clients give up.
	unacknowledged = 1500 * time.Millisecond
	// maxIdle is the number of idle connections kept to one target.
	maxIdle = 8
)

// Gateway is the process in front of the targets.
type Gateway struct {
	o        Options
	table    atomic.Pointer[routing.Table]
	targets  *registry.Keeper
	hub      *feed.Hub
	members  *feed.Registry
	marks    *quarantine.Keeper
	source   *feed.Source
	pool     *httpwire.Pool
	costs    decision.PlacementCosts
	metrics  *metrics
	stopping atomic.Bool
	paces    paces
	budgets  budgets
}

// New returns a gateway that is not yet serving.
func New(o Options) (*Gateway, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		o:       o,
		targets: registry.NewKeeper(o.DecodeTarget, o.Logger),
		pool:    httpwire.NewPool(httpwire.PoolOptions{DialTimeout: dialTimeout, Unacknowledged: unacknowledged, MaxIdle: maxIdle}),
		costs:   decision.DefaultPlacementCosts(),
		metrics: m,
	}
	self := feed.Member{Name: o.VM, Region: o.Regions[o.Datacentre], Addr: o.Peer.Addr().String()}
	g.members = feed.NewRegistry(self, o.Store, o.Logger)
	g.hub = feed.NewHub()
	g.hub.Subscribe(o.TableKey, &tableFollower{g: g})
	g.hub.Subscribe(o.TargetPrefix, g.targets)
	g.hub.Subscribe(feed.MemberPrefix, g.members)
	g.marks = quarantine.NewKeeper(o.Store, o.Logger, false)
	g.hub.Subscribe(quarantine.Prefix, g.marks)
	g.source = feed.NewSource(o.Store, g.hub, g.members, o.Peers, o.Logger)
	g.budgets.members = g.members.Count
	g.budgets.ratio = o.RetryRatio
	g.budgets.window = o.RetryWindow
	g.budgets.reserve = o.RetryReserve
	return g, nil
}

// Serve runs the gateway until ctx ends, then stops gracefully.
func (g *Gateway) Serve(ctx context.Context) error {
	telemetry.Info(g.o.Logger, "start", "front", g.o.Front.Addr().String(), "datacentre", g.o.Datacentre)
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	tree := suture.New("gateway", suture.Spec{EventHook: g.logEvent})
	tree.Add(g.targets)
	tree.Add(&follow{store: g.source, follower: g.hub})
	tree.Add(g.members)
	tree.Add(g.marks)
	tree.Add(&pruner{pool: g.pool})
	if g.o.Sidecars != nil {
		tree.Add(&observer{g: g, watcher: g.o.Sidecars, port: g.o.SidecarPort})
	}
	failed := tree.ServeBackground(control)
	front := newFront(g)
	ready := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: readyTimeout}
	defer g.close("readiness", ready)
	go g.listen("readiness", ready, g.o.Ready)
	peer := &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: readyTimeout}
	defer g.close("peers", peer)
	go g.listen("peers", peer, g.o.Peer)
	go front.serve(g.o.Front)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop(front)
	return nil
}

// stop leaves the balancer, then waits for the requests in progress.
func (g *Gateway) stop(front *front) {
	began := time.Now()
	telemetry.Info(g.o.Logger, "stopping", "requests", g.metrics.active.Load())
	g.stopping.Store(true)
	time.Sleep(g.o.BalancerGrace)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.o.DrainLimit))
	defer cancel()
	front.shutdown(ctx)
	telemetry.Info(g.o.Logger, "stop", "took_ms", time.Since(began).Milliseconds(), "cut", g.metrics.active.Load())
}

// listen serves connections until the server or its listener is closed.
func (g *Gateway) listen(name string, s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		telemetry.Warn(g.o.Logger, "server ended", "server", name, "err", err)
	}
}

func (g *Gateway) close(name string, s *http.Server) {
	if err := s.Close(); err != nil {
		telemetry.Warn(g.o.Logger, "server not closed", "server", name, "err", err)
	}
}

func (g *Gateway) logEvent(e suture.Event) {
	telemetry.Warn(g.o.Logger, "service ended", "event", e.String())
}

// peerHandler serves other gateways and the metrics page.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", g.metrics.Handler())
	mux.Handle("/feed/", g.hub.Handler())
	return mux
}

// follow keeps a follower informed of all keys; it is a suture service.
type follow struct {
	store    kvstore.Store
	follower kvstore.Follower
}

// Serve implements suture.Service.
func (f *follow) Serve(ctx context.Context) error {
	kvstore.Follow(ctx, f.store, "", f.follower)
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (f *follow) String() string { return "follow the store" }

// prunePeriod is the time between removals of expired idle connections.
const prunePeriod = time.Second

type pruner struct{ pool *httpwire.Pool }

// Serve implements suture.Service.
func (p *pruner) Serve(ctx context.Context) error {
	t := time.NewTicker(prunePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.pool.Prune()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tableFollower takes new versions of the configuration into force.
type tableFollower struct {
	g    *Gateway
	lost bool
}

// Reset implements kvstore.Follower.
func (f *tableFollower) Reset(kvs []kvstore.KV, _ int64) {
	f.regain()
	for i := range kvs {
		f.g.adopt(&kvs[i])
	}
}

// Apply implements kvstore.Follower.
func (f *tableFollower) Apply(batch kvstore.WatchBatch) {
	f.regain()
	for i := range batch.Events {
		if !batch.Events[i].Deleted {
			f.g.adopt(&batch.Events[i].KV)
		}
	}
}

// Lost implements kvstore.Follower.
func (f *tableFollower) Lost(err error) {
	if !f.lost {
		telemetry.Warn(f.g.o.Logger, "lost the store", "following", "configuration", "err", err, "config_version", f.g.version())
	}
	f.lost = true
}

func (f *tableFollower) regain() {
	if f.lost {
		telemetry.Info(f.g.o.Logger, "regained the store", "following", "configuration", "config_version", f.g.version())
	}
	f.lost = false
}

// version returns the configuration version in force, 0 before the first.
func (g *Gateway) version() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// adopt puts a configuration into force if it is newer than the present one.
func (g *Gateway) adopt(kv *kvstore.KV) {
	if kv.Key != g.o.TableKey {
		return
	}
	t, err := g.o.DecodeTable(kv.Value)
	if err != nil {
		telemetry.Warn(g.o.Logger, "ignored a configuration", "revision", kv.ModRevision, "err", err)
		return
	}
	if old := g.table.Load(); old != nil && old.Version >= t.Version {
		return
	}
	telemetry.Info(g.o.Logger, "configuration in force", "config_version", t.Version, "before", g.version(), "revision", kv.ModRevision)
	g.table.Store(t)
}
