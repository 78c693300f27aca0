// Package membership tells a process which targets are live and what their
// agents last said of themselves. Agents are the first source, the platform's
// lagging list of VMs the second.
package membership

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Lister lists the platform's VMs.
type Lister interface {
	List(ctx context.Context) ([]platform.VM, error)
}

// StateReader asks an agent for its state.
type StateReader interface {
	State(ctx context.Context, addr string) (peer.State, error)
}

// Options configure a Tracker. Zero periods select the defaults.
type Options struct {
	List   Lister
	Peers  StateReader
	Logger log.Logger
	// ListPeriod is the time between readings of the VM list.
	ListPeriod time.Duration
	// HeartbeatPeriod is the time between questions to an agent.
	HeartbeatPeriod time.Duration
	// DeadAfter is the silence after which an agent gets no work.
	DeadAfter time.Duration
}

// Default periods.
const (
	defaultListPeriod      = time.Second
	defaultHeartbeatPeriod = 500 * time.Millisecond
	defaultDeadAfter       = 2 * time.Second
)

// Member is one target VM.
type Member struct {
	VM    platform.VM
	State peer.State
	// Heard is when the agent last answered; zero if it never did.
	Heard time.Time
}

// View is an immutable picture of the targets, sorted by VM name.
type View struct {
	Members []Member
	byVM    map[string]int
}

// Find returns the member of the given name, or nil.
func (v *View) Find(vm string) *Member {
	i, ok := v.byVM[vm]
	if !ok {
		return nil
	}
	return &v.Members[i]
}

// Usable reports whether the member may get new work at the given time.
func (m *Member) Usable(now time.Time, deadAfter time.Duration) bool {
	return m.VM.State == platform.VMLive && m.State.Ready && !m.State.Draining && now.Sub(m.Heard) <= deadAfter
}

// Tracker is a suture service. Its goroutine owns the members; View may be
// read from any goroutine.
type Tracker struct {
	opts    Options
	members map[string]*Member
	view    atomic.Pointer[View]
}

// New returns a tracker with an empty view.
func New(opts Options) *Tracker {
	if opts.ListPeriod == 0 {
		opts.ListPeriod = defaultListPeriod
	}
	if opts.HeartbeatPeriod == 0 {
		opts.HeartbeatPeriod = defaultHeartbeatPeriod
	}
	if opts.DeadAfter == 0 {
		opts.DeadAfter = defaultDeadAfter
	}
	t := &Tracker{opts: opts, members: map[string]*Member{}}
	t.publish()
	return t
}

// View returns the current picture.
func (t *Tracker) View() *View { return t.view.Load() }

// DeadAfter returns the silence after which an agent gets no work.
func (t *Tracker) DeadAfter() time.Duration { return t.opts.DeadAfter }

type heartbeat struct {
	vm    string
	state peer.State
	err   error
	at    time.Time
}

// Serve implements suture.Service.
func (t *Tracker) Serve(ctx context.Context) error {
	lists := make(chan []platform.VM)
	beats := make(chan heartbeat)
	go t.readLists(ctx, lists)
	tick := time.NewTicker(t.opts.HeartbeatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vms := <-lists:
			t.applyList(vms)
			t.ask(ctx, beats)
		case b := <-beats:
			t.applyHeartbeat(b)
		case <-tick.C:
			t.ask(ctx, beats)
			continue
		}
		t.publish()
	}
}

func (t *Tracker) readLists(ctx context.Context, out chan<- []platform.VM) {
	tick := time.NewTicker(t.opts.ListPeriod)
	defer tick.Stop()
	for {
		limit, cancel := context.WithTimeout(ctx, t.opts.ListPeriod)
		vms, err := t.opts.List.List(limit)
		cancel()
		if err != nil {
			telemetry.Warn(t.opts.Logger, "VM list unavailable", "err", err)
		} else {
			select {
			case out <- vms:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tracker) applyList(vms []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != platform.RoleTarget {
			continue
		}
		listed[vm.Name] = true
		m, ok := t.members[vm.Name]
		if !ok {
			m = &Member{}
			t.members[vm.Name] = m
		}
		m.VM = vm
	}
	for name := range t.members {
		if !listed[name] {
			delete(t.members, name)
		}
	}
}

func (t *Tracker) ask(ctx context.Context, out chan<- heartbeat) {
	for name, m := range t.members {
		go t.askOne(ctx, name, m.VM.Addr, out)
	}
}

func (t *Tracker) askOne(ctx context.Context, name, addr string, out chan<- heartbeat) {
	limit, cancel := context.WithTimeout(ctx, t.opts.DeadAfter)
	defer cancel()
	at := time.Now()
	st, err := t.opts.Peers.State(limit, addr)
	select {
	case out <- heartbeat{vm: name, state: st, err: err, at: at}:
	case <-ctx.Done():
	}
}

func (t *Tracker) applyHeartbeat(b heartbeat) {
	m, ok := t.members[b.vm]
	if !ok || b.err != nil || b.state.VM != b.vm || b.at.Before(m.Heard) {
		return
	}
	m.State = b.state
	m.Heard = b.at
}

func (t *Tracker) publish() {
	v := &View{byVM: make(map[string]int, len(t.members))}
	for _, m := range t.members {
		v.Members = append(v.Members, *m)
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].VM.Name < v.Members[j].VM.Name })
	for i := range v.Members {
		v.byVM[v.Members[i].VM.Name] = i
	}
	t.view.Store(v)
}
