package agent

import (
	"context"
	"time"
)

// Periods of the engine probe.
const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// engineProbe keeps the agent's view of its engine: whether it answers, which
// models it has loaded and how large its memory is.
type engineProbe struct{ agent *Agent }

// Serve implements suture.Service.
func (p *engineProbe) Serve(ctx context.Context) error {
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

func (p *engineProbe) probe(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := time.Now()
	models, err := p.agent.engine.Models(limit)
	if err == nil {
		p.agent.solo.alive(asked)
	}
	report, loadErr := p.agent.engine.Load(limit)
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
