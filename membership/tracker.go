// Package membership tracks which targets are live and the state that their
// agents last reported. The platform's list of VMs provides the names and
// addresses of the targets; since the list lags behind, the agents' heartbeats
// decide which of them are live. A process receives heartbeats from a subset of
// the targets, whose size does not grow with the fleet.
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Lister lists the platform's VMs.
type Lister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Peers queries agents and receives their heartbeats. *peer.Client implements
// it.
type Peers interface {
	State(ctx context.Context, addr string) (peer.State, error)
	Heartbeats(ctx context.Context, addr string, period, timeout time.Duration, each func(peer.Heartbeat)) error
}

// Options configure a Tracker.
type Options struct {
	List   Lister
	Peers  Peers
	Logger log.Logger
	// Self is the location of this process.
	Self decision.Location
	// Version returns the configuration version in force in this process. The
	// tracker queries agents with a lower version, since each query carries this
	// version. It may be nil.
	Version func() int64
	// ListPeriod is the poll interval of the VM list; 0 selects the default.
	ListPeriod time.Duration
}

// Periods and sizes of a tracker.
const (
	defaultListPeriod = time.Second
	// maxListAge is the maximum age of a VM list that this process serves to
	// others.
	maxListAge = 3 * time.Second
	// The heartbeat period is heartbeatSpacing times the number of targets in the
	// subset, within minHeartbeatPeriod and maxHeartbeatPeriod. This bounds the rate at which
	// heartbeats arrive.
	heartbeatSpacing   = 32 * time.Millisecond
	minHeartbeatPeriod = 250 * time.Millisecond
	maxHeartbeatPeriod = time.Second
	// publishPeriod is the maximum time until a changed load is in the snapshot.
	publishPeriod = 100 * time.Millisecond
	// maintenancePeriod is the time between two calls of maintain.
	maintenancePeriod = 250 * time.Millisecond
	// reconnectDelay is the first delay after a heartbeat stream failed without
	// receiving anything; each further failure doubles it up to maxReconnectDelay.
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// minVersionQueryInterval is the minimum time between two queries to an agent
	// that has a lower configuration version.
	minVersionQueryInterval = time.Second
	// reportBacklog is the size of the queue of load reports. Reports beyond it
	// are dropped, since later reports replace them.
	reportBacklog = 256
)

// member is the tracker's state of one target.
type member struct {
	Member
	// timeoutEstimator estimates HeartbeatTimeout.
	timeoutEstimator decision.HeartbeatEstimator
	// stopHeartbeats ends the heartbeat stream. It is nil if there is none, which
	// means that the target is outside the subset.
	stopHeartbeats context.CancelFunc
	// covered is true if this process is one of those that cover the target, so
	// that its subset always contains the target.
	covered bool
	// deselectedAt is when the target was deselected, zero while it is selected.
	deselectedAt time.Time
	// wasUnusable is whether the target was unusable at the last maintenance.
	wasUnusable bool
	// lastSurveyed is when surveyTargets last queried the target.
	lastSurveyed time.Time
	// versionSentAt is when the agent was last queried because its configuration
	// version was lower.
	versionSentAt time.Time
	// loggedPhase is the phase that was last logged.
	loggedPhase Phase
	// delistedAt is when the VM vanished from the list, zero while it is listed.
	delistedAt time.Time
}

// Tracker tracks the targets of the fleet. It is a suture service whose
// goroutine owns the members. Snapshot, VMs, VMList and Report may be called from
// any goroutine.
type Tracker struct {
	opts Options
	// members maps VM names to targets.
	members map[string]*member
	// listed maps VM names to the targets of the VM list and those delisted targets
	// that are still kept. Snapshots share it, so it is not changed after publish.
	listed map[string]vmlist.VM
	// entries are the locations of the listed entries and of this process.
	entries []decision.Location
	// lastVMs is the VM list that was last applied, nil to force the next one to
	// be applied.
	lastVMs  []vmlist.VM
	snapshot atomic.Pointer[Snapshot]
	// published is the VM list that VMs and VMList return.
	published atomic.Pointer[vmList]
	// listReadAt is when the list was last read, in nanoseconds since the epoch.
	listReadAt atomic.Int64
	heartbeats chan heartbeat
	reports    chan report
	// subsetStale is true if the subset must be selected again.
	subsetStale bool
	// snapshotStale is true if members changed after the last snapshot.
	snapshotStale bool
}

// vmList is a VM list with its digest.
type vmList struct {
	vms    []vmlist.VM
	digest string
}

