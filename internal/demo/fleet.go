// Package demo runs a small fleet in one process: stand-ins of the platform's
// services, agents and entries on ephemeral loopback ports. The demo, the load
// tool and tests use it.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/internal/wan"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Location identifies the data centre and the region of a VM.
type Location = wan.Location

// Options configure a fleet.
type Options struct {
	// Engines and Plains have the location of each target VM that runs a model engine
	// or a plain service; Entries has the location of each entry's VM.
	Engines []Location
	Plains  []Location
	Entries []Location
	// Engine configures every engine; the index of the engine is added to the
	// seed.
	Engine standin.EngineOptions
	// PlainRole is the role of the targets that run a plain service.
	PlainRole string
	// PlainDelay is the duration of a call to a plain service.
	PlainDelay time.Duration
	// EngineLimits and PlainLimits are the queue limits of the targets; zero
	// values select the agent's defaults.
	EngineLimits decision.QueueLimits
	PlainLimits  decision.QueueLimits
	// Policy is the routing policy of the entries; empty selects the default.
	Policy decision.Policy
	// Network simulates the network between the locations; nil adds no delays. The
	// store and the VM list are at the location of the first engine.
	Network *wan.Network
	// AdjustAgent and AdjustEntry, if not nil, change the options of a process
	// before it starts.
	AdjustAgent func(*agent.Options)
	AdjustEntry func(*entry.Options)
	Logger      log.Logger
}

// Fleet is a fleet that runs in this process until Close.
type Fleet struct {
	Store   *standin.Store
	VMs     *standin.VMList
	Engines []*standin.Engine
	Plains  []*standin.Plain
	Agents  []*agent.Agent
	Entries []*entry.Entry
	// EntryURLs are the base URLs of the entries, for callers.
	EntryURLs []string
	// StoreClient is a client of Store without simulated delay.
	StoreClient kvstore.Store

	opts       Options
	keys       peer.Keys
	storeURL   string
	vmListURL  string
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	closeFuncs []func()
}

const (
	// fleetKey is the key with which the processes authenticate to each other.
	fleetKey = "demo-fleet-key"
	// storeTimeout limits each call of the store, and in the stand-ins' servers the
	// time to read a request header.
	storeTimeout = 2 * time.Second
	// shutdownGrace is the DrainGrace of agents and the BalancerGrace of entries, short
	// so that Close takes little time.
	shutdownGrace     = time.Millisecond
	readyPollInterval = 20 * time.Millisecond
	// idleConnsPerHost is the number of idle connections that a process keeps to each
	// host if the network is simulated.
	idleConnsPerHost = 64
)

