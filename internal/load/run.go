package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/internal/wan"
)

// Options configure one run.
type Options struct {
	Deployment Deployment
	// Label identifies the variant in reports.
	Label  string
	Policy decision.Policy
	Seed   uint64
	// Load is the offered request rate as a fraction of the capacity.
	Load float64
	// Shape describes the arrival rate. Do sets its Rate from Load.
	Shape Shape
	// WarmUp is the time at the start whose requests are left out of the figures.
	WarmUp time.Duration
	// DrainTimeout limits the wait for responses after the last arrival.
	DrainTimeout time.Duration
	Engine       standin.EngineOptions
	// PlainSlots is the maximum number of calls that a target with a plain service runs
	// concurrently.
	PlainSlots int
	// PlainDelay is the duration of a call to a plain service at its normal speed.
	PlainDelay time.Duration
	// SlowShare is the fraction of the targets whose work takes SlowFactor times as
	// long in the middle third of the run.
	SlowShare  float64
	SlowFactor float64
	// WithoutLong removes long generations from the schedule and leaves all other
	// arrivals unchanged.
	WithoutLong bool
	// Partition disconnects the regions from each other in the middle third of the
	// run.
	Partition bool
	// ImmediateRetries is the maximum number of times that a caller retries a refused
	// request, without delay.
	ImmediateRetries int
	// URLs are the entries of a running fleet; empty starts an embedded one.
	URLs []string
	// AdjustFleet, if not nil, changes the options of the embedded fleet.
	AdjustFleet func(*demo.Options)
}

// Run is the result of one run and its main options.
type Run struct {
	Deployment string   `json:"deployment"`
	Label      string   `json:"label"`
	Policy     string   `json:"policy"`
	Seed       uint64   `json:"seed"`
	Load       float64  `json:"load"`
	Capacity   Capacity `json:"capacity"`
	Figures    *Figures `json:"figures"`
}

// startTimeout limits the time in which an embedded fleet becomes ready.
const startTimeout = 20 * time.Second

// idleConnsPerEntry is the number of idle connections that the load tool keeps to
// each entry.
const idleConnsPerEntry = 4096

// newClient returns the client of the load tool. It takes the same answers for complete as the
// daemons' clients.
func newClient() *http.Client {
	return httpclient.New(httpclient.Options{IdlePerHost: idleConnsPerEntry})
}

// Do executes one run.
func Do(ctx context.Context, opts Options) (*Run, error) {
	d := &opts.Deployment
	capacity := CapacityOf(d, opts.Engine)
	opts.Shape.Rate = opts.Load * capacity.RequestsPerSecond
	urls, fleet, network, err := openFleet(ctx, &opts)
	if err != nil {
		return nil, err
	}
	schedule := Schedule(d, opts.Shape, opts.Seed)
	if opts.WithoutLong {
		schedule = withoutLong(schedule)
	}
	client := newClient()
	defer client.CloseIdleConnections()
	s := &sender{urls: urls, client: client, start: time.Now(), maxRetries: opts.ImmediateRetries}
	stop := injectFaults(&opts, fleet, network)
	figures := s.sendAll(ctx, schedule, &opts)
	stop()
	if fleet != nil {
		addFleetFigures(figures, fleet, network)
		fleet.Close()
	}
	return &Run{
		Deployment: d.Name, Label: opts.Label, Policy: string(opts.Policy), Seed: opts.Seed, Load: opts.Load,
		Capacity: capacity, Figures: figures,
	}, nil
}

func withoutLong(schedule []Arrival) []Arrival {
	var out []Arrival
	for _, a := range schedule {
		if a.Class.Kind != KindLong {
			out = append(out, a)
		}
	}
	return out
}

