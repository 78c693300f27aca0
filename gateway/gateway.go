package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/feed"
	"github.com/quetzalglade/quetzalglade/internal/bodybudget"
	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/settings"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Options configures a Gateway.
type Options struct {
	// VM is the name of this VM, Datacentre that of its data centre.
	VM         string
	Datacentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// LinkMbps is the bandwidth of this VM's network link in Mbit/s, 0 if unknown.
	LinkMbps float64
	// MemoryMB is the memory of this VM in MiB, 0 if unknown.
	MemoryMB int
	// ClientListener is the listener for clients, ReadinessListener the listener for
	// the load balancer's readiness checks, PeerListener the listener for other
	// gateways and the metrics page.
	ClientListener    net.Listener
	ReadinessListener net.Listener
	PeerListener      net.Listener
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Store     kvstore.Store
	// TableKey is the store key of the configuration, TargetPrefix the prefix
	// of the store keys of targets.
	TableKey     string
	TargetPrefix string
	// EvacuationPrefix is the prefix of the store keys by which the operator evacuates data
	// centres; the rest of a key is the name of the data centre.
	EvacuationPrefix string
	DecodeTable      func(data []byte) (*routing.Table, error)
	DecodeTarget     registry.Decode
	Codec            Codec
	Logger           log.Logger
	// SidecarWatcher reads the load reports of the sidecars, which listen on port
	// SidecarPort of the targets' VMs; nil if there are no sidecars.
	SidecarWatcher SidecarWatcher
	SidecarPort    int
	// AdmissionControl makes streams at engines wait, start late or be refused by what they
	// can still be of use for. Without it, only less urgent streams wait.
	AdmissionControl bool
	// Migrator migrates requests between engines; nil disables migration.
	Migrator Migrator
	// RunReporter reports whether an engine that cannot migrate still runs a request; nil relies
	// on the closed connection.
	RunReporter RunReporter
	// PeerClient is the HTTP client for the feeds of other gateways, which pass
	// on the changes of the store.
	PeerClient *http.Client
	// RetryRatio is the number of retries allowed for each request of a
	// service, RetryReserve the number allowed for each service beyond the ratio
	// to all gateways together, both within RetryWindow.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdOver and ColdSlack bound the requests that a cold target gets in a second from
	// all gateways: its rate times ColdOver plus ColdSlack. ColdSettingsIgnored is set if
	// a value that was set for one of them is out of range.
	ColdOver            float64
	ColdSlack           float64
	ColdSettingsIgnored bool
	// ColdProber asks engines whose sidecars do not answer; nil if they cannot be asked.
	ColdProber ColdProber
	// BalancerGrace is the time after a stop signal in which requests are still
	// accepted, DrainLimit the maximum duration of the whole stop.
	BalancerGrace time.Duration
	DrainLimit    time.Duration
	// StreamReadAheadBytes limits what is read from the target of one stream while its client
	// reads slowly, ReadAheadBytes that of all streams together; 0 stands for a default.
	StreamReadAheadBytes int64
	ReadAheadBytes       int64
}

// Limits on connections to targets.
const (
	// dialTimeout covers a round trip between regions. It is shorter than the
	// second after which a lost SYN packet is retransmitted.
	dialTimeout = 700 * time.Millisecond
	// unacknowledgedTimeout is how long a target may leave sent data
	// unacknowledged. Clients abort a request after two seconds without data,
	// so the timeout is below that.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// maxIdleConns is the number of idle connections kept to one target.
	maxIdleConns = 8
)

// Gateway authenticates the requests of clients, chooses targets for them and
// relays the responses.
type Gateway struct {
	opts           Options
	table          atomic.Pointer[routing.Table]
	targets        *registry.Keeper
	feedHub        *feed.Hub
	members        *feed.MemberRegistry
	quarantine     *quarantine.Keeper
	parts          *quarantine.PartKeeper
	feedSource     *feed.Source
	connPool       *httpwire.Pool
	placementCosts decision.PlacementCosts
	metrics        *metrics
	stopping       atomic.Bool
	stopPhase      *stopPhase
	stalls         stallWatch
	slowdowns      slowdowns
	retryBudgets   retryBudgets
	responseBuffer *bufferlimit.Limit
	// readAhead limits the events of all streams that are read ahead, streamReadAhead those of
	// one stream.
	readAhead       *bufferlimit.Limit
	streamReadAhead int64
	bodies          *bodybudget.Budget
	guard           *connguard.Guard
	holdQueues      holdQueues
	evacuations     *evacuations
	waitQueues      waitQueues
	// unknownRegions counts regions in configurations that no data centre has.
	unknownRegions atomic.Int64
}

