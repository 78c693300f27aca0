package entry

import (
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// markSlow compares the cadences that agents measure beside their targets, and
// marks slow targets in a new picture.
func (c *pickerControl) markSlow(p *picker, now time.Time) {
	paces := map[string][]decision.Pace{}
	for i := range p.targets {
		t := &p.targets[i]
		seen := t.account.seen.Load()
		role := t.member.State.Role
		cadence := time.Duration(seen.load.CadenceMicros) * time.Microsecond
		paces[role] = append(paces[role], decision.Pace{VM: t.member.VM.Name, Cadence: cadence, At: seen.at})
	}
	for role, list := range paces {
		if c.detectors[role] == nil {
			c.detectors[role] = decision.NewSlowDetector(decision.DefaultSlowLimits())
		}
		slow := c.detectors[role].Update(list)
		for i := range p.targets {
			if t := &p.targets[i]; t.member.State.Role == role {
				c.mark(t, slow[t.member.VM.Name], now)
			}
		}
	}
}

func (c *pickerControl) mark(t *pickTarget, slow bool, now time.Time) {
	vm := t.member.VM.Name
	if old := c.current.Load().find(vm); old != nil {
		t.probe = old.probe
		if old.slow != slow {
			c.recordSlow(t, slow)
		}
	}
	t.slow = slow
	if !slow {
		t.probe = nil
		return
	}
	if t.account.seen.Load().load.Running > 0 {
		// Work in progress tells the cadence.
		t.probe = nil
		return
	}
	if c.detectors[t.member.State.Role].Probe(vm, now) {
		t.probe = &atomic.Bool{}
		t.probe.Store(true)
	}
}

func (c *pickerControl) recordSlow(t *pickTarget, slow bool) {
	choice := "send only probes"
	if !slow {
		choice = "send work again"
	}
	c.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindRoute, Target: t.member.VM.Name, Choice: choice, Reason: "cadence",
	})
}

// claimProbe marks the targets of one decision for which its work is the
// probe. Only short idempotent work probes.
func claimProbe(r *routing) {
	if !r.work.Short || !r.work.Idempotent {
		return
	}
	for i, t := range r.candidates {
		if t.probe != nil && t.probe.CompareAndSwap(true, false) {
			r.targets[i].Probe = true
			return
		}
	}
}