// openFleet returns the URLs of the entries. It starts an embedded fleet unless the
// options name a running one; the fleet and the network are nil in that case.
func openFleet(ctx context.Context, opts *Options) ([]string, *demo.Fleet, *wan.Network, error) {
	if len(opts.URLs) > 0 {
		return opts.URLs, nil, nil, nil
	}
	d := &opts.Deployment
	network := wan.New(d.Distances)
	engine := opts.Engine
	engine.Models, engine.Seed = []string{d.Model}, opts.Seed
	fleetOpts := demo.Options{
		Engines: d.Engines, Plains: d.Plains, Entries: d.Entries, Engine: engine, PlainRole: d.PlainRole,
		PlainDelay: opts.PlainDelay, Policy: opts.Policy, Network: network, Logger: log.NewNopLogger(),
		EngineLimits: decision.DefaultQueueLimits(), PlainLimits: plainLimits(opts.PlainSlots),
	}
	if opts.AdjustFleet != nil {
		opts.AdjustFleet(&fleetOpts)
	}
	fleet, err := demo.Start(fleetOpts)
	if err != nil {
		return nil, nil, nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.Publish(startCtx, d.Documents()); err != nil {
		fleet.Close()
		return nil, nil, nil, errors.Wrap(err, "start the fleet")
	}
	return fleet.EntryURLs, fleet, network, nil
}

// plainLimits returns the default queue limits for a plain service with the given
// number of slots.
func plainLimits(slots int) decision.QueueLimits {
	l := decision.DefaultQueueLimits()
	l.Slots, l.ForecastKV = slots, false
	return l
}

// sendAll sends the requests at their scheduled times and returns the figures of
// their outcomes.
func (s *sender) sendAll(ctx context.Context, schedule []Arrival, opts *Options) *Figures {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	totals := newCollector(&opts.Deployment, opts.Shape, opts.WarmUp)
	outcomes := make(chan *Outcome, len(schedule))
	var wg sync.WaitGroup
	s.start = time.Now()
	for i := range schedule {
		a := &schedule[i]
		time.Sleep(a.At - time.Since(s.start))
		wg.Go(func() { outcomes <- s.send(ctx, a, i) })
	}
	drainTimer := time.AfterFunc(opts.DrainTimeout, cancel)
	defer drainTimer.Stop()
	wg.Wait()
	close(outcomes)
	for o := range outcomes {
		totals.add(o)
	}
	return totals.result()
}

// injectFaults schedules the faults of the options, slow targets and a partition,
// for the middle third of the run. Calling stop ends them and cancels those not yet
// begun. A running fleet that the options name gets no faults.
func injectFaults(opts *Options, fleet *demo.Fleet, network *wan.Network) (stop func()) {
	if fleet == nil {
		return func() {}
	}
	third := opts.Shape.Duration / 3
	startTimer := time.AfterFunc(third, func() {
		setSlowdown(opts, fleet, opts.SlowFactor)
		if opts.Partition {
			network.Partition()
		}
	})
	restore := func() {
		setSlowdown(opts, fleet, 1)
		network.Heal()
	}
	endTimer := time.AfterFunc(2*third, restore)
	return func() {
		startTimer.Stop()
		endTimer.Stop()
		restore()
	}
}

// setSlowdown makes the work of every n-th engine and every n-th plain service take
// factor times as long, where n is 1/SlowShare rounded down. A factor of 1 restores
// their normal speed.
func setSlowdown(opts *Options, fleet *demo.Fleet, factor float64) {
	if opts.SlowShare == 0 {
		return
	}
	stride := int(1 / opts.SlowShare)
	for i, e := range fleet.Engines {
		if i%stride == 0 {
			e.SetSlowdown(factor)
		}
	}
	for i, p := range fleet.Plains {
		if i%stride == 0 {
			p.SetDelay(time.Duration(float64(opts.PlainDelay) * factor))
		}
	}
}

func addFleetFigures(f *Figures, fleet *demo.Fleet, network *wan.Network) {
	for _, e := range fleet.Engines {
		stats := e.Stats()
		f.Preemptions += stats.Preemptions
		f.RecomputedTokens += stats.RecomputedTokens
		f.Cancelled += stats.Cancelled
	}
	for _, p := range fleet.Plains {
		f.LookupsRun += p.Lookups()
	}
	f.CrossRegionBytes = network.CrossRegionBytes()
}