// New returns a gateway that is not yet serving.
func New(opts Options) (*Gateway, error) {
	gatewayMetrics, err := newMetrics()
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		opts:            opts,
		connPool:        httpwire.NewPool(httpwire.PoolOptions{DialTimeout: dialTimeout, UserTimeout: unacknowledgedTimeout, MaxIdle: maxIdleConns}),
		placementCosts:  decision.DefaultPlacementCosts(),
		metrics:         gatewayMetrics,
		stopPhase:       newStopPhase(),
		responseBuffer:  bufferlimit.New(maxBufferedBytes, freeBufferBytes),
		readAhead:       bufferlimit.New(cmp.Or(opts.ReadAheadBytes, defaultReadAhead), 0),
		streamReadAhead: cmp.Or(opts.StreamReadAheadBytes, defaultStreamReadAhead),
		bodies:          bodybudget.New(bodyMemoryBytes(opts.MemoryMB)),
		guard:           connguard.New(connguard.OptionsFor(cmp.Or(opts.MemoryMB, defaultMemoryMB), settings.BodyRate(), opts.Logger)),
	}
	gatewayMetrics.Gauge("streams_waiting", "Streams that wait for a target with room.", g.waitQueues.waiting.Load)
	gatewayMetrics.Gauge("body_bytes", "Bytes that are held or reserved for the bodies of requests.", g.bodies.Used)
	gatewayMetrics.Gauge("bodies_dropped", "Bodies that were let go after they had been sent, for the memory.", g.bodies.Dropped)
	gatewayMetrics.Gauge("read_ahead_bytes", "Bytes of events that were read from targets while their clients read slowly.", g.readAhead.Used)
	gatewayMetrics.Gauge("bodies_refused", "Bodies that got no memory.", g.bodies.Refused)
	g.guard.RegisterGauges(gatewayMetrics.Gauge)
	g.targets = registry.NewKeeper(g.decodeTarget, opts.Logger)
	self := feed.Member{Name: opts.VM, Region: opts.Regions[opts.Datacentre], Addr: opts.PeerListener.Addr().String(), LinkMbps: opts.LinkMbps}
	g.members = feed.NewMemberRegistry(self, opts.Store, opts.Logger)
	g.feedHub = feed.NewHub()
	g.evacuations = newEvacuations(opts.EvacuationPrefix, opts.Regions, opts.Logger)
	if opts.EvacuationPrefix != "" {
		// Before the configuration, which makes the gateway ready.
		g.feedHub.Subscribe(opts.EvacuationPrefix, g.evacuations)
	}
	gatewayMetrics.Gauge("evacuated_datacentres", "Data centres that are evacuated.", g.evacuations.count)
	gatewayMetrics.Gauge("evacuations_unknown", "Evacuations of data centres that the settings do not name.", g.evacuations.unknown.Load)
	gatewayMetrics.Gauge("regions_unknown", "Regions in configurations that no data centre has.", g.unknownRegions.Load)
	g.feedHub.Subscribe(opts.TableKey, &tableFollower{g: g})
	g.feedHub.Subscribe(opts.TargetPrefix, g.targets)
	g.feedHub.Subscribe(feed.MemberPrefix, g.members)
	g.quarantine = quarantine.NewKeeper(opts.Store, opts.Logger, false)
	g.feedHub.Subscribe(quarantine.Prefix, g.quarantine)
	g.parts = quarantine.NewPartKeeper(opts.Store, opts.Logger, g.sendPartEvidence)
	g.feedHub.Subscribe(quarantine.PartPrefix, g.parts)
	gatewayMetrics.Gauge("state_era", "Era of the store's state in this process: the restores that the store has stated.", func() int64 { return g.feedHub.Position().Era })
	gatewayMetrics.Gauge("state_revision", "Revision of the store's state in this process.", func() int64 { return g.feedHub.Position().Revision })
	gatewayMetrics.Gauge("state_age_milliseconds", "Time since the state in this process was read from the store, in milliseconds.", func() int64 { return g.feedHub.StateAge(time.Now()).Milliseconds() })
	g.feedSource = feed.NewSource(opts.Store, g.feedHub, g.members, opts.PeerClient, opts.Logger)
	g.retryBudgets.memberCount = g.members.Count
	g.retryBudgets.ratio = opts.RetryRatio
	g.retryBudgets.window = opts.RetryWindow
	g.retryBudgets.reserve = opts.RetryReserve
	return g, nil
}

