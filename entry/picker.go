package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
)

// pickerPeriod is how often the router's control looks for a new picture of
// the targets.
const pickerPeriod = 20 * time.Millisecond

// picker is an immutable picture of the targets. Traffic goroutines read it
// and the accounts' atomic counters, nothing else.
type picker struct {
	view    *membership.View
	targets []pickTarget
}

// pickTarget is one target of a picture.
type pickTarget struct {
	member  *membership.Member
	account *account
	slow    bool
}

// account is what this entry knows of one target beyond its heartbeats. It
// outlives pictures and may be used from any goroutine.
type account struct {
	// sent counts requests since the start.
	sent atomic.Int64
	seen atomic.Pointer[observation]
}

// observation is an agent's report of its load.
type observation struct {
	load peer.Load
	at   time.Time
	// sent is the account's counter when the report was taken in.
	sent int64
}

func newAccount() *account {
	a := &account{}
	a.seen.Store(&observation{})
	return a
}

// observe takes a report in unless a newer one is known.
func (a *account) observe(load peer.Load, at time.Time) {
	next := &observation{load: load, at: at, sent: a.sent.Load()}
	for {
		old := a.seen.Load()
		if !old.at.Before(at) || a.seen.CompareAndSwap(old, next) {
			return
		}
	}
}

// describe returns what routing reads of the target.
func (t *pickTarget) describe(now time.Time) decision.Target {
	seen := t.account.seen.Load()
	l := &seen.load
	return decision.Target{
		VM: t.member.VM.Name, Datacentre: t.member.State.Datacentre, Region: t.member.State.Region,
		Running: l.Running, Queued: l.Queued, Sent: int(t.account.sent.Load() - seen.sent), Slots: l.Slots,
		UsedTokens: l.UsedTokens, TotalTokens: l.TotalTokens, Reported: l.EngineRunning + l.EngineWaiting,
		Cadence: time.Duration(l.CadenceMicros) * time.Microsecond,
		Age:     now.Sub(seen.at), Slow: t.slow,
	}
}

// candidates returns the targets that may get the service's work now.
func (p *picker) candidates(svc *config.Service, tried map[string]bool, now time.Time, deadAfter time.Duration) []*pickTarget {
	var out []*pickTarget
	for i := range p.targets {
		t := &p.targets[i]
		if !tried[t.member.VM.Name] && t.member.Usable(now, deadAfter) && serves(t.member, svc) {
			out = append(out, t)
		}
	}
	return out
}

func serves(m *membership.Member, svc *config.Service) bool {
	if svc.Kind == config.KindPlain {
		return m.State.Role == svc.Role
	}
	return slices.Contains(m.State.Models, peer.ModelKey(svc.Model, svc.Adapter))
}

// find returns the target of the given name, or nil.
func (p *picker) find(vm string) *pickTarget {
	for i := range p.targets {
		if p.targets[i].member.VM.Name == vm {
			return &p.targets[i]
		}
	}
	return nil
}

// pickerControl is the goroutine that owns the router's control state: it
// builds a picture from each view of the members.
type pickerControl struct {
	members  *membership.Tracker
	accounts map[string]*account
	current  atomic.Pointer[picker]
}

func newPickerControl(members *membership.Tracker) *pickerControl {
	c := &pickerControl{members: members, accounts: map[string]*account{}}
	c.current.Store(&picker{})
	return c
}

// Serve implements suture.Service.
func (c *pickerControl) Serve(ctx context.Context) error {
	tick := time.NewTicker(pickerPeriod)
	defer tick.Stop()
	for {
		if view := c.members.View(); view != c.current.Load().view {
			c.build(view)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (c *pickerControl) build(view *membership.View) {
	p := &picker{view: view, targets: make([]pickTarget, len(view.Members))}
	known := make(map[string]*account, len(view.Members))
	for i := range view.Members {
		m := &view.Members[i]
		a := c.accounts[m.VM.Name]
		if a == nil {
			a = newAccount()
		}
		known[m.VM.Name] = a
		a.observe(m.State.Load, m.Heard)
		p.targets[i] = pickTarget{member: m, account: a}
	}
	c.accounts = known
	c.current.Store(p)
}