// heartbeat is a message from an agent, or the failure to receive one if err is
// set.
type heartbeat struct {
	vm, addr string
	message  peer.Heartbeat
	err      error
	// at is when the heartbeat was received or the query was sent.
	at time.Time
	// isQuery is true for the response to a query outside the heartbeat stream.
	isQuery bool
}

// report is a load report that arrived with an agent's reply to an attempt or
// call.
type report struct {
	vm, incarnation string
	load            peer.Load
	at              time.Time
}

// New returns a tracker with an empty snapshot.
func New(opts Options) *Tracker {
	if opts.ListPeriod == 0 {
		opts.ListPeriod = defaultListPeriod
	}
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	t := &Tracker{
		opts: opts, members: map[string]*member{}, listed: map[string]vmlist.VM{},
		heartbeats: make(chan heartbeat), reports: make(chan report, reportBacklog),
	}
	t.published.Store(&vmList{})
	t.publish()
	return t
}

// Snapshot returns the current snapshot of the targets.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }

// VMs returns the VM list as last read. The caller must not modify it.
func (t *Tracker) VMs() []vmlist.VM { return t.published.Load().vms }

// VMList returns the VM list as last read, its digest, and whether it is recent
// enough to be served to other processes. The caller must not modify the list.
func (t *Tracker) VMList() (vms []vmlist.VM, digest string, recent bool) {
	list := t.published.Load()
	return list.vms, list.digest, time.Since(time.Unix(0, t.listReadAt.Load())) <= maxListAge
}

// Report queues a load report that arrived with a reply of the given
// incarnation of an agent. It does not block; a report is dropped if the queue is
// full.
func (t *Tracker) Report(vm, incarnation string, load peer.Load) {
	select {
	case t.reports <- report{vm: vm, incarnation: incarnation, load: load, at: time.Now()}:
	default:
	}
}

// Serve implements suture.Service.
func (t *Tracker) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lists := make(chan []vmlist.VM)
	go t.pollList(ctx, lists)
	publish := time.NewTicker(publishPeriod)
	defer publish.Stop()
	maintenance := time.NewTicker(maintenancePeriod)
	defer maintenance.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vms := <-lists:
			t.applyList(vms, time.Now())
			t.updateSubset(ctx, time.Now())
			t.publish()
		case hb := <-t.heartbeats:
			t.applyHeartbeat(ctx, hb)
		case r := <-t.reports:
			t.applyReport(ctx, r)
		case <-maintenance.C:
			t.maintain(ctx, time.Now())
		case <-publish.C:
			if t.snapshotStale {
				t.publish()
			}
		}
	}
}

// pollList sends the VM list to out about once per ListPeriod.
func (t *Tracker) pollList(ctx context.Context, out chan<- []vmlist.VM) {
	for ctx.Err() == nil {
		listCtx, cancel := context.WithTimeout(ctx, t.opts.ListPeriod)
		vms, err := t.opts.List.List(listCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			telemetry.Warn(t.opts.Logger, "VM list unavailable", "err", err)
		} else {
			t.listReadAt.Store(time.Now().UnixNano())
			select {
			case out <- vms:
			case <-ctx.Done():
				return
			}
		}
		sleep(ctx, jittered(t.opts.ListPeriod))
	}
}

// receiveHeartbeats keeps a heartbeat stream open until ctx ends. It reopens a
// broken stream at once. If a stream ends without a heartbeat, it reports the
// failure and backs off.
func (t *Tracker) receiveHeartbeats(ctx context.Context, vm, addr string, period time.Duration) {
	delay := reconnectDelay
	// Spreads the connections, since many processes start at the same time.
	sleep(ctx, rand.N(reconnectDelay))
	for ctx.Err() == nil {
		received := false
		err := t.opts.Peers.Heartbeats(ctx, addr, period, decision.MaxHeartbeatTimeout, func(hb peer.Heartbeat) {
			received = true
			t.deliver(ctx, heartbeat{vm: vm, addr: addr, message: hb, at: time.Now()})
		})
		if received {
			delay = reconnectDelay
			continue
		}
		t.deliver(ctx, heartbeat{vm: vm, addr: addr, err: err, at: time.Now()})
		sleep(ctx, jittered(delay))
		delay = min(2*delay, maxReconnectDelay)
	}
}

func (t *Tracker) deliver(ctx context.Context, hb heartbeat) {
	select {
	case t.heartbeats <- hb:
	case <-ctx.Done():
	}
}

