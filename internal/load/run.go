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
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/internal/wan"
)

// Options describe one run.
type Options struct {
	Deployment Deployment
	// Label names the run in reports.
	Label  string
	Policy decision.Policy
	Seed   uint64
	// Load is the offered rate relative to the engines' capacity.
	Load float64
	// Shape gives duration, swing and crest; its rate is set from Load.
	Shape  Shape
	WarmUp time.Duration
	// Drain bounds the wait for answers after the last arrival.
	Drain  time.Duration
	Engine standin.EngineOptions
	// PlainSlots are the concurrent calls of a plain service.
	PlainSlots int
	PlainDelay time.Duration
	// SlowShare is the part of the targets that run SlowFactor slower in the
	// middle third of the run.
	SlowShare  float64
	SlowFactor float64
	// WithoutLong leaves long generations out; the rest arrives as before.
	WithoutLong bool
	// Cut separates the regions in the middle third of the run.
	Cut bool
	// RetryAtOnce is how often callers repeat a refused request at once.
	RetryAtOnce int
	// URLs are entries of a running fleet; empty starts an embedded one.
	URLs []string
	// Adjust changes the embedded fleet before it starts; nil leaves it.
	Adjust func(*demo.Options)
}

// Run is one run and its result.
type Run struct {
	Deployment string   `json:"deployment"`
	Label      string   `json:"label"`
	Policy     string   `json:"policy"`
	Seed       uint64   `json:"seed"`
	Load       float64  `json:"load"`
	Capacity   Capacity `json:"capacity"`
	Figures    *Figures `json:"figures"`
}

// startLimit bounds the start of a fleet.
const startLimit = 20 * time.Second

const connsPerEntry = 4096

// Do carries a run out.
func Do(ctx context.Context, opts Options) (*Run, error) {
	d := &opts.Deployment
	capacity := CapacityOf(d, opts.Engine)
	opts.Shape.Rate = opts.Load * capacity.Requests
	urls, fleet, network, err := open(ctx, &opts)
	if err != nil {
		return nil, err
	}
	schedule := Schedule(d, opts.Shape, opts.Seed)
	if opts.WithoutLong {
		schedule = withoutLong(schedule)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: connsPerEntry}
	defer transport.CloseIdleConnections()
	s := &sender{urls: urls, client: &http.Client{Transport: transport}, start: time.Now(), retries: opts.RetryAtOnce}
	stop := disturb(&opts, fleet, network)
	figures := s.drive(ctx, schedule, &opts)
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

// open starts the embedded fleet unless the run drives a given one.
func open(ctx context.Context, opts *Options) ([]string, *demo.Fleet, *wan.Network, error) {
	if len(opts.URLs) > 0 {
		return opts.URLs, nil, nil, nil
	}
	d := &opts.Deployment
	network := wan.New(d.Distances)
	engine := opts.Engine
	engine.Models, engine.Seed = []string{d.Model}, opts.Seed
	fo := demo.Options{
		Engines: d.Engines, Plains: d.Plains, Entries: d.Entries, Engine: engine, PlainRole: d.PlainRole,
		PlainDelay: opts.PlainDelay, Policy: opts.Policy, Network: network, Logger: log.NewNopLogger(),
		EngineLimits: decision.DefaultQueueLimits(), PlainLimits: plainLimits(opts.PlainSlots),
	}
	if opts.Adjust != nil {
		opts.Adjust(&fo)
	}
	fleet, err := demo.Start(fo)
	if err != nil {
		return nil, nil, nil, err
	}
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := fleet.Publish(limit, d.Documents()); err != nil {
		fleet.Close()
		return nil, nil, nil, errors.Wrap(err, "start the fleet")
	}
	return fleet.EntryURLs, fleet, network, nil
}

// plainLimits are the default limits for a plain service of a given number of
// slots.
func plainLimits(slots int) decision.QueueLimits {
	l := decision.DefaultQueueLimits()
	l.Slots, l.Memory = slots, false
	return l
}

// drive sends the schedule at its times and collects the outcomes.
func (s *sender) drive(ctx context.Context, schedule []Arrival, opts *Options) *Figures {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newCollector(&opts.Deployment, opts.Shape, opts.WarmUp)
	outcomes := make(chan *Outcome, len(schedule))
	var wg sync.WaitGroup
	s.start = time.Now()
	for i := range schedule {
		a := &schedule[i]
		time.Sleep(a.At - time.Since(s.start))
		wg.Go(func() { outcomes <- s.send(ctx, a, i) })
	}
	limit := time.AfterFunc(opts.Drain, cancel)
	defer limit.Stop()
	wg.Wait()
	close(outcomes)
	for o := range outcomes {
		c.add(o)
	}
	return c.result()
}

// disturb slows targets or cuts the link in the middle third of the run. The
// returned function ends the disturbance.
func disturb(opts *Options, fleet *demo.Fleet, network *wan.Network) (stop func()) {
	if fleet == nil {
		return func() {}
	}
	third := opts.Shape.Duration / 3
	begin := time.AfterFunc(third, func() {
		setSlow(opts, fleet, opts.SlowFactor)
		if opts.Cut {
			network.Cut()
		}
	})
	heal := func() {
		setSlow(opts, fleet, 1)
		network.Heal()
	}
	end := time.AfterFunc(2*third, heal)
	return func() {
		begin.Stop()
		end.Stop()
		heal()
	}
}

func setSlow(opts *Options, fleet *demo.Fleet, factor float64) {
	if opts.SlowShare == 0 {
		return
	}
	every := int(1 / opts.SlowShare)
	for i, e := range fleet.Engines {
		if i%every == 0 {
			e.SetSlow(factor)
		}
	}
	for i, p := range fleet.Plains {
		if i%every == 0 {
			p.SetDelay(time.Duration(float64(opts.PlainDelay) * factor))
		}
	}
}

func addFleetFigures(f *Figures, fleet *demo.Fleet, network *wan.Network) {
	for _, e := range fleet.Engines {
		st := e.Stats()
		f.Preemptions += st.Preemptions
		f.Recomputed += st.Recomputed
		f.Cancelled += st.Cancelled
	}
	for _, p := range fleet.Plains {
		f.LookupsRun += p.Lookups()
	}
	f.CrossRegion = network.CrossRegionBytes()
}
