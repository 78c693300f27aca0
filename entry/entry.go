// Package entry implements the entry process, which runs on the entry VMs behind
// the platform's load balancer. An entry authenticates callers' requests, chooses
// targets and relays answers. Its state is in memory only, and losing that state
// affects no guarantee to callers. Programs can embed an Entry;
// cmd/quetzalglade-entry only reads the settings and runs one.
package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"

	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Options configures an Entry. VM, Listener, Keys, Store and VMLister are
// required.
type Options struct {
	// VM, Datacentre and Region are the location of this process.
	VM         string
	Datacentre string
	Region     string
	// Listener accepts connections of callers and other processes.
	Listener net.Listener
	// Guard is the account of what the process holds for others, nil for none.
	Guard *connguard.Guard
	// Keys are the shared keys of the fleet; the first is sent, all are accepted.
	Keys peer.Keys
	// OperatorKeys give operators' tools access to decisions, state and metrics.
	// If there are none, Keys give this access.
	OperatorKeys peer.Keys
	// TLS enables TLS with ClientTLS for messages to other processes.
	TLS       bool
	ClientTLS *tls.Config
	// Store is the platform's key-value service, VMLister its list of VMs.
	Store    kvstore.Store
	VMLister membership.Lister
	// Logger receives log lines; nil discards them.
	Logger log.Logger
	// Dial opens the connections to agents; nil selects the standard dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Policy selects the routing policy; the default is least_work.
	Policy decision.Policy
	// Disabled disables mechanisms of the entry for measurements.
	Disabled DisabledMechanisms
	// ReservationLimits limits the reservation requests of late binding: an entry
	// asks several targets to reserve capacity for work that would have to wait even
	// at the best target, and sends the work to the first that grants a reservation.
	// The zero value selects decision.DefaultReservationLimits.
	ReservationLimits decision.ReservationLimits
	// BalancerGrace is how long a stopping entry still accepts requests, so that
	// the load balancer can detect that it is not ready. 0 selects the default.
	BalancerGrace time.Duration
	// DrainLimit limits the wait for answers in progress when the entry stops. 0
	// selects the default.
	DrainLimit time.Duration
	// ClaimRetention is how long the outcome of a call with an idempotency key is
	// kept. 0 selects the default.
	ClaimRetention time.Duration
	// Claims limits the store writes for claims and their outcomes.
	Claims claim.BatchOptions
}

// Entry is an entry process. New returns one and Serve runs it; its other methods
// are safe for concurrent use.
type Entry struct {
	opts       Options
	recorder   *telemetry.Recorder
	metrics    *telemetry.Metrics
	config     *configsync.Follower
	members    *membership.Tracker
	peerClient *peer.Client
	// revoker sends revocations, each on a connection of its own.
	revoker *peer.Client
	claims  *claim.Registry
	// restores watches for restores of the store.
	restores *restoreWatch
	// mismatchedReplies counts dropped frames and replies whose id belongs to
	// another generation or call.
	mismatchedReplies metric.Int64Counter
	batcher           *claim.Batcher
	quarantine        *quarantine.Keeper
	stopping          atomic.Bool
	stop              *stopPhase
	// targetsDiscovered is set once the phases of all targets have been known at the
	// same time.
	targetsDiscovered atomic.Bool

	deliveredTokens   metric.Int64Counter
	firstTokenLatency metric.Float64Histogram
	requestDuration   metric.Float64Histogram

	router    *decision.Router
	snapshots *snapshotBuilder
	limits    *limits
	// routeSequence numbers the routing decisions.
	routeSequence atomic.Uint64
}

// Sizes of an entry and defaults of Options.
const (
	maxRecordedDecisions = 8192
	// bodyFactor is the memory that a request takes for each byte of its body: the body, its
	// growth while it is read, the message to an agent in base64 and its buffer.
	bodyFactor              = 4
	defaultBalancerGrace    = 2 * time.Second
	defaultDrainLimit       = 30 * time.Minute
	maxIdlePeerConnsPerHost = 256
	// defaultClaimRetention must be much longer than the longest call.
	defaultClaimRetention = 24 * time.Hour
)

