package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// SidecarWatcher reads the stream of load reports of a sidecar; *sidecar.Client
// implements it.
type SidecarWatcher interface {
	Watch(ctx context.Context, addr string, onLine func(sidecar.Line)) error
	Reserve(ctx context.Context, addr string, in *sidecar.Reservation) (sidecar.ReservationResult, error)
}

// loadCollector keeps a stream of load reports open to the sidecar of each
// engine. It is a suture service.
type loadCollector struct {
	g            *Gateway
	watcher      SidecarWatcher
	port         int
	cancelByAddr map[string]context.CancelFunc
}

// Timing of the load collector.
const (
	// reconcilePeriod is the time between comparisons of the open streams with
	// the registered targets.
	reconcilePeriod = 200 * time.Millisecond
	// reconnectBackoffBase is the maximum delay before the first attempt to reach
	// a sidecar again. The maximum doubles with each failed attempt up to
	// reconnectBackoffLimit. The delay is random below the maximum, which spreads
	// the attempts of the gateways.
	reconnectBackoffLimit = time.Second
	reconnectBackoffBase  = 100 * time.Millisecond
)

// Serve implements suture.Service.
func (c *loadCollector) Serve(ctx context.Context) error {
	c.cancelByAddr = map[string]context.CancelFunc{}
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		c.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (c *loadCollector) String() string { return "load collector" }

// reconcile opens a stream to the sidecar of each engine that has none, and closes
// the streams for addresses at which no engine is registered any more.
func (c *loadCollector) reconcile(ctx context.Context) {
	table := c.g.table.Load()
	if table == nil {
		return
	}
	wanted := map[string]bool{}
	for _, t := range c.g.targets.Snapshot().All() {
		service := table.Service(t.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		wanted[t.Addr] = true
		if c.cancelByAddr[t.Addr] == nil {
			streamCtx, cancel := context.WithCancel(ctx)
			c.cancelByAddr[t.Addr] = cancel
			go c.watch(streamCtx, t.Addr)
		}
	}
	for addr, cancel := range c.cancelByAddr {
		if !wanted[addr] {
			cancel()
			delete(c.cancelByAddr, addr)
		}
	}
}

// watch keeps a stream open to the sidecar of the engine at addr until ctx ends.
func (c *loadCollector) watch(ctx context.Context, addr string) {
	sidecarAddr, err := sidecarAddr(addr, c.port)
	if err != nil {
		telemetry.Warn(c.g.opts.Logger, "invalid engine address", "addr", addr, "err", err)
		return
	}
	failures := 0
	for ctx.Err() == nil {
		err := c.watcher.Watch(ctx, sidecarAddr, func(line sidecar.Line) {
			if failures > 0 {
				telemetry.Info(c.g.opts.Logger, "sidecar stream restored", "addr", addr)
			}
			failures = 0
			c.receive(addr, line)
		})
		if ctx.Err() != nil {
			return
		}
		if failures == 0 {
			telemetry.Warn(c.g.opts.Logger, "sidecar stream failed", "addr", addr, "err", err)
		}
		failures++
		select {
		case <-time.After(kvstore.Backoff(failures, reconnectBackoffBase, reconnectBackoffLimit, rand.Float64())):
		case <-ctx.Done():
		}
	}
}

// sidecarAddr returns the address of the sidecar of the engine at addr.
func sidecarAddr(addr string, port int) (string, error) {
	host, _, err := net.SplitHostPort(addr)
	return net.JoinHostPort(host, strconv.Itoa(port)), err
}

// receive applies a line from the sidecar of the engine at addr to the targets
// with that address. It ignores the report of another incarnation of a target, but for the
// fact that a later one has the address. Only one engine has the host of an address.
func (c *loadCollector) receive(addr string, line sidecar.Line) {
	for _, t := range c.g.targets.Snapshot().All() {
		if t.Addr != addr {
			continue
		}
		if line.EngineUnreachable {
			t.Load.SetReport(&registry.LoadReport{ReceivedAt: time.Now(), Unreachable: true})
			continue
		}
		report := line.Report
		if report.StartMillis != 0 && t.StartMillis != 0 && report.StartMillis != t.StartMillis {
			if report.StartMillis > t.StartMillis {
				t.Load.MarkReplaced(time.Now())
			}
			continue
		}
		t.Load.SetReport(loadFromReport(report))
		c.g.applyCold(t, report.ColdMillis)
		if report.Draining && report.LeavesInMillis > 0 && t.Load.LeavesAt().IsZero() {
			t.Load.SetLeavesAt(time.Now().Add(time.Duration(report.LeavesInMillis) * time.Millisecond))
		}
		if report.Draining {
			t.Load.Announce()
			c.g.targets.MarkDeparting(t, "its engine reports draining")
		}
	}
}

// loadFromReport derives the load used in placement from an engine's report. The
// report lists the requests that have generated an event, which are decoding;
// the other running requests count as prefilling.
func loadFromReport(report *sidecar.Report) *registry.LoadReport {
	load := &registry.LoadReport{
		ReceivedAt: time.Now(), Running: report.Running, Queued: report.Queued, KVTokens: report.KVTokens, KVCopyTokens: report.KVCopyTokens, BaselineSlowdown: report.BaselineSlowdown,
		Prefilling: max(report.Running-len(report.Requests), 0),
	}
	load.Decoding = len(report.Requests)
	load.PrefillTokens = report.PrefillTokens
	return load
}