// decodeTarget decodes the store entry of a target. An entry with the address of a gateway
// is an error, since requests would come back.
func (g *Gateway) decodeTarget(key string, value []byte) (registry.Record, error) {
	record, err := g.opts.DecodeTarget(key, value)
	if err != nil {
		return registry.Record{}, err
	}
	host, port, err := net.SplitHostPort(record.Addr)
	if err != nil {
		return registry.Record{}, errors.Wrapf(err, "target %q: address", record.ID)
	}
	for _, l := range []net.Listener{g.opts.ClientListener, g.opts.ReadinessListener, g.opts.PeerListener} {
		ownHost, ownPort, err := net.SplitHostPort(l.Addr().String())
		if err == nil && port == ownPort && (host == ownHost || g.members.HasHost(host)) {
			return registry.Record{}, errors.Newf("target %q: %s is the address of a gateway", record.ID, record.Addr)
		}
	}
	return record, nil
}

// Serve runs the gateway until ctx ends, then stops gracefully.
func (g *Gateway) Serve(ctx context.Context) error {
	if g.opts.ColdSettingsIgnored {
		g.metrics.recordIgnored("cold settings")
		telemetry.Warn(g.opts.Logger, "invalid cold settings ignored", "cold_over", g.opts.ColdOver, "cold_slack", g.opts.ColdSlack)
	}
	telemetry.Info(g.opts.Logger, "start", "front", g.opts.ClientListener.Addr().String(), "datacentre", g.opts.Datacentre)
	controlCtx, cancelControl := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelControl()
	supervisor := suture.New("gateway", suture.Spec{EventHook: g.logSupervisorEvent})
	supervisor.Add(g.targets)
	supervisor.Add(&storeFollower{store: g.feedSource, follower: g.feedHub})
	supervisor.Add(g.members)
	supervisor.Add(g.quarantine)
	supervisor.Add(g.parts)
	supervisor.Add(&idlePruner{pool: g.connPool})
	supervisor.Add(&g.stalls)
	if g.opts.SidecarWatcher != nil {
		supervisor.Add(&loadCollector{g: g, watcher: g.opts.SidecarWatcher, port: g.opts.SidecarPort})
	}
	supervisorDone := supervisor.ServeBackground(controlCtx)
	frontend := newFrontend(g)
	readyServer := g.internalServer(g.readyHandler())
	defer g.close("readiness", readyServer)
	go g.serveListener("readiness", readyServer, g.guardListener(g.opts.ReadinessListener))
	peerServer := g.internalServer(g.peerHandler())
	defer g.close("peers", peerServer)
	go g.serveListener("peers", peerServer, g.guardListener(g.opts.PeerListener))
	go frontend.serve()
	select {
	case err := <-supervisorDone:
		return err
	case <-ctx.Done():
	}
	g.stop(frontend)
	return nil
}

// stop reports the gateway as not ready to the load balancer, accepts requests
// for BalancerGrace, or less in a short stop, and then waits for active requests. Those
// that are still active at the end get an answer.
func (g *Gateway) stop(frontend *frontend) {
	startedAt := g.stalls.signalTime(time.Now(), g.opts.DrainLimit)
	times := newStopTimes(startedAt, g.opts.BalancerGrace, g.opts.DrainLimit)
	g.stopPhase.begin(times)
	g.stopping.Store(true)
	telemetry.Info(g.opts.Logger, "stopping", "requests", g.metrics.activeRequests.Load())
	time.Sleep(time.Until(times.accept))
	ctx, cancel := context.WithDeadline(g.stopPhase.stop, times.stop.Add(minAnswerTime))
	defer cancel()
	busy := frontend.shutdown(ctx)
	telemetry.Info(g.opts.Logger, "stop", "took_ms", time.Since(startedAt).Milliseconds(), "cut", g.metrics.activeRequests.Load(), "busy_connections", busy)
}