// New returns an entry with the given options; Serve runs it. It returns an error
// if a required option is missing.
func New(opts Options) (*Entry, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics("quetzalglade_entry")
	if err != nil {
		return nil, err
	}
	peerClient := peer.NewClient(httpclient.New(httpclient.Options{IdlePerHost: maxIdlePeerConnsPerHost, Dial: opts.Dial, TLS: opts.ClientTLS}), opts.Keys)
	// An agent may have dropped an idle connection; a lost revocation leaves a generation running.
	revoker := peer.NewClient(httpclient.New(httpclient.Options{NewConnections: true, DialTimeout: revokeDialTimeout, Dial: opts.Dial, TLS: opts.ClientTLS}), opts.Keys)
	if opts.TLS {
		peerClient.UseTLS()
		revoker.UseTLS()
	}
	members, follower := newMembershipAndConfig(&opts, peerClient)
	batcher := claim.NewBatcher(opts.Store, opts.Claims)
	e := &Entry{
		opts:              opts,
		recorder:          telemetry.NewRecorder(opts.Logger, metrics, maxRecordedDecisions),
		metrics:           metrics,
		config:            follower,
		members:           members,
		peerClient:        peerClient,
		revoker:           revoker,
		mismatchedReplies: metrics.Counter("crossed_replies", "replies of another generation or call that were dropped"),
		claims:            claim.NewRegistry(opts.Store, batcher, opts.ClaimRetention),
		batcher:           batcher,
		quarantine:        quarantine.NewKeeper(opts.Store, opts.Logger, true),
		router:            decision.NewRouter(opts.Policy, opts.Datacentre, opts.Region),
	}
	e.stop = newStopPhase()
	e.restores = &restoreWatch{entry: e}
	e.snapshots = newSnapshotBuilder(e.members, e.recorder, opts.Disabled.SlowDetection)
	e.limits = newLimits(opts.Disabled)
	e.registerInstruments()
	if opts.Guard != nil {
		opts.Guard.RegisterGauges(metrics.Gauge)
	}
	return e, nil
}

// Upper bounds of the histogram buckets, in seconds.
var (
	firstTokenBounds = []float64{0.05, 0.1, 0.2, 0.45, 1, 2, 5, 10, 30}
	requestBounds    = []float64{0.01, 0.05, 0.1, 0.5, 1, 5, 10, 60, 300, 1800}
)

// registerInstruments registers the entry's metrics.
func (e *Entry) registerInstruments() {
	e.metrics.Gauge("usable_targets", "Targets that may get new work.", func() int64 { return int64(e.UsableTargets()) })
	e.metrics.Gauge("link_bytes", "Estimated bytes to and from targets in other regions since the start.", e.limits.crossRegionBytes)
	e.metrics.Gauge("config_version", "Configuration version in force here.", e.ConfigVersion)
	e.deliveredTokens = e.metrics.Counter("tokens", "Tokens delivered to callers.")
	e.firstTokenLatency = e.metrics.DurationHistogram("first_token", "Time from a request's arrival to its first token.", firstTokenBounds...)
	e.requestDuration = e.metrics.DurationHistogram("request", "Time from a request's arrival to its end.", requestBounds...)
}