// queryState requests an agent's state. The request carries the configuration
// version in force in this process.
func (t *Tracker) queryState(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, decision.MaxHeartbeatTimeout)
	defer cancel()
	at := time.Now()
	st, err := t.opts.Peers.State(ctx, addr)
	t.deliver(ctx, heartbeat{vm: vm, addr: addr, message: peer.Heartbeat{State: &st, UptimeMillis: st.UptimeMillis}, err: err, at: at, isQuery: true})
}

var errOtherVM = errors.New("the address belongs to another VM")

// applyHeartbeat updates the member that a heartbeat is from. It drops a heartbeat
// that is older than the last message or from an earlier address of the VM.
func (t *Tracker) applyHeartbeat(ctx context.Context, hb heartbeat) {
	m, ok := t.members[hb.vm]
	if !ok || hb.addr != m.VM.Addr || hb.at.Before(m.LastSeen) {
		return
	}
	if hb.err == nil && hb.message.State != nil && hb.message.State.VM != hb.vm {
		hb.err = errOtherVM
	}
	before := m.status(hb.at)
	t.update(m, &hb)
	if hb.err == nil {
		t.sendVersion(ctx, m, hb.at)
	}
	if m.stopHeartbeats == nil {
		t.subsetStale = t.subsetStale || m.status(hb.at).unusable != before.unusable
		return
	}
	t.snapshotStale = true
	if m.status(hb.at) != before {
		t.subsetStale = true
		t.publish()
	}
}

// update changes a member's state according to a heartbeat.
func (t *Tracker) update(m *member, hb *heartbeat) {
	switch {
	case hb.err != nil:
		// A failed query alone does not show that the agent is unreachable.
		m.Unreachable = m.Unreachable || !hb.isQuery
		return
	case hb.message.State != nil:
		if m.State.Incarnation != "" && m.State.Incarnation != hb.message.State.Incarnation {
			telemetry.Info(t.opts.Logger, "target replaced", "target", m.VM.Name, "incarnation", hb.message.State.Incarnation)
			m.timeoutEstimator = decision.HeartbeatEstimator{}
			m.LastSeen = time.Time{}
		}
		t.subsetStale = t.subsetStale || groupsDiffer(&m.State, hb.message.State)
		m.State = *hb.message.State
	case hb.message.Load != nil:
		m.State.Load = *hb.message.Load
	}
	if !m.LastSeen.IsZero() && !hb.isQuery && m.stopHeartbeats != nil {
		m.timeoutEstimator.Observe(hb.at.Sub(m.LastSeen))
	}
	m.Unreachable = false
	m.LastSeen = hb.at
	m.State.UptimeMillis = hb.message.UptimeMillis
	m.HeartbeatTimeout = m.timeoutEstimator.Timeout()
}

// status contains the properties of a member that affect the choice of the
// subset and of targets for new work.
type status struct {
	phase    Phase
	ready    bool
	unusable bool
}

func (m *member) status(now time.Time) status {
	return status{m.Phase(now), m.State.Ready, m.isUnusable(now)}
}

// applyReport applies a load report that arrived with a reply. Like a heartbeat,
// it shows that the agent responds. A report of another incarnation is dropped.
func (t *Tracker) applyReport(ctx context.Context, r report) {
	m, ok := t.members[r.vm]
	if !ok || m.State.Incarnation != r.incarnation || r.at.Before(m.LastSeen) {
		return
	}
	wasDraining := m.isDraining()
	m.State.Load = r.load
	m.LastSeen = r.at
	m.Unreachable = false
	t.snapshotStale = true
	if m.isDraining() == wasDraining {
		return
	}
	t.subsetStale = true
	t.publish()
	// A reply may have been sent before the end of a drain and arrive after the heartbeat
	// that states it.
	go t.queryState(ctx, m.VM.Name, m.VM.Addr)
}

// sendVersion queries an agent whose configuration version is lower than the one
// in force in this process. The query carries the higher version.
func (t *Tracker) sendVersion(ctx context.Context, m *member, now time.Time) {
	if t.opts.Version == nil || m.State.ConfigVersion >= t.opts.Version() || now.Sub(m.versionSentAt) < minVersionQueryInterval {
		return
	}
	m.versionSentAt = now
	go t.queryState(ctx, m.VM.Name, m.VM.Addr)
}

// jittered returns a random duration within 25% of d.
func jittered(d time.Duration) time.Duration { return d - d/4 + rand.N(d/2) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