// guardListener returns a listener whose connections are in the account of the process.
func (g *Gateway) guardListener(l net.Listener) net.Listener {
	guarded := httpserve.NewListener(l, nil)
	guarded.SetGuard(g.guard)
	return guarded
}

// serveListener serves connections until the server or its listener is closed.
func (g *Gateway) serveListener(name string, s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		telemetry.Warn(g.opts.Logger, "HTTP server failed", "server", name, "err", err)
	}
}

func (g *Gateway) close(name string, s *http.Server) {
	if err := s.Close(); err != nil {
		telemetry.Warn(g.opts.Logger, "closing HTTP server failed", "server", name, "err", err)
	}
}

func (g *Gateway) logSupervisorEvent(e suture.Event) {
	telemetry.Warn(g.opts.Logger, "supervisor event", "event", e.String())
}

// peerHandler serves the feed and the evidence of prompt parts for other gateways, and
// the metrics page.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", g.metrics.Handler())
	mux.Handle("/feed/", g.feedHub.Handler())
	mux.HandleFunc("POST "+pathPartEvidence, g.handlePartEvidence)
	mux.HandleFunc("POST "+pathDepartures, g.handleDeparture)
	return mux
}

// storeFollower is a suture service that passes all keys of a store and their
// changes to a follower.
type storeFollower struct {
	store    kvstore.Store
	follower kvstore.Follower
}

// Serve implements suture.Service.
func (f *storeFollower) Serve(ctx context.Context) error {
	kvstore.Follow(ctx, f.store, "", f.follower)
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (f *storeFollower) String() string { return "store follower" }

// prunePeriod is the time between removals of expired idle connections.
const prunePeriod = time.Second

// idlePruner removes expired idle connections from a pool. It is a suture
// service.
type idlePruner struct{ pool *httpwire.Pool }

// Serve implements suture.Service.
func (p *idlePruner) Serve(ctx context.Context) error {
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

// tableFollower puts new versions of the configuration into force.
type tableFollower struct {
	g            *Gateway
	disconnected bool
}

// Reset implements kvstore.Follower.
func (f *tableFollower) Reset(kvs []kvstore.KV, _ kvstore.Position) {
	f.markConnected()
	for i := range kvs {
		f.g.applyTable(&kvs[i])
	}
}

// Apply implements kvstore.Follower.
func (f *tableFollower) Apply(batch kvstore.WatchBatch) {
	f.markConnected()
	for _, e := range slices.Backward(batch.Events) {
		if !e.Deleted && f.g.applyTable(&e.KV) {
			return
		}
	}
}

// Disconnected implements kvstore.Follower.
func (f *tableFollower) Disconnected(err error) {
	if !f.disconnected {
		telemetry.Warn(f.g.opts.Logger, "store unavailable", "following", "configuration", "err", err, "config_version", f.g.configVersion())
	}
	f.disconnected = true
}

func (f *tableFollower) markConnected() {
	if f.disconnected {
		telemetry.Info(f.g.opts.Logger, "store available again", "following", "configuration", "config_version", f.g.configVersion())
	}
	f.disconnected = false
}

// configVersion returns the configuration version in force, 0 if there is none
// yet.
func (g *Gateway) configVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// applyTable puts a configuration into force if its version is higher than the
// current one. It reports whether kv holds a valid configuration.
func (g *Gateway) applyTable(kv *kvstore.KV) bool {
	if kv.Key != g.opts.TableKey {
		return false
	}
	table, err := g.opts.DecodeTable(kv.Value)
	if err != nil {
		telemetry.Warn(g.opts.Logger, "ignored invalid configuration", "revision", kv.ModRevision, "err", err)
		return false
	}
	if current := g.table.Load(); current != nil && current.Version >= table.Version {
		return true
	}
	if services := table.InheritCold(g.table.Load()); len(services) > 0 {
		g.metrics.recordIgnored("cold configuration")
		telemetry.Warn(g.opts.Logger, "invalid cold values of services ignored", "services", services, "config_version", table.Version)
	}
	source, stateAge := g.feedSource.Current()
	telemetry.Info(g.opts.Logger, "configuration in force", "config_version", table.Version, "before", g.configVersion(), "revision", kv.ModRevision,
		"source", source, "state_age_ms", stateAge.Milliseconds(), "bytes", len(kv.Value))
	g.logUnknownRegions(table)
	g.table.Store(table)
	return true
}
