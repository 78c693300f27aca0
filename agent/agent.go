// Package agent implements the process that runs next to one target and proxies
// all traffic to it. The agent queues, admits and measures requests, buffers
// token streams so that no tokens are lost when an entry or a link fails, and
// starts and cancels the work at the target. The package is embeddable;
// cmd/quetzalglade-agent only configures and starts it.
package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/boottime"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"

	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Options configure an Agent. VM, Listener, Keys and one of EngineURL and
// PlainURL are required.
type Options struct {
	VM         string
	Datacentre string
	Region     string
	// Role is the role by which the configuration of plain services selects
	// their targets.
	Role string
	// Listener accepts connections of other processes.
	Listener net.Listener
	// Guard is the account of what the process holds for others, nil for none.
	Guard *connguard.Guard
	// EngineURL is the address of a model engine, PlainURL the address of a
	// plain service. Exactly one of them is set.
	EngineURL string
	PlainURL  string
	Keys      peer.Keys
	// OperatorKeys authorize operators' tools to use drain, decisions, state and
	// metrics. Without OperatorKeys, Keys authorize them.
	OperatorKeys peer.Keys
	// TLS enables TLS with ClientTLS for requests to other processes.
	TLS       bool
	ClientTLS *tls.Config
	// Store holds the configuration; nil leaves the agent without a configuration.
	Store  kvstore.Store
	Logger log.Logger
	// OutputTokens returns the output length of a prompt in tokens; nil means that
	// output lengths are not known in advance. Only benchmarks set it, to measure
	// how much known lengths improve scheduling.
	OutputTokens func(prompt string) int
	// Limits bound the queue and the requests in progress at the target; the
	// zero value selects the defaults.
	Limits decision.QueueLimits
	// DrainGrace is the minimum time for which a stopping agent answers other
	// processes, so that they learn that it drains. Zero selects the default.
	DrainGrace time.Duration
	// DrainLimit is the maximum wait for running work during a stop. Zero
	// selects the default.
	DrainLimit time.Duration
}

// Agent queues, admits and proxies the requests to one target.
type Agent struct {
	opts         Options
	incarnation  string
	engine       *target.Engine
	plain        *target.Plain
	recorder     *telemetry.Recorder
	metrics      *telemetry.Metrics
	config       *configsync.Follower
	control      *control
	callLatency  callLatencyMeter
	generations  *generationTable
	tokenLatency tokenLatencyMeter
	atMostOnce   *atMostOnceTable
	// clock returns the time since the VM was booted. startTime is when the agent was created.
	clock      func() time.Duration
	startTime  time.Duration
	gate       *engineGate
	quarantine *quarantine.Keeper
	state      atomic.Pointer[peer.State]
	inFlight   sync.WaitGroup
	// baseCtx is the context of work at the target, which continues after the
	// request that started it has ended.
	baseCtx context.Context
	cancel  context.CancelFunc
	// answers ends when calls in progress must be answered since a stop ends.
	answers    context.Context
	endAnswers context.CancelFunc
}

// Sizes, defaults of Options and periods of an agent.
const (
	maxRecordedDecisions = 4096
	// messageFactor is the memory that a message takes for each of its bytes: the decoder's
	// buffer grows by doubling. Measured: 50 MiB for a message of 16 MiB.
	messageFactor     = 4
	incarnationBytes  = 6
	defaultDrainGrace = 3 * time.Second
	defaultDrainLimit = 30 * time.Minute
	// lastWriteTime limits the time after the drain in which responses are written.
	lastWriteTime = writeTimeout
)

// New returns an agent; Serve runs it.
func New(opts Options) (*Agent, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics("quetzalglade_agent")
	if err != nil {
		return nil, err
	}
	a := &Agent{
		opts:        opts,
		incarnation: newIncarnation(),
		recorder:    telemetry.NewRecorder(opts.Logger, metrics, maxRecordedDecisions),
		metrics:     metrics,
		generations: newGenerationTable(),
		atMostOnce:  newAtMostOnceTable(),
		clock:       boottime.Now,
		startTime:   boottime.Now(),
		gate:        newEngineGate(),
		quarantine:  quarantine.NewKeeper(opts.Store, opts.Logger, false),
	}
	a.baseCtx, a.cancel = context.WithCancel(context.Background())
	a.answers, a.endAnswers = context.WithCancel(context.Background())
	client := httpclient.New(httpclient.Options{IdlePerHost: opts.Limits.Slots, TLS: opts.ClientTLS})
	if opts.EngineURL != "" {
		a.engine = target.NewEngine(opts.EngineURL, client)
	} else {
		a.plain = target.NewPlain(opts.PlainURL, client)
	}
	a.config = newFollower(&opts)
	a.control = newControl(a)
	a.registerGauges()
	if opts.Guard != nil {
		opts.Guard.RegisterGauges(metrics.Gauge)
	}
	return a, nil
}

