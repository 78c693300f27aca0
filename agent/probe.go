package agent

import (
	"context"
	"time"
)

// Period and timeout of the engine probe.
const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// engineProber polls the engine and updates the control state: whether the engine
// answers, which models it has loaded and its load report.
type engineProber struct{ agent *Agent }

// Serve implements suture.Service.
func (p *engineProber) Serve(ctx context.Context) error {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		p.probe(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (p *engineProber) probe(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	models, err := p.agent.engine.Models(probeCtx)
	if err == nil {
		p.agent.gate.markAnswered(sentAt)
	}
	report, loadErr := p.agent.engine.Load(probeCtx)
	p.agent.control.do(func(s *state) {
		s.ready = err == nil
		if err == nil {
			s.models = models
		}
		if loadErr == nil {
			s.applyReport(report)
		}
	})
}