// check returns an error if a required option is missing and sets the defaults of
// the others.
func (o *Options) check() error {
	if o.VM == "" || o.Listener == nil || len(o.Keys) == 0 || o.Store == nil || o.VMLister == nil {
		return errors.New("entry: VM, listener, keys, store and VM list are required")
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Policy == "" {
		o.Policy = decision.PolicyLeastWork
	}
	if o.ReservationLimits == (decision.ReservationLimits{}) {
		o.ReservationLimits = decision.DefaultReservationLimits()
	}
	if o.BalancerGrace == 0 {
		o.BalancerGrace = defaultBalancerGrace
	}
	if o.ClaimRetention == 0 {
		o.ClaimRetention = defaultClaimRetention
	}
	if o.DrainLimit == 0 {
		o.DrainLimit = defaultDrainLimit
	}
	return nil
}

// Serve runs the entry until ctx ends and then stops it gracefully: the entry
// reports that it is not ready, accepts requests for BalancerGrace, and finishes
// answers in progress for up to DrainLimit.
func (e *Entry) Serve(ctx context.Context) error {
	// Answers that are late, since the process got no processor time, or that nothing reads, still
	// have some time after the limit.
	closeAfter := e.opts.DrainLimit + maxStopAnswerTime
	supervisorTimeout := closeAfter + maxStopAnswerTime
	coreSupervisor := suture.New("entry", suture.Spec{EventHook: e.logEvent, Timeout: supervisorTimeout})
	coreSupervisor.Add(e.config)
	coreSupervisor.Add(e.members)
	coreSupervisor.Add(e.snapshots)
	coreSupervisor.Add(e.batcher)
	coreSupervisor.Add(e.quarantine)
	coreSupervisor.Add(e.restores)
	httpSupervisor := suture.New("entry callers", suture.Spec{EventHook: e.logEvent, Timeout: supervisorTimeout})
	server := httpserve.New("entry callers", e.opts.Listener, e.handler(), closeAfter)
	server.SetGuard(e.opts.Guard, bodyFactor, true)
	httpSupervisor.Add(server)
	detached := context.WithoutCancel(ctx)
	coreCtx, stopCore := context.WithCancel(detached)
	defer stopCore()
	httpCtx, stopHTTP := context.WithCancel(detached)
	defer stopHTTP()
	coreDone := coreSupervisor.ServeBackground(coreCtx)
	httpDone := httpSupervisor.ServeBackground(httpCtx)
	select {
	case err := <-httpDone:
		return err
	case <-ctx.Done():
	}
	e.stopping.Store(true)
	defer e.stop.begin(time.Now().Add(e.opts.BalancerGrace), e.opts.DrainLimit)()
	time.Sleep(e.opts.BalancerGrace)
	stopHTTP()
	err := <-httpDone
	stopCore()
	return ignoreCancel(errors.CombineErrors(err, <-coreDone))
}

// ignoreCancel returns nil for the error of a graceful stop.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready reports whether the entry can serve requests: it has a configuration, it has
// discovered its targets (see hasDiscoveredTargets), and it is not stopping.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.config.Current() != nil && e.hasDiscoveredTargets()
}

// hasDiscoveredTargets reports whether the entry has, at least once, had targets and
// known the phase of each: it had received a heartbeat from the target or found it
// unreachable. Targets that join later do not make an entry unready.
func (e *Entry) hasDiscoveredTargets() bool {
	if !e.targetsDiscovered.Load() && e.members.Snapshot().Complete(time.Now()) {
		e.targetsDiscovered.Store(true)
	}
	return e.targetsDiscovered.Load()
}

// ConfigVersion returns the version of the configuration that this entry uses, or 0
// before the first one.
func (e *Entry) ConfigVersion() int64 {
	cfg := e.config.Current()
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// UsableTargets returns the number of targets that may receive new work.
func (e *Entry) UsableTargets() int {
	usable := 0
	now := time.Now()
	members := e.members.Snapshot()
	for i := range members.Members {
		if members.Members[i].Usable(now) {
			usable++
		}
	}
	return usable
}

func (e *Entry) logEvent(event suture.Event) {
	telemetry.Warn(e.opts.Logger, "supervisor event", "event", event.String())
}

// random is the source of random numbers for routing. It uses the runtime's
// generator, which goroutines share without a lock.
type random struct{}

// IntN implements decision.Random.
func (random) IntN(n int) int { return rand.IntN(n) }

// Float64 implements decision.Random.
func (random) Float64() float64 { return rand.Float64() }