func (a *Agent) registerGauges() {
	a.metrics.Gauge("running", "Requests in progress at the target.", func() int64 { return int64(a.State().Load.Running) })
	a.metrics.Gauge("queued", "Requests waiting for the target.", func() int64 { return int64(a.State().Load.Queued) })
	a.metrics.Gauge("slots", "Concurrency that is allowed now.", func() int64 { return int64(a.State().Load.Slots) })
	a.metrics.Gauge("used_tokens", "Tokens in the target's memory.", func() int64 { return int64(a.State().Load.KVTokens) })
	a.metrics.Gauge("config_version", "Configuration version in force here.", func() int64 { return a.State().ConfigVersion })
}

// validate checks the required options and sets the defaults of the others.
func (o *Options) validate() error {
	if o.VM == "" || o.Listener == nil || len(o.Keys) == 0 {
		return errors.New("agent: VM, listener and keys are required")
	}
	if (o.EngineURL == "") == (o.PlainURL == "") {
		return errors.New("agent: exactly one of engine and plain service is required")
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	o.setDefaultLimits()
	if o.DrainGrace == 0 {
		o.DrainGrace = defaultDrainGrace
	}
	if o.DrainLimit == 0 {
		o.DrainLimit = defaultDrainLimit
	}
	return nil
}

// setDefaultLimits replaces zero limits by the defaults. If any limit is set,
// only missing values of Slots and MaxWaiting are replaced.
func (o *Options) setDefaultLimits() {
	defaults := decision.DefaultQueueLimits()
	if o.Limits == (decision.QueueLimits{}) {
		o.Limits = defaults
	}
	if o.Limits.Slots == 0 {
		o.Limits.Slots = defaults.Slots
	}
	if o.Limits.MaxWaiting == 0 {
		o.Limits.MaxWaiting = defaults.MaxWaiting
	}
}

func newIncarnation() string {
	raw := make([]byte, incarnationBytes)
	// crypto/rand.Read never fails on supported systems.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Serve runs the agent until ctx ends, then drains it: the agent refuses new work
// and waits for running work.
func (a *Agent) Serve(ctx context.Context) error {
	defer a.cancel()
	supervisor := suture.New("agent", suture.Spec{EventHook: a.logSupervisorEvent, Timeout: a.opts.DrainLimit})
	supervisor.Add(a.control)
	if a.engine != nil {
		supervisor.Add(&engineProber{agent: a})
	}
	if a.opts.Store != nil {
		supervisor.Add(a.config)
	}
	if a.opts.Store != nil {
		supervisor.Add(a.quarantine)
	}
	server := httpserve.New("agent peers", a.opts.Listener, a.handler(), min(a.opts.DrainLimit, lastWriteTime))
	server.SetGuard(a.opts.Guard, messageFactor, true)
	supervisor.Add(server)
	supervisorCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := supervisor.ServeBackground(supervisorCtx)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	end := a.drain()
	stop()
	select {
	case err := <-done:
		return ignoreCanceled(err)
	case <-time.After(time.Until(end)):
		// Responses that nothing reads.
		return nil
	}
}

// ignoreCanceled returns nil for context.Canceled, which an orderly stop returns.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// isIdle reports whether all accepted work has ended and every generation in the
// table has been delivered to its end. An ended generation that was not delivered
// keeps the agent busy until its grace period is over and it leaves the table.
func (a *Agent) isIdle() bool {
	hasJobs := false
	a.control.do(func(s *state) { hasJobs = len(s.jobs) > 0 })
	return !hasJobs && !a.generations.hasUndelivered()
}

func (a *Agent) setDraining(draining bool, reason string) {
	a.control.do(func(s *state) { s.draining = draining || s.stopping })
	choice := "accept new work"
	if draining {
		choice = "refuse new work"
	}
	a.recorder.Record(telemetry.Decision{Kind: telemetry.KindDrain, Target: a.opts.VM, Choice: choice, Reason: reason})
}

// State returns the state that the agent reports to other processes. It is safe
// for concurrent use.
func (a *Agent) State() peer.State {
	st := *a.state.Load()
	st.UptimeMillis = a.uptime().Milliseconds()
	return st
}

func (a *Agent) configuration() *config.Config { return a.config.Current() }

func (a *Agent) logSupervisorEvent(e suture.Event) {
	telemetry.Warn(a.opts.Logger, "supervisor event", "event", e.String())
}