// Start starts a fleet, which runs until Close.
func Start(opts Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{opts: opts, keys: peer.Keys{fleetKey}, cancel: cancel, Store: standin.NewStore(), VMs: standin.NewVMList(0)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.storeURL, err = f.startServer(f.Store.Handler()); err != nil {
		return err
	}
	if f.vmListURL, err = f.startServer(f.VMs.Handler()); err != nil {
		return err
	}
	f.StoreClient = kvstore.NewEtcdStore(f.storeURL, &http.Client{}, storeTimeout)
	f.register(strings.TrimPrefix(f.storeURL, "http://"), f.platformLocation())
	f.register(strings.TrimPrefix(f.vmListURL, "http://"), f.platformLocation())
	for i, location := range f.opts.Engines {
		if err := f.startEngine(ctx, i, location); err != nil {
			return err
		}
	}
	for i, location := range f.opts.Plains {
		if err := f.startPlain(ctx, i, location); err != nil {
			return err
		}
	}
	for i, location := range f.opts.Entries {
		if err := f.startEntry(ctx, i, location); err != nil {
			return err
		}
	}
	return nil
}

// platformLocation returns the location of the store and the VM list.
func (f *Fleet) platformLocation() Location {
	if len(f.opts.Engines) == 0 {
		return Location{}
	}
	return f.opts.Engines[0]
}

// register sets the location of an address in the simulated network.
func (f *Fleet) register(addr string, location Location) {
	if f.opts.Network != nil {
		f.opts.Network.Register(addr, location)
	}
}

// httpClient returns a client for a process at the given location.
func (f *Fleet) httpClient(location Location) *http.Client {
	if f.opts.Network == nil {
		return &http.Client{}
	}
	return &http.Client{Transport: &http.Transport{DialContext: f.opts.Network.Dialer(location), MaxIdleConnsPerHost: idleConnsPerHost}}
}

func (f *Fleet) storeClient(location Location) kvstore.Store {
	return kvstore.NewEtcdStore(f.storeURL, f.httpClient(location), storeTimeout)
}

// startServer serves a handler on an ephemeral port and returns its URL.
func (f *Fleet) startServer(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: storeTimeout}
	go func() { _ = server.Serve(l) }()
	f.closeFuncs = append(f.closeFuncs, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen")
}

func (f *Fleet) startEngine(ctx context.Context, i int, location Location) error {
	opts := f.opts.Engine
	opts.Seed += uint64(i)
	e := standin.NewEngine(opts)
	f.Engines = append(f.Engines, e)
	f.closeFuncs = append(f.closeFuncs, e.Close)
	url, err := f.startServer(e.Handler())
	if err != nil {
		return err
	}
	return f.startAgent(ctx, fmt.Sprintf("model-%d", i+1), location, agent.Options{EngineURL: url, Role: "model", Limits: f.opts.EngineLimits})
}

func (f *Fleet) startPlain(ctx context.Context, i int, location Location) error {
	plainService := standin.NewPlain(f.opts.PlainDelay)
	f.Plains = append(f.Plains, plainService)
	url, err := f.startServer(plainService.Handler())
	if err != nil {
		return err
	}
	return f.startAgent(ctx, fmt.Sprintf("%s-%d", f.opts.PlainRole, i+1), location, agent.Options{PlainURL: url, Role: f.opts.PlainRole, Limits: f.opts.PlainLimits})
}

func (f *Fleet) startAgent(ctx context.Context, vm string, location Location, opts agent.Options) error {
	l, err := listen()
	if err != nil {
		return err
	}
	opts.VM, opts.Datacentre, opts.Region = vm, location.Datacentre, location.Region
	opts.Listener, opts.Keys, opts.Store, opts.Logger = l, f.keys, f.storeClient(location), f.opts.Logger
	opts.DrainGrace = shutdownGrace
	f.register(l.Addr().String(), location)
	if f.opts.AdjustAgent != nil {
		f.opts.AdjustAgent(&opts)
	}
	a, err := agent.New(opts)
	if err != nil {
		return err
	}
	f.Agents = append(f.Agents, a)
	f.runUntilClose(ctx, a.Serve)
	f.VMs.Put(vmlist.VM{Name: vm, Addr: l.Addr().String(), Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: location.Datacentre, Region: location.Region})
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, i int, location Location) error {
	l, err := listen()
	if err != nil {
		return err
	}
	f.register(l.Addr().String(), location)
	opts := entry.Options{
		VM: fmt.Sprintf("entry-%d", i+1), Datacentre: location.Datacentre, Region: location.Region, Listener: l, Keys: f.keys,
		Store: f.storeClient(location), VMLister: vmlist.NewClient(f.vmListURL, f.httpClient(location)), Logger: f.opts.Logger,
		BalancerGrace: shutdownGrace, Policy: f.opts.Policy,
	}
	if f.opts.Network != nil {
		opts.Dial = f.opts.Network.Dialer(location)
	}
	if f.opts.AdjustEntry != nil {
		f.opts.AdjustEntry(&opts)
	}
	e, err := entry.New(opts)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	f.EntryURLs = append(f.EntryURLs, "http://"+l.Addr().String())
	f.VMs.Put(vmlist.VM{Name: fmt.Sprintf("entry-%d", i+1), Addr: l.Addr().String(), Role: vmlist.RoleEntry, State: vmlist.VMLive, Datacentre: location.Datacentre, Region: location.Region})
	f.runUntilClose(ctx, e.Serve)
	return nil
}

// runUntilClose runs serve in the background. Close waits until it returns.
func (f *Fleet) runUntilClose(ctx context.Context, serve func(context.Context) error) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		_ = serve(ctx)
	}()
}

// Publish publishes documents and waits until every entry uses them and can
// route to every agent, or until ctx ends.
func (f *Fleet) Publish(ctx context.Context, docs []config.Document) error {
	manifest, err := operator.Publish(ctx, f.StoreClient, docs, "demo", time.Now())
	if err != nil {
		return err
	}
	for !f.isReady(manifest.Version) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for the configuration")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// isReady reports whether every entry uses the configuration version and can route
// to every agent.
func (f *Fleet) isReady(version int64) bool {
	for _, e := range f.Entries {
		if e.ConfigVersion() < version || e.UsableTargets() < len(f.Agents) {
			return false
		}
	}
	return true
}

// Close stops the fleet. It waits until the agents and entries have ended, then
// stops the stand-ins.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	for _, closeFunc := range f.closeFuncs {
		closeFunc()
	}
}
