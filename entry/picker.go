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
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// pickerPeriod is how often the router's control makes a new picture of the
// targets.
const pickerPeriod = 50 * time.Millisecond

// picker is an immutable picture of the targets. Traffic goroutines read it,
// the members' view and the accounts' atomic counters, nothing else.
type picker struct {
	targets []pickTarget
	byVM    map[string]*pickTarget
}

// pickTarget is one target of a picture.
type pickTarget struct {
	member  *membership.Member
	account *account
	slow    bool
	// probe is set while a slow target is due for a probe; the request that
	// clears it goes there.
	probe *atomic.Bool
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
		Wait: time.Duration(l.WaitMicros) * time.Microsecond, ShortWait: time.Duration(l.ShortWaitMicros) * time.Microsecond,
		Cadence: time.Duration(l.CadenceMicros) * time.Microsecond,
		Age:     now.Sub(seen.at), Slow: t.slow,
	}
}

// candidates returns the targets of a view that may get the service's work now.
// The view may be newer than the picture.
func (p *picker) candidates(view *membership.View, svc *config.Service, tried map[string]bool, now time.Time) []*pickTarget {
	var out []*pickTarget
	for i := range view.Members {
		m := &view.Members[i]
		if !tried[m.VM.Name] && m.Usable(now) && serves(m, svc) {
			out = append(out, p.target(m))
		}
	}
	return out
}

// target returns what the picture holds of a member.
func (p *picker) target(m *membership.Member) *pickTarget {
	known := p.find(m.VM.Name)
	if known == nil {
		t := &pickTarget{member: m, account: newAccount()}
		t.account.observe(m.State.Load, m.Heard)
		return t
	}
	t := *known
	t.member = m
	return &t
}

func serves(m *membership.Member, svc *config.Service) bool {
	if svc.Kind == config.KindPlain {
		return m.State.Role == svc.Role
	}
	return slices.Contains(m.State.Models, peer.ModelKey(svc.Model, svc.Adapter))
}

// find returns the target of the given name, or nil.
func (p *picker) find(vm string) *pickTarget {
	return p.byVM[vm]
}

// pickerControl is the goroutine that owns the router's control state: it
// builds pictures from the view of the members and the accounts.
type pickerControl struct {
	members  *membership.Tracker
	accounts map[string]*account
	// detectors find slow targets among those of one role.
	detectors map[string]*decision.SlowDetector
	recorder  *telemetry.Recorder
	// blind leaves slow targets unmarked.
	blind   bool
	current atomic.Pointer[picker]
}

func newPickerControl(members *membership.Tracker, recorder *telemetry.Recorder, blind bool) *pickerControl {
	c := &pickerControl{
		members: members, accounts: map[string]*account{}, detectors: map[string]*decision.SlowDetector{}, recorder: recorder, blind: blind,
	}
	c.current.Store(&picker{})
	return c
}

// Serve implements suture.Service.
func (c *pickerControl) Serve(ctx context.Context) error {
	tick := time.NewTicker(pickerPeriod)
	defer tick.Stop()
	for {
		c.build(c.members.View(), time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (c *pickerControl) build(view *membership.View, now time.Time) {
	p := &picker{targets: make([]pickTarget, len(view.Members)), byVM: make(map[string]*pickTarget, len(view.Members))}
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
		p.byVM[m.VM.Name] = &p.targets[i]
	}
	c.accounts = known
	if !c.blind {
		c.markSlow(p, now)
	}
	c.current.Store(p)
}
